"""How many repeated sends a process may spend, so that retries never pile up.

Over any window, the sends beyond the first of each request stay below a share of the
requests for the service plus a fixed slack. The share counts what this process itself
took in, so that the sum over all processes keeps the bound without any message; the
slack is divided among the processes.
"""

import collections
import dataclasses

#: Part of the allowed ratio and slack that is spent. Requests near a window's edge are
#: counted by two observers at slightly different times; a fifth is left for that.
SPENT_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class Bound:
    """``ratio`` of the requests plus ``slack``, in each ``window`` of seconds.

    ``processes`` divide the slack among themselves.
    """

    ratio: float
    slack: float
    window: float
    processes: int = 1


class Budget:
    """Counts requests and repeated sends of one service."""

    def __init__(self) -> None:
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def count_repeats(self, bound: Bound, now: float) -> int:
        """Return the repeated sends within the window."""
        drop_before(self._repeats, now - bound.window)
        return len(self._repeats)

    def find_limit(self, bound: Bound, now: float) -> float:
        """Return how many repeated sends the window allows."""
        drop_before(self._requests, now - bound.window)
        share = bound.slack / max(1, bound.processes)
        return SPENT_SHARE * (bound.ratio * len(self._requests) + share)

    def spend(self, bound: Bound, now: float) -> bool:
        """Take one repeated send from the budget; false if there is none."""
        if self.count_repeats(bound, now) + 1 > self.find_limit(bound, now):
            return False
        self._repeats.append(now)
        return True


def drop_before(times: collections.deque[float], limit: float) -> None:
    """Drop the times before the limit."""
    while times and times[0] < limit:
        times.popleft()
