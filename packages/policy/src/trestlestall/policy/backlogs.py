"""What one target has waiting and in flight at this router, by tier.

Beside the present numbers it integrates, over time, the slots that each tier held where
nothing would displace it. With these one can tell whether a request's wait was due to
less urgent work.
"""

import dataclasses
import math

from trestlestall.policy import flights, tiers

OFFERED_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Line:
    """What one workspace has waiting in one tier; work in slot-seconds.

    ``entered`` and ``left`` sum all work since the line was last empty.
    """

    weight: float
    count: int = 0
    entered: float = 0.0
    left: float = 0.0

    @property
    def work(self) -> float:
        """The work that waits."""
        return self.entered - self.left


class Backlog:
    """Sums over one target's requests."""

    def __init__(self) -> None:
        self.waiting = tiers.PerTier()
        self.waiting_work = tiers.PerTier()
        self.in_flight = tiers.PerTier()
        self.served = tiers.PerTier()
        self.offered = tiers.PerTier()
        self._fixed = tiers.PerTier()
        self._fixed_time = tiers.PerTier()
        self._settled_at = 0.0
        self._offered_at = 0.0
        self._waiting_since: dict[int, float] = {}
        self._lines: dict[tuple[int, str], Line] = {}
        self._weights = tiers.PerTier()

    def add_waiting(self, flight: flights.Flight, now: float) -> None:
        """Note a request that begins to wait."""
        if not self.waiting.get(flight.tier):
            self._waiting_since[flight.tier] = now
        self.waiting.add(flight.tier, 1)
        self.waiting_work.add(flight.tier, flight.estimate.service)
        key = (flight.tier, flight.arrival.workspace)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = Line(flight.arrival.weight)
            self._weights.add(flight.tier, line.weight)
        line.count += 1
        flight.line_mark = line.entered
        line.entered += flight.estimate.service

    def remove_waiting(self, flight: flights.Flight) -> None:
        """Note a request that waits no longer."""
        self.waiting.add(flight.tier, -1)
        self.waiting_work.add(flight.tier, -flight.estimate.service)
        key = (flight.tier, flight.arrival.workspace)
        line = self._lines[key]
        line.count -= 1
        line.left += flight.estimate.service
        if not line.count:
            del self._lines[key]
            self._weights.add(flight.tier, -line.weight)

    def find_line_work(self, tier: int, workspace: str) -> float:
        """Return the slot-seconds that a workspace has waiting in a tier."""
        line = self._lines.get((tier, workspace))
        return line.work if line else 0.0

    def find_weight(self, tier: int, workspace: str) -> float:
        """Return the weights of the workspaces that wait in a tier, other than one."""
        line = self._lines.get((tier, workspace))
        own = line.weight if line else 0.0
        return max(0.0, self._weights.get(tier) - own)

    def find_waiting_since(self, tier: int) -> float:
        """Return since when the tier has had work waiting."""
        return self._waiting_since.get(tier, 0.0)

    def add_in_flight(self, tier: int, fixed: bool, now: float) -> None:
        """Note an attempt that takes a slot."""
        self._settle(now)
        self.in_flight.add(tier, 1)
        self._fixed.add(tier, int(fixed))

    def remove_in_flight(self, tier: int, fixed: bool, now: float) -> None:
        """Note an attempt that leaves its slot."""
        self._settle(now)
        self.in_flight.add(tier, -1)
        self._fixed.add(tier, -int(fixed))

    def note_offered(self, tier: int, work: float, now: float) -> None:
        """Note admitted slot-seconds, for the rate at which a tier offers work."""
        self._fade_offered(now)
        self.offered.add(tier, work / OFFERED_SECONDS)

    def find_offered(self, tier: int, now: float) -> float:
        """Return the slots that more urgent tiers' recent arrivals need."""
        self._fade_offered(now)
        return self.offered.sum_above(tier)

    def find_ahead(self, flight: flights.Flight) -> float:
        """Return the slot-seconds that go before a waiting request."""
        tier = flight.tier
        line = self._lines[tier, flight.arrival.workspace]
        own = max(0.0, flight.line_mark - line.left)
        others = self.find_weight(tier, flight.arrival.workspace)
        fair = own * (1 + others / line.weight)
        urgent = self.waiting_work.sum_above(tier)
        return urgent + min(self.waiting_work.get(tier), fair)

    def measure_lent(self, tier: int, now: float) -> float:
        """Return the slot-seconds so far that less urgent work held undisplaced."""
        self._settle(now)
        return self._fixed_time.sum_under(tier)

    def count_lent(self, tier: int) -> float:
        """Return the slots that less urgent work holds undisplaced now."""
        return self._fixed.sum_under(tier)

    def _settle(self, now: float) -> None:
        passed = now - self._settled_at
        if passed <= 0:
            return
        self._settled_at = now
        self._fixed_time.add_scaled(self._fixed, passed)

    def _fade_offered(self, now: float) -> None:
        passed = now - self._offered_at
        if passed > 0:
            self._offered_at = now
            self.offered.scale(math.exp(-passed / OFFERED_SECONDS))
