"""Tiers under pressure at this router, and when to report them to the other routers.

A tier is under pressure at this router while its work has waited for longer than a
grace time, and for a hold time after that or after a refusal for lack of capacity. The
reported level is one small number for each target: the most urgent tier under pressure.
"""

from collections import abc

from trestlestall.policy import actions

# Less urgent than every tier.
NO_PRESSURE = 1_000_000


class Tracker:
    """This router's own pressure by target."""

    def __init__(self, hold: float, repeat: float):
        self._hold = hold
        self._repeat = repeat
        self._recorded_at: dict[str, dict[int, float]] = {}
        self._began_at: dict[tuple[str, int], float] = {}
        self._reported: abc.Mapping[str, int] = {}
        self._reported_at = float("-inf")
        self._changed = False

    def record(self, target: str, tier: int, now: float) -> None:
        """Record that work of the tier waits or was refused for lack of capacity."""
        recorded_at = self._recorded_at.setdefault(target, {})
        if recorded_at.get(tier, float("-inf")) < now - self._hold:
            self._began_at[target, tier] = now
            self._changed = True
        recorded_at[tier] = now

    def get_level(self, target: str, now: float) -> int:
        """Return the most urgent tier under pressure, or ``NO_PRESSURE``."""
        recorded_at = self._recorded_at.get(target)
        if not recorded_at:
            return NO_PRESSURE
        live = [tier for tier, at in recorded_at.items() if at >= now - self._hold]
        return min(live, default=NO_PRESSURE)

    def find_duration(self, target: str, tier: int, now: float) -> float:
        """Return for how many seconds a more urgent tier has been under pressure."""
        recorded_at = self._recorded_at.get(target, {})
        return max(
            (
                now - self._began_at[target, other]
                for other, at in recorded_at.items()
                if other < tier and at >= now - self._hold
            ),
            default=0.0,
        )

    def report(self, now: float, due: bool) -> list[actions.Action]:
        """Return the report to the other routers: on each change, then at intervals.

        ``due`` also checks for levels that have expired, which only ``tick`` does.
        """
        if not self._changed and not due:
            return []
        self._changed = False
        found = {target: self.get_level(target, now) for target in self._recorded_at}
        levels = {name: tier for name, tier in found.items() if tier != NO_PRESSURE}
        repeats = levels and now >= self._reported_at + self._repeat
        if levels == self._reported and not repeats:
            return []
        self._reported = levels
        self._reported_at = now
        return [actions.ReportPressure(levels)]
