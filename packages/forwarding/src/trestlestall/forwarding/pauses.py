"""How long streams pause beside prompts that their engine prefills.

An engine prefills a long prompt in chunks between the decode steps of all running
streams. Beside a prompt with R seconds of prefill a stream pauses for R at most, and,
however long the prefill lasts, for no more than its steps with a chunk in each. The
longest pause that prefill causes is estimated for each upstream.

Measured on one day of many long prompts (docs/benchmarks.md) with a target of 0.15 s:
of the streams with less than 0.15 s of prefill beside them 1 in 200 paused for too
long, with 0.15 s to 0.4 s 1 in 4, with more 85 in 100. With more, the longest pause was
0.146 s, 0.174 s and 0.235 s at the tenth, the half and nine tenths.
"""

import collections

#: Pause of a stream beside long prefill, until its upstream has been observed.
INITIAL_LONGEST_SECONDS = 0.15
#: Prefill beside a stream, in multiples of the longest pause, that shows that pause.
SAMPLE_PREFILL_FACTOR = 2.0
#: Weight of one stream in the moving average, and the multiple of the average at which
#: one pause is clipped: a pause may have other causes.
SMOOTHING = 0.1
OUTLIER_FACTOR = 2.0
#: Ratio of the longest pause to the target from which on streams are late, and at which
#: nearly all are, as long as the upstream has no samples: the spread that was measured.
MIN_LATE_RATIO = 0.7
ALWAYS_LATE_RATIO = 1.2
#: Pauses that are stored: some seconds of a busy upstream. Pauses of one engine differ
#: by a few hundredths only while its load is the same, so the samples predict better
#: than any formula: beside steady prefill they were 0.195 s, 0.205 s or 0.28 s at
#: engines of one service, around a target of 0.2 s.
SAMPLES_KEPT = 12
#: Weight of the formula, in samples.
PRIOR_WEIGHT = 2.0
#: Width around the target, as a share of it, within which a sample counts in part: the
#: next pause may be as much longer or shorter.
SPREAD = 0.2
#: Prefill, in multiples of the target, at which streams that can be late surely are.
SURE_PREFILL_FACTOR = 2.5


class Pauses:
    """Pauses that were observed at one upstream; all times in seconds."""

    def __init__(self) -> None:
        self.longest = INITIAL_LONGEST_SECONDS
        self._samples: collections.deque[float] = collections.deque(maxlen=SAMPLES_KEPT)
        #: Shares by target since the last sample: choices ask far more often than
        #: streams end, and recomputing took a sixth of a choice among 56 upstreams.
        self._shares: dict[float, float] = {}

    def learn(self, pause: float, prefill_seconds: float) -> None:
        """Record the longest pause of a stream with this much prefill beside it."""
        if prefill_seconds < SAMPLE_PREFILL_FACTOR * self.longest:
            return
        shown = min(pause, OUTLIER_FACTOR * self.longest)
        self.longest += SMOOTHING * (shown - self.longest)
        self._samples.append(pause)
        self._shares.clear()

    def estimate_late_share(
        self, target: float | None, prefill_seconds: float
    ) -> float:
        """Return the probability, from 0 to 1, that a stream exceeds its target.

        >>> Pauses().estimate_late_share(0.6, 10.0)
        0.0
        """
        if not target or prefill_seconds <= target:
            return 0.0
        share = self._shares.get(target)
        if share is None:
            share = self._shares[target] = self._compute_share(target)
        return share * clamp((prefill_seconds / target - 1) / (SURE_PREFILL_FACTOR - 1))

    def _compute_share(self, target: float) -> float:
        """Return the share of streams beside steady prefill that exceed the target."""
        ratio = self.longest / target
        expected = clamp(
            (ratio - MIN_LATE_RATIO) / (ALWAYS_LATE_RATIO - MIN_LATE_RATIO)
        )
        late = sum(
            clamp(0.5 + (shown / target - 1) / SPREAD) for shown in self._samples
        )
        weight = PRIOR_WEIGHT + len(self._samples)
        return (PRIOR_WEIGHT * expected + late) / weight


def clamp(share: float) -> float:
    """Return the nearest value from 0 to 1."""
    return min(1.0, max(0.0, share))
