"""Queues of one target, with fair queueing between workspaces inside a tier.

Each class has its own queue. Inside a tier, across its classes, the next request is
that of the workspace with the least service over weight so far (start-time fair
queueing, with tokens as the service). A workspace is charged the expected tokens when
its request is sent, and the difference once the answer's length is known.
"""

import collections
import heapq
import itertools

from trestlestall.policy import jobs

# Workspaces whose virtual time is stored in one tier before idle ones are removed.
WORKSPACE_LIMIT = 8192


class Shares:
    """The virtual time of each workspace in one tier: tokens served over weight."""

    def __init__(self) -> None:
        self._virtual_times: dict[str, float] = {}
        self._virtual_clock = 0.0

    def find_virtual_time(self, workspace: str) -> float:
        """Return the workspace's virtual time; idle workspaces accumulate no credit."""
        return max(self._virtual_times.get(workspace, 0.0), self._virtual_clock)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge a workspace for tokens; a negative number is a refund."""
        tag = (
            self.find_virtual_time(workspace)
            if tokens > 0
            else self._virtual_times.get(workspace, 0.0)
        )
        self._virtual_times[workspace] = tag + tokens / weight
        if len(self._virtual_times) > WORKSPACE_LIMIT:
            self._remove_idle()

    def advance(self, tag: float) -> None:
        """Advance the tier's virtual clock to the tag of the request that is sent."""
        self._virtual_clock = max(self._virtual_clock, tag)

    def _remove_idle(self) -> None:
        retained = {
            name: tag
            for name, tag in self._virtual_times.items()
            if tag > self._virtual_clock
        }
        self._virtual_times = retained


class ClassQueue:
    """The waiting requests of one class, first in first out per workspace."""

    def __init__(self, shares: Shares):
        self._shares = shares
        self._by_workspace: dict[str, collections.deque[jobs.Job]] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def push(self, job: jobs.Job, first: bool = False) -> None:
        """Add a request, with ``first`` at the head of its workspace's queue."""
        workspace = job.arrival.workspace
        line = self._by_workspace.get(workspace)
        if line is None:
            line = self._by_workspace[workspace] = collections.deque()
            self._schedule(workspace)
        if first:
            line.appendleft(job)
        else:
            line.append(job)

    def peek(self) -> tuple[float, jobs.Job] | None:
        """Return the next request and its workspace's virtual time."""
        while self._heap:
            tag, _, workspace = self._heap[0]
            job = self._find_head(workspace)
            if job is None:
                heapq.heappop(self._heap)
                del self._by_workspace[workspace]
                continue
            current = self._shares.find_virtual_time(workspace)
            if current <= tag:
                return current, job
            heapq.heapreplace(self._heap, (current, next(self._numbers), workspace))
        return None

    def _schedule(self, workspace: str) -> None:
        item = (
            self._shares.find_virtual_time(workspace),
            next(self._numbers),
            workspace,
        )
        heapq.heappush(self._heap, item)

    def _find_head(self, workspace: str) -> jobs.Job | None:
        line = self._by_workspace[workspace]
        while line and line[0].stage is not jobs.Stage.WAITING:
            line.popleft()
        return line[0] if line else None


class TargetQueue:
    """All waiting requests of one target, by tier and class."""

    def __init__(self) -> None:
        self._shares: dict[int, Shares] = {}
        self._classes: dict[int, dict[str, ClassQueue]] = {}

    def push(self, job: jobs.Job, first: bool = False) -> None:
        """Add a waiting request."""
        shares = self.find_shares(job.tier)
        classes = self._classes.setdefault(job.tier, {})
        name = job.arrival.request_class.name
        if name not in classes:
            classes[name] = ClassQueue(shares)
        classes[name].push(job, first)

    def peek_tier(self, tier: int) -> jobs.Job | None:
        """Return the tier's next request by fair queueing between workspaces."""
        heads = [queue.peek() for queue in self._classes.get(tier, {}).values()]
        found = [head for head in heads if head is not None]
        if not found:
            return None
        tag, job = min(found, key=lambda head: head[0])
        return job

    def peek_class(self, tier: int, name: str) -> jobs.Job | None:
        """Return the class's next request by fair queueing between workspaces."""
        queue = self._classes.get(tier, {}).get(name)
        head = queue.peek() if queue is not None else None
        return head[1] if head is not None else None

    def find_shares(self, tier: int) -> Shares:
        """Return the virtual times of one tier's workspaces."""
        return self._shares.setdefault(tier, Shares())
