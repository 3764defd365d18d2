"""Hedging: a second attempt for a request at a straggler or at a missing upstream.

Hedges are sent only for idempotent classes, before the first token, within the retry
budget, and once for a request. The attempt that brings a token first answers; the other
one is cancelled. An upstream that is missing from the view may be draining as planned
and still finish its requests, so it is given the stall time first.
"""

import dataclasses
import heapq
import itertools

from trestlestall.policy import actions, choice, core, dispatch, jobs


class Hedges:
    """Attempts without a token, ordered by the time of their next check."""

    def __init__(self, shared: core.Core, sender: dispatch.Dispatcher):
        self._core = shared
        self._sender = sender
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        #: When the upstream of an attempt was first found missing from the view.
        self._missing_since: dict[str, float] = {}

    def track(self, sent: list[actions.Action], now: float) -> None:
        """Track the attempts that the actions send."""
        for action in sent:
            if isinstance(action, actions.Send):
                self._push(action.attempt, now)

    def run(self, now: float) -> list[actions.Action]:
        """Send hedges for the attempts that are due for a check and need one."""
        decided: list[actions.Action] = []
        while self._heap and self._heap[0][0] <= now:
            _, _, name = heapq.heappop(self._heap)
            attempt = self._core.attempts.get(name)
            if attempt is not None and may_hedge(attempt):
                hedge = self._hedge(attempt, now)
                if hedge is None:
                    self._push(name, now)
                    continue
                decided.append(hedge)
            self._missing_since.pop(name, None)
        return decided

    def discount_stall(self, seconds: float) -> None:
        """Exclude the seconds for which this process was held up from absences."""
        for name in self._missing_since:
            self._missing_since[name] += seconds

    def _push(self, name: str, now: float) -> None:
        at = now + self._core.settings.hedge_wait
        heapq.heappush(self._heap, (at, next(self._numbers), name))

    def _hedge(self, attempt: jobs.Attempt, now: float) -> actions.Send | None:
        job = attempt.job
        cause = self._core.detector.find_cause(attempt.upstream)
        if cause is None and not self._is_upstream_missing(attempt, now):
            return None
        if job.sends >= self._core.settings.attempt_limit:
            return None
        job.excluded.add(attempt.upstream)
        selection = self._core.chooser.choose(job, now, choice.Constraints())
        if selection is None or not self._core.budget.take():
            return None
        state = "missing" if cause is None else cause.value
        reason = f"hedge: {attempt.upstream} is {state}; {selection.reason}"
        selection = dataclasses.replace(selection, reason=reason)
        return self._sender.send(job, selection, job.tier, now)

    def _is_upstream_missing(self, attempt: jobs.Attempt, now: float) -> bool:
        """Return whether the upstream has been missing for the stall time.

        Stragglers are detected only among upstreams in the view. Without this check a
        request that a missing upstream never answers would stay there for as long as
        its caller waits.
        """
        if self._core.fleet.find(attempt.upstream, attempt.incarnation) is not None:
            self._missing_since.pop(attempt.name, None)
            return False
        missing_since = self._missing_since.setdefault(attempt.name, now)
        return now - missing_since >= self._core.settings.stall_time


def may_hedge(attempt: jobs.Attempt) -> bool:
    """Return whether a second attempt may run alongside this one."""
    job = attempt.job
    return not attempt.started and len(job.attempts) == 1 and job.idempotent
