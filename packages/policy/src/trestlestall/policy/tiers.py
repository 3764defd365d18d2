"""Sums by tier. Decisions on a tier may read only it and the more urgent tiers."""


class PerTier:
    """A number for each tier; tier 0 is the most urgent.

    A decision on tier ``t`` may read only ``sum_up_to(t)``. This excludes every less
    urgent tier, so that no amount of their work can change the decision.
    """

    def __init__(self) -> None:
        self._values: list[float] = []

    def add(self, tier: int, amount: float) -> None:
        """Add to the number of one tier."""
        self._grow(tier)
        self._values[tier] += amount

    def put(self, tier: int, value: float) -> None:
        """Replace the number of one tier."""
        self._grow(tier)
        self._values[tier] = value

    def get(self, tier: int) -> float:
        """Return the number of one tier."""
        return self._values[tier] if tier < len(self._values) else 0

    def sum_up_to(self, tier: int) -> float:
        """Return the sum over the tier and all more urgent ones."""
        return sum(self._values[: tier + 1])

    def sum_more_urgent(self, tier: int) -> float:
        """Return the sum over the tiers that are more urgent than this one."""
        return sum(self._values[:tier])

    def sum_less_urgent(self, tier: int) -> float:
        """Return the sum over the tiers that are less urgent than this one."""
        return sum(self._values[tier + 1 :])

    def scale(self, factor: float) -> None:
        """Multiply every tier's number."""
        self._values = [value * factor for value in self._values]

    def add_scaled(self, other: "PerTier", factor: float) -> None:
        """Add another's numbers, each times a factor."""
        for tier, value in enumerate(other._values):
            if value:
                self.add(tier, value * factor)

    def find_most_urgent(self) -> int | None:
        """Return the most urgent tier with a positive number."""
        for tier, value in enumerate(self._values):
            if value > 0:
                return tier
        return None

    def _grow(self, tier: int) -> None:
        missing = tier + 1 - len(self._values)
        if missing > 0:
            self._values.extend([0] * missing)
