"""The load of one upstream: its delayed report, corrected by this router's own work.

This router's own attempts in flight are known exactly. The work of other routers is
what the report counted beyond this router's own work at the time that the report
describes.
"""

import collections

from trestlestall.policy import tiers

HISTORY_SECONDS = 2.0
# The weight of work that an engine would preempt, relative to work that it would not.
PREEMPTIBLE_WEIGHT = 0.1


class Load:
    """The load of one incarnation of an upstream.

    ``own`` counts this router's attempts, ``others`` those of other routers.
    ``by_floor`` counts own attempts sent under a floor. Until ``backoff_until`` nothing
    is sent there, until ``reserved_until`` only work under floors.
    """

    def __init__(self, upstream, report_lag: float):
        self.upstream = upstream
        self.own = 0
        self.others = 0
        self.by_tier = tiers.PerTier()
        self.unstarted = tiers.PerTier()
        self.by_floor = 0
        self.busy_since = 0.0
        self.backoff_until = float("-inf")
        self.reserved_until = float("-inf")
        self._report_lag = report_lag
        self._unstarted_count = 0
        self._history: collections.deque[tuple[float, int]] = collections.deque()
        self._own_before_history = 0
        self._report = None
        self.refresh(upstream)

    @property
    def total(self) -> int:
        """Requests running or waiting in the upstream, as far as is known."""
        return self.own + self.others

    @property
    def slots(self) -> int:
        """How many requests the upstream runs concurrently."""
        return self.upstream.slots

    @property
    def started(self) -> int:
        """Own attempts that have brought a token."""
        return self.own - self._unstarted_count

    def refresh(self, upstream) -> None:
        """Apply the upstream's newest report."""
        self.upstream = upstream
        report = upstream.report
        if report == self._report:
            return
        self._report = report
        own = self._find_max_own(report.received_at)
        self.others = max(0, report.running + report.waiting - own)

    def add(self, tier: int, by_floor: bool, now: float) -> None:
        """Count an attempt that is sent."""
        self.by_tier.add(tier, 1)
        self.unstarted.add(tier, 1)
        self._unstarted_count += 1
        self.by_floor += by_floor
        if by_floor:
            self.reserved_until = now
        self._count(1, now)

    def start(self, tier: int) -> None:
        """Record an attempt's first token."""
        self.unstarted.add(tier, -1)
        self._unstarted_count -= 1

    def remove(self, tier: int, by_floor: bool, started: bool, now: float) -> None:
        """Stop counting an attempt that ended."""
        self.by_tier.add(tier, -1)
        if not started:
            self.start(tier)
        self.by_floor -= by_floor
        self._count(-1, now)

    def has_free_slot(self, headroom: int) -> bool:
        """Whether more than ``headroom`` slots are free."""
        return self.total + headroom < self.slots

    def can_preempt(self, tier: int, reserved: int) -> bool:
        """Whether the engine would preempt less urgent work for the tier.

        ``reserved`` is how many slots other routers may hold with work of the tier or
        more urgent: their work counts up to that many. At most a quarter of the slots,
        or two, may hold work of these tiers that has not started. So when the engine is
        full of such work of other routers, which this router can't see, no first tokens
        arrive and this router stops sending.
        """
        if not self.upstream.capabilities.priorities:
            return False
        own = self.by_tier.sum_up_to(tier)
        urgent = own + min(reserved, self.others)
        window = max(2, self.slots // 4)
        if urgent >= self.slots or self.unstarted.sum_up_to(tier) >= window:
            return False
        return self.total > own

    def find_effective_load(self, tier: int) -> float:
        """Return how much load there is ahead of the tier, in requests.

        An engine with priorities preempts less urgent work, so that only own work of
        the tier or more urgent counts in full. The rest counts little, to break ties.
        Other routers spread their urgent work in the same way.
        """
        if not self.upstream.capabilities.priorities:
            return self.total
        urgent = self.by_tier.sum_up_to(tier)
        return urgent + PREEMPTIBLE_WEIGHT * (self.total - urgent)

    def accepts_floor_work(self, tier: int) -> bool:
        """Whether work of the tier may be sent out of order under its class's floor.

        It is sent with the priority of a more urgent tier. All more urgent work of this
        router must keep its slot, so that the engine preempts none of it.
        """
        if not self.upstream.capabilities.priorities:
            return False
        return self.by_tier.sum_more_urgent(tier) + self.by_floor < self.slots

    def still_accepts_floor_work(self, tier: int) -> bool:
        """Whether an attempt already counted here under its floor may still be sent."""
        if not self.upstream.capabilities.priorities:
            return True
        return self.by_tier.sum_more_urgent(tier) + self.by_floor <= self.slots

    def can_queue(self, reserved: int) -> bool:
        """Whether one request may queue inside an engine without priorities.

        Other routers refill each freed slot before this router learns of it. So a
        router that holds less than its even share may have one request queued there.
        """
        if self.upstream.capabilities.priorities or not reserved:
            return False
        return self.own < self.slots - reserved and not self._unstarted_count

    def _count(self, change: int, now: float) -> None:
        if not self.own:
            self.busy_since = now
        self.own += change
        self._history.append((now, self.own))
        while self._history and self._history[0][0] < now - HISTORY_SECONDS:
            self._own_before_history = self._history.popleft()[1]

    def _find_max_own(self, received_at: float) -> int:
        """Return the most own attempts that the report may have counted."""
        begin = received_at - self._report_lag
        before = self._own_before_history
        most = 0
        for at, own in self._history:
            if at <= begin:
                before = own
            elif at <= received_at:
                most = max(most, own)
        return max(before, most)
