"""Waiting requests whose target has come out of reach.

Such a request gets its final answer at once. A wait that less urgent work caused does
not count: the part of the target's slots that was lent to less urgent work during the
wait is taken off it, so that nothing is given up to make room for less urgent work.
"""

import heapq
import itertools

from trestlestall.policy import backlogs, flights

LEAST_STEP = 0.02
MOST_LENT = 0.99


class Deadlines:
    """A heap of waiting requests by the time at which to look at them again."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, flights.Flight]] = []
        self._numbers = itertools.count()

    def add(self, flight: flights.Flight, backlog: backlogs.Backlog) -> None:
        """Watch a request from its arrival."""
        now = flight.arrival.now
        flight.lent_before, flight.used_before = backlog.measure(flight.tier, now)
        self._push(flight, now + max(0.0, flight.estimate.wait_longest))

    def pop_due(self, find_backlog, now: float) -> list[flights.Flight]:
        """Return the waiting requests to give up now."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _, _, flight = heapq.heappop(self._heap)
            if flight.stage in (flights.Stage.RUNNING, flights.Stage.DONE):
                continue
            if flight.stage is flights.Stage.ASKING:
                self._push(flight, now + LEAST_STEP)
                continue
            again = self._find_next(flight, find_backlog(flight.arrival.target), now)
            if again > now:
                self._push(flight, max(again, now + LEAST_STEP))
            else:
                due.append(flight)
        return due

    def watch_again(self, flight: flights.Flight, now: float) -> None:
        """Watch a request that waits again after an attempt that ended."""
        self._push(flight, now)

    def _push(self, flight: flights.Flight, at: float) -> None:
        heapq.heappush(self._heap, (at, next(self._numbers), flight))

    def _find_next(self, flight, backlog: backlogs.Backlog, now: float) -> float:
        lent, used = backlog.measure(flight.tier, now)
        passed = used - flight.used_before
        share = (lent - flight.lent_before) / passed if passed > 0 else 0.0
        counted = 1 - min(MOST_LENT, share)
        longest = max(0.0, flight.estimate.wait_longest)
        return flight.arrival.now + longest / counted
