"""How many repeated sends a process may spend, so that retries never pile up.

Over any window, the sends beyond the first of each request stay below a share of the
requests for the service plus a fixed slack. The share counts what this process itself
took in, so that the sum over all processes keeps the bound without any message; the
slack is divided among the processes.

    ledger = Ledger()
    ledger.note_processes(9, now)
    ledger.note_request("engines", now)
    ledger.spend("engines", bound, now)
"""

import collections
import dataclasses

#: Part of the allowed ratio and slack that is spent. Requests near a window's edge are
#: counted by two observers at slightly different times; a fifth is left for that.
SPENT_SHARE = 0.8
#: Processes that share the slack, until it is told how many there are: more than most
#: deployments have, so that too little is spent rather than too much.
PROCESSES_ASSUMED = 32


@dataclasses.dataclass(frozen=True)
class Bound:
    """``ratio`` of the requests plus ``slack``, in each ``window`` of seconds."""

    ratio: float
    slack: float
    window: float


class Count:
    """The requests and the repeated sends of one service."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def drop_before(self, limit: float) -> None:
        """Drop what was before the limit."""
        for times in (self.requests, self.repeats):
            while times and times[0] < limit:
                times.popleft()


class Ledger:
    """What one process took in and spent, by service; times are monotonic seconds."""

    def __init__(self) -> None:
        self._counts: dict[str, Count] = collections.defaultdict(Count)
        self._processes = PROCESSES_ASSUMED

    def note_processes(self, count: int, now: float) -> None:
        """Note how many processes there are, as a directory told."""
        self._processes = max(1, count)

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._counts[service].requests.append(now)

    def count_repeats(self, service: str, bound: Bound, now: float) -> int:
        """Return the repeated sends within the window."""
        count = self._counts[service]
        count.drop_before(now - bound.window)
        return len(count.repeats)

    def find_limit(self, service: str, bound: Bound, now: float) -> float:
        """Return how many repeated sends the window allows."""
        count = self._counts[service]
        count.drop_before(now - bound.window)
        share = bound.slack / self._processes
        return SPENT_SHARE * (bound.ratio * len(count.requests) + share)

    def spend(self, service: str, bound: Bound, now: float) -> bool:
        """Take one repeated send from the budget; false if there is none."""
        spent = self.count_repeats(service, bound, now)
        if spent + 1 > self.find_limit(service, bound, now):
            return False
        self._counts[service].repeats.append(now)
        return True
