"""Waiting requests that can no longer meet their target.

They are failed at once, but never because of less urgent work: a request stays queued,
and is sent late, for as long as the slots borrowed by less urgent work would have
sufficed for all the work that is still ahead of it.
"""

import heapq
import itertools

from trestlestall.policy import backlogs, jobs

# How soon a request that is due but stays queued is checked again.
RECHECK_SECONDS = 0.05


class Deadlines:
    """A heap of waiting requests, ordered by the time of their next check."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, jobs.Job]] = []
        self._sequence = itertools.count()

    def add(self, job: jobs.Job, backlog: backlogs.Backlog) -> None:
        """Add a request on its arrival."""
        now = job.arrival.now
        job.borrowed_before = backlog.measure_borrowed(job.tier, now)
        self._push(job, now + max(0.0, job.estimate.max_wait))

    def pop_due(self, get_state, is_occupied_by_peers, now: float) -> list[jobs.Job]:
        """Return the waiting requests that can no longer meet their target.

        ``is_occupied_by_peers(state, tier, now)`` returns whether other routers' work
        may occupy the slots; a request is not failed because of it.
        """
        due: list[jobs.Job] = []
        while self._heap and self._heap[0][0] <= now:
            _, _, job = heapq.heappop(self._heap)
            if job.stage in (jobs.Stage.RUNNING, jobs.Stage.DONE):
                continue
            state = get_state(job.arrival.target)
            # A request that waits for its claim is about to be sent.
            waits = job.stage is jobs.Stage.WAITING
            if not waits or is_occupied_by_peers(state, job.tier, now):
                self._push(job, now + RECHECK_SECONDS)
            elif is_delayed_by_less_urgent(job, state.backlog, now):
                self._push(job, now + RECHECK_SECONDS)
            elif job not in due:
                due.append(job)
        return due

    def add_again(self, job: jobs.Job, now: float) -> None:
        """Add a request that waits again after an attempt ended."""
        self._push(job, now)

    def _push(self, job: jobs.Job, at: float) -> None:
        heapq.heappush(self._heap, (at, next(self._sequence), job))


def is_delayed_by_less_urgent(
    job: jobs.Job, backlog: backlogs.Backlog, now: float
) -> bool:
    """Return whether less urgent work may be the reason that a request still waits.

    Without the borrowing, as many requests could have started at once as slots are
    borrowed now, and more in the slot-seconds borrowed since the request arrived.
    """
    borrowed = backlog.measure_borrowed(job.tier, now) - job.borrowed_before
    borrowed += backlog.count_borrowed(job.tier) * job.estimate.service
    return borrowed > 0 and borrowed >= backlog.find_work_ahead_of(job)
