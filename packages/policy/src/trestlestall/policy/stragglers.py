"""Detection of stragglers: upstreams much slower than others of the same target.

They are detected by the gaps between tokens that this router observes, long before a
report shows them. A straggler gets no new work but an occasional probe. The gaps of a
probe have three times the weight, so that a recovered upstream is soon back in use.
"""

import dataclasses
import enum
import statistics

from trestlestall.policy import settings as defaults

# The weight of a new gap in an upstream's moving mean, and that of a probe's gap.
GAP_WEIGHT = 0.2
PROBE_GAP_WEIGHT = 0.6
# An upstream stalls after this many median gaps without activity, but not before
# ``Settings.stall_time``.
STALL_GAPS = 20
# Bounds on the slowness factor in the choice of an upstream.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 3.0


class Cause(enum.Enum):
    """Why an upstream is a straggler."""

    SLOW = "slow"
    STALLED = "stalled"


@dataclasses.dataclass(slots=True)
class Pace:
    """Observations of one upstream's streams. Times are in seconds."""

    gap: float = 0.0
    samples: int = 0
    active_at: float = 0.0
    cause: Cause | None = None
    next_probe_at: float = 0.0
    probe_interval: float = 0.0


class Detector:
    """Records the paces of a router's upstreams and compares them."""

    def __init__(self, settings: defaults.Settings):
        self._settings = settings
        self._paces: dict[str, Pace] = {}
        self._medians: dict[str, float] = {}

    def record_gap(self, upstream: str, gap: float, now: float) -> None:
        """Record the mean gap between the tokens of one stream."""
        pace = self._find(upstream)
        weight = PROBE_GAP_WEIGHT if pace.cause is not None else GAP_WEIGHT
        weight = max(weight, 1 / (pace.samples + 1))
        pace.gap += (gap - pace.gap) * weight
        pace.samples += 1
        pace.active_at = now

    def record_activity(self, upstream: str, now: float) -> None:
        """Record any activity, such as a first token or the end of an attempt."""
        self._find(upstream).active_at = now

    def record_probe(self, upstream: str, now: float) -> None:
        """Record that a request was sent to a straggler; double the probe interval."""
        pace = self._find(upstream)
        limit = self._settings.max_probe_interval
        pace.probe_interval = min(limit, pace.probe_interval * 2)
        pace.next_probe_at = now + pace.probe_interval

    def evaluate(self, target: str, loads: list, now: float) -> None:
        """Mark the stragglers among the upstreams of one target.

        The cost is O(n log n) in their number.
        """
        paces = {load.upstream.name: self._find(load.upstream.name) for load in loads}
        min_samples = self._settings.straggler_min_samples
        gaps = [pace.gap for pace in paces.values() if pace.samples >= min_samples]
        # The lower median, so that of two upstreams the faster one is the reference.
        median = statistics.median_low(gaps) if gaps else 0.0
        self._medians[target] = median
        for load in loads:
            pace = paces[load.upstream.name]
            cause = None
            if pace.samples >= min_samples and self._is_slow(pace.gap, median):
                cause = Cause.SLOW
            elif self._is_stalled(load, pace, median, now):
                cause = Cause.STALLED
            self._set_cause(pace, cause, now)

    def is_straggling(self, upstream: str) -> bool:
        """Whether the upstream is a straggler now."""
        return self.find_cause(upstream) is not None

    def find_cause(self, upstream: str) -> Cause | None:
        """Return why the upstream is a straggler now; None if it is none."""
        pace = self._paces.get(upstream)
        return None if pace is None else pace.cause

    def may_probe(self, upstream: str, now: float) -> bool:
        """Whether a straggler may get one request as a probe."""
        return now >= self._find(upstream).next_probe_at

    def find_slowness(self, upstream: str, target: str) -> float:
        """Return the ratio of the gap to the median, within 0.5..3; 1 if unknown."""
        pace = self._paces.get(upstream)
        median = self._medians.get(target, 0.0)
        if pace is None or not pace.samples or median <= 0:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, pace.gap / median))

    def discount_stall(self, seconds: float) -> None:
        """Exclude the seconds for which this process was held up from all silence."""
        for pace in self._paces.values():
            pace.active_at += seconds

    def forget(self, names: set[str]) -> None:
        """Drop removed upstreams, and restarted ones, which are evaluated afresh."""
        for name in names:
            self._paces.pop(name, None)

    def _find(self, upstream: str) -> Pace:
        return self._paces.setdefault(upstream, Pace())

    def _is_slow(self, gap: float, median: float) -> bool:
        return median > 0 and gap > self._settings.straggler_ratio * median

    def _is_stalled(self, load, pace: Pace, median: float, now: float) -> bool:
        if not load.own:
            return (
                pace.cause is not None
                and pace.samples < self._settings.straggler_min_samples
            )
        # Without a started stream, inactivity may only mean that the engine is full.
        if not load.started and load.total > load.slots:
            return False
        limit = max(self._settings.stall_time, STALL_GAPS * median)
        return now - max(pace.active_at, load.busy_since) > limit

    def _set_cause(self, pace: Pace, cause: Cause | None, now: float) -> None:
        if cause is not None and pace.cause is None:
            pace.probe_interval = self._settings.probe_interval
            pace.next_probe_at = now + pace.probe_interval
        pace.cause = cause
