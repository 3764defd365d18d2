"""Waiting requests whose target has come out of reach.

Such a request gets its final answer at once, but never because of less urgent work: as
long as the slots that are lent to less urgent work would have sufficed for all that
still goes before it, it waits on, and is sent late.
"""

import heapq
import itertools

from trestlestall.policy import backlogs, flights

# Seconds until a request that is not given up yet is looked at again.
LOOK_AGAIN = 0.05


class Deadlines:
    """A heap of waiting requests by the time at which to look at them again."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, flights.Flight]] = []
        self._numbers = itertools.count()

    def add(self, flight: flights.Flight, backlog: backlogs.Backlog) -> None:
        """Watch a request from its arrival."""
        now = flight.arrival.now
        flight.lent_before = backlog.measure_lent(flight.tier, now)
        self._push(flight, now + max(0.0, flight.estimate.wait_longest))

    def pop_due(self, find_lane, is_crowded, now: float) -> list[flights.Flight]:
        """Return the waiting requests to give up now.

        ``is_crowded(lane, tier, now)`` tells whether other routers' work may be in the
        way.
        """
        due: list[flights.Flight] = []
        while self._heap and self._heap[0][0] <= now:
            _, _, flight = heapq.heappop(self._heap)
            if flight.stage in (flights.Stage.RUNNING, flights.Stage.DONE):
                continue
            lane = find_lane(flight.arrival.target)
            # A request whose claim is asked for is about to be sent.
            waits = flight.stage is flights.Stage.WAITING
            if not waits or is_crowded(lane, flight.tier, now):
                self._push(flight, now + LOOK_AGAIN)
            elif is_held_up(flight, lane.backlog, now):
                self._push(flight, now + LOOK_AGAIN)
            elif flight not in due:
                due.append(flight)
        return due

    def watch_again(self, flight: flights.Flight, now: float) -> None:
        """Watch a request that waits again after an attempt that ended."""
        self._push(flight, now)

    def _push(self, flight: flights.Flight, at: float) -> None:
        heapq.heappush(self._heap, (at, next(self._numbers), flight))


def is_held_up(flight: flights.Flight, backlog: backlogs.Backlog, now: float) -> bool:
    """Return whether less urgent work may be why a request still waits.

    Had the slots not been lent, as many requests would have started at once, and more
    in the slot-seconds that have passed since.
    """
    lent = backlog.measure_lent(flight.tier, now) - flight.lent_before
    lent += backlog.count_lent(flight.tier) * flight.estimate.service
    return lent > 0 and lent >= backlog.find_ahead(flight)
