"""Reports of tiers under pressure, received from other routers of the data centre."""

import dataclasses
from collections import abc

LIFETIME_SECONDS = 3.0
ROUTER_LIMIT = 1000


@dataclasses.dataclass(frozen=True)
class PressureReport:
    """The latest report of one router: its lowest tier under pressure by model."""

    sequence: int
    levels: abc.Mapping[str, int]
    received_at: float


class PressureTracker:
    """The latest report of each peer router, dropped after ``lifetime`` seconds.

    A lower tier number is more urgent. ``find_pressure`` returns the most urgent tier
    under pressure for the model, over all routers whose report was received in the last
    ``LIFETIME_SECONDS`` (the default lifetime), or ``None``.
    """

    def __init__(self, lifetime: float = LIFETIME_SECONDS) -> None:
        self.lifetime = lifetime
        self.reports: dict[str, PressureReport] = {}

    def record(
        self, router: str, sequence: int, levels: abc.Mapping[str, int], now: float
    ) -> bool:
        """Store the report unless a newer one is stored; return whether it was stored.

        A router that restarts numbers its reports from a low sequence again. Its new
        reports are refused until the old one has expired.
        """
        self.expire_reports(now)
        known = self.reports.get(router)
        if known is not None and known.sequence >= sequence:
            return False
        if known is None and len(self.reports) >= ROUTER_LIMIT:
            return False
        self.reports[router] = PressureReport(sequence, dict(levels), now)
        return True

    def find_pressure(self, model: str, now: float) -> int | None:
        """Return the most urgent tier under pressure for the model, or ``None``."""
        self.expire_reports(now)
        levels = [report.levels for report in self.reports.values()]
        return min((tiers[model] for tiers in levels if model in tiers), default=None)

    def expire_reports(self, now: float) -> None:
        """Remove reports that were received longer ago than the lifetime."""
        oldest = now - self.lifetime
        self.reports = {
            router: report
            for router, report in self.reports.items()
            if report.received_at > oldest
        }
