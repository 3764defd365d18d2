"""Waiting requests of one target, and fairness between workspaces inside a tier.

Each class has a queue of its own. Inside a tier, whichever class, the next request is
that of the workspace with the least service so far over its weight (start-time fair
queueing, with tokens as the service). A workspace is charged the expected tokens when
its request is sent, and the difference when the answer's length is known.
"""

import collections
import heapq
import itertools

from trestlestall.policy import flights

# Workspaces whose virtual time is kept in one tier.
TAG_LIMIT = 8192


class Shares:
    """Each workspace's virtual time in one tier: tokens served over weight."""

    def __init__(self) -> None:
        self._tags: dict[str, float] = {}
        self._clock = 0.0

    def find_tag(self, workspace: str) -> float:
        """Return the workspace's virtual time; idle ones save nothing up."""
        return max(self._tags.get(workspace, 0.0), self._clock)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge a workspace for tokens; a negative number gives some back."""
        tag = self.find_tag(workspace) if tokens > 0 else self._tags.get(workspace, 0.0)
        self._tags[workspace] = tag + tokens / weight
        if len(self._tags) > TAG_LIMIT:
            self._forget_idle()

    def advance(self, tag: float) -> None:
        """Move the tier's clock to the tag of the request that is sent."""
        self._clock = max(self._clock, tag)

    def _forget_idle(self) -> None:
        kept = {name: tag for name, tag in self._tags.items() if tag > self._clock}
        self._tags = kept


class ClassQueue:
    """The waiting requests of one class, first come first served per workspace."""

    def __init__(self, shares: Shares):
        self._shares = shares
        self._lines: dict[str, collections.deque[flights.Flight]] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def push(self, flight: flights.Flight, first: bool = False) -> None:
        """Add a request, at the head of its workspace's line if it was sent before."""
        workspace = flight.arrival.workspace
        line = self._lines.get(workspace)
        if line is None:
            line = self._lines[workspace] = collections.deque()
            self._enter(workspace)
        if first:
            line.appendleft(flight)
        else:
            line.append(flight)

    def peek(self) -> tuple[float, flights.Flight] | None:
        """Return the next request and its workspace's tag."""
        while self._heap:
            tag, _, workspace = self._heap[0]
            flight = self._find_head(workspace)
            if flight is None:
                heapq.heappop(self._heap)
                del self._lines[workspace]
                continue
            current = self._shares.find_tag(workspace)
            if current <= tag:
                return current, flight
            heapq.heapreplace(self._heap, (current, next(self._numbers), workspace))
        return None

    def _enter(self, workspace: str) -> None:
        entry = (self._shares.find_tag(workspace), next(self._numbers), workspace)
        heapq.heappush(self._heap, entry)

    def _find_head(self, workspace: str) -> flights.Flight | None:
        line = self._lines[workspace]
        while line and line[0].stage is not flights.Stage.WAITING:
            line.popleft()
        return line[0] if line else None


class TargetQueue:
    """All waiting requests of one target, by tier and class."""

    def __init__(self) -> None:
        self._shares: dict[int, Shares] = {}
        self._classes: dict[int, dict[str, ClassQueue]] = {}

    def push(self, flight: flights.Flight, first: bool = False) -> None:
        """Add a waiting request."""
        shares = self.find_shares(flight.tier)
        classes = self._classes.setdefault(flight.tier, {})
        name = flight.arrival.request_class.name
        if name not in classes:
            classes[name] = ClassQueue(shares)
        classes[name].push(flight, first)

    def peek_tier(self, tier: int) -> flights.Flight | None:
        """Return the tier's next request, fair between workspaces."""
        heads = [queue.peek() for queue in self._classes.get(tier, {}).values()]
        found = [head for head in heads if head is not None]
        if not found:
            return None
        tag, flight = min(found, key=lambda head: head[0])
        return flight

    def peek_class(self, tier: int, name: str) -> flights.Flight | None:
        """Return the class's next request, fair between workspaces."""
        queue = self._classes.get(tier, {}).get(name)
        head = queue.peek() if queue is not None else None
        return head[1] if head is not None else None

    def find_shares(self, tier: int) -> Shares:
        """Return the virtual times of one tier's workspaces."""
        return self._shares.setdefault(tier, Shares())
