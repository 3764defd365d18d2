"""The waiting and in-flight work of one target at this router, by tier.

Besides the current counts it integrates, over time, the slots that each tier held where
it could not be preempted. From these ``deadlines`` finds whether less urgent work may
have caused a request's wait.
"""

import dataclasses
import math

from trestlestall.policy import jobs, tiers

OFFERED_DECAY_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class WorkspaceBacklog:
    """The waiting requests of one workspace in one tier; work is in slot-seconds.

    ``added`` and ``removed`` sum all work since the workspace last had none
    waiting.
    """

    weight: float
    count: int = 0
    added: float = 0.0
    removed: float = 0.0

    @property
    def work(self) -> float:
        """The waiting work, in slot-seconds."""
        return self.added - self.removed


class Backlog:
    """Sums over one target's requests, by tier and by workspace."""

    def __init__(self) -> None:
        self.waiting = tiers.PerTier()
        self.waiting_work = tiers.PerTier()
        self.in_flight = tiers.PerTier()
        self.served = tiers.PerTier()
        self.offered = tiers.PerTier()
        self._non_preemptible = tiers.PerTier()
        self._non_preemptible_time = tiers.PerTier()
        self._integrated_at = 0.0
        self._decayed_at = 0.0
        self._waiting_since: dict[int, float] = {}
        self._by_workspace: dict[tuple[int, str], WorkspaceBacklog] = {}
        self._weights = tiers.PerTier()

    def add_waiting(self, job: jobs.Job, now: float) -> None:
        """Count a request that starts to wait."""
        if not self.waiting.get(job.tier):
            self._waiting_since[job.tier] = now
        self.waiting.add(job.tier, 1)
        self.waiting_work.add(job.tier, job.estimate.service)
        key = (job.tier, job.arrival.workspace)
        queued = self._by_workspace.get(key)
        if queued is None:
            queued = self._by_workspace[key] = WorkspaceBacklog(job.arrival.weight)
            self._weights.add(job.tier, queued.weight)
        queued.count += 1
        job.queued_before = queued.added
        queued.added += job.estimate.service

    def remove_waiting(self, job: jobs.Job) -> None:
        """Stop counting a request that no longer waits."""
        self.waiting.add(job.tier, -1)
        self.waiting_work.add(job.tier, -job.estimate.service)
        key = (job.tier, job.arrival.workspace)
        queued = self._by_workspace[key]
        queued.count -= 1
        queued.removed += job.estimate.service
        if not queued.count:
            del self._by_workspace[key]
            self._weights.add(job.tier, -queued.weight)

    def get_workspace_work(self, tier: int, workspace: str) -> float:
        """Return the waiting slot-seconds of a workspace in a tier."""
        queued = self._by_workspace.get((tier, workspace))
        return queued.work if queued else 0.0

    def sum_other_weights(self, tier: int, workspace: str) -> float:
        """Return the sum of the weights of all other workspaces that wait in a tier."""
        queued = self._by_workspace.get((tier, workspace))
        own = queued.weight if queued else 0.0
        return max(0.0, self._weights.get(tier) - own)

    def find_waiting_since(self, tier: int) -> float:
        """Return the time since which the tier has had work waiting."""
        return self._waiting_since.get(tier, 0.0)

    def add_in_flight(self, tier: int, non_preemptible: bool, now: float) -> None:
        """Count an attempt that occupies a slot."""
        self._integrate(now)
        self.in_flight.add(tier, 1)
        self._non_preemptible.add(tier, int(non_preemptible))

    def remove_in_flight(self, tier: int, non_preemptible: bool, now: float) -> None:
        """Stop counting an attempt that has freed its slot."""
        self._integrate(now)
        self.in_flight.add(tier, -1)
        self._non_preemptible.add(tier, -int(non_preemptible))

    def record_offered(self, tier: int, work: float, now: float) -> None:
        """Count admitted slot-seconds in the rate at which a tier offers work."""
        self._decay_offered(now)
        self.offered.add(tier, work / OFFERED_DECAY_SECONDS)

    def find_offered_slots(self, tier: int, now: float) -> float:
        """Return the slots that the recent arrivals of more urgent tiers need."""
        self._decay_offered(now)
        return self.offered.sum_more_urgent(tier)

    def find_work_ahead_of(self, job: jobs.Job) -> float:
        """Return the slot-seconds that are sent before a waiting request."""
        tier = job.tier
        queued = self._by_workspace[tier, job.arrival.workspace]
        own = max(0.0, job.queued_before - queued.removed)
        others = self.sum_other_weights(tier, job.arrival.workspace)
        fair = own * (1 + others / queued.weight)
        urgent = self.waiting_work.sum_more_urgent(tier)
        return urgent + min(self.waiting_work.get(tier), fair)

    def measure_borrowed(self, tier: int, now: float) -> float:
        """Return the total slot-seconds that less urgent work has held unpreempted."""
        self._integrate(now)
        return self._non_preemptible_time.sum_less_urgent(tier)

    def count_borrowed(self, tier: int) -> float:
        """Return the slots that less urgent work holds now unpreempted."""
        return self._non_preemptible.sum_less_urgent(tier)

    def _integrate(self, now: float) -> None:
        elapsed = now - self._integrated_at
        if elapsed <= 0:
            return
        self._integrated_at = now
        self._non_preemptible_time.add_scaled(self._non_preemptible, elapsed)

    def _decay_offered(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed > 0:
            self._decayed_at = now
            self.offered.scale(math.exp(-elapsed / OFFERED_DECAY_SECONDS))
