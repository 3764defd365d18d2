"""Learned lengths of answers: three lines or three pages.

A histogram is kept for each (class, workspace, target), (class, target) and class. A
distribution with few observations leans on the wider one: the wider one counts as
``PRIOR_WEIGHT`` observations. No histogram mixes classes, so that what a tier learns
never depends on the work of another.
"""

import collections
import math

# The upper edge of the first bucket, in tokens, and each further edge over the last.
LEAST = 4.0
RATIO = 1.35
BUCKETS = 30
PRIOR_WEIGHT = 3.0
# How much an observation weighs beside the next one.
DECAY = 0.995
# Histograms kept; those that learned longest ago go first.
KEY_LIMIT = 20_000
# A step above this is scaled back to 1, before sums of counts lose their precision.
STEP_LIMIT = 1e6
# Keeps a rounding error from moving a length or a chance over an edge.
ROUNDING = 1e-9
EDGES = tuple(LEAST * RATIO**index for index in range(BUCKETS))
LOG_RATIO = math.log(RATIO)


def find_bucket(tokens: float) -> int:
    """Return the index of the bucket whose upper edge is the first at or over."""
    if tokens <= LEAST:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(tokens / LEAST) / LOG_RATIO - ROUNDING))


class Histogram:
    """Counts of lengths in buckets of growing width; old counts fade."""

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self._step = 1.0

    def note(self, tokens: int) -> None:
        """Count one length. Later lengths weigh more, instead of older ones less."""
        self._step /= DECAY
        self.counts[find_bucket(tokens)] += self._step
        self.total += self._step
        if self._step > STEP_LIMIT:
            self.counts = [count / self._step for count in self.counts]
            self.total /= self._step
            self._step = 1.0

    def weigh(self) -> float:
        """Return how many recent observations the counts amount to."""
        return self.total / self._step


class Distribution:
    """The chance that an answer is at most so long, in tokens."""

    def __init__(self, shares: list[float], most: int):
        self._most = most
        self._cumulated = []
        total = 0.0
        for share in shares:
            total += share
            self._cumulated.append(total)

    def find_chance(self, tokens: float) -> float:
        """Return the chance (0..1) that the answer has at most ``tokens`` tokens."""
        if tokens >= self._most:
            return 1.0
        if tokens < 0:
            return 0.0
        bucket = find_bucket(tokens)
        if EDGES[bucket] > tokens:
            bucket -= 1
        return self._cumulated[bucket] if bucket >= 0 else 0.0

    def find_quantile(self, chance: float) -> float:
        """Return the length in tokens that is not passed with the given chance."""
        for bucket, cumulated in enumerate(self._cumulated):
            if cumulated >= chance - ROUNDING:
                return min(EDGES[bucket], self._most)
        return float(self._most)

    def find_mean(self) -> float:
        """Return the expected length in tokens."""
        mean, before = 0.0, 0.0
        for edge, cumulated in zip(EDGES, self._cumulated, strict=True):
            mean += min(edge, self._most) * (cumulated - before)
            before = cumulated
        return mean


class Book:
    """Everything learned of lengths, by class, workspace and target."""

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[tuple, Histogram] = (
            collections.OrderedDict()
        )

    def note(self, name: str, workspace: str, target: str, tokens: int) -> None:
        """Learn from one whole answer."""
        for key in ((name,), (name, target), (name, target, workspace)):
            histogram = self._histograms.setdefault(key, Histogram())
            self._histograms.move_to_end(key)
            histogram.note(tokens)
        while len(self._histograms) > KEY_LIMIT:
            self._histograms.popitem(last=False)

    def predict(
        self, name: str, workspace: str, target: str, most: int
    ) -> Distribution:
        """Return the distribution for a request that may make ``most`` tokens."""
        shares = make_prior(most)
        for key in ((name,), (name, target), (name, target, workspace)):
            histogram = self._histograms.get(key)
            if histogram is not None:
                shares = blend(histogram, shares)
        return Distribution(shares, most)


def make_prior(most: int) -> list[float]:
    """Return what is assumed before anything is learned: any order of magnitude.

    All buckets up to the request's own bound are as likely. Were those above it counted
    too, their weight would fall on the bound, and a router that has just started would
    refuse work that its engines could well do.
    """
    count = find_bucket(most) + 1
    return [1 / count] * count + [0.0] * (BUCKETS - count)


def blend(histogram: Histogram, wider: list[float]) -> list[float]:
    """Return the histogram's shares, leaning on the wider distribution."""
    seen = histogram.weigh()
    own = seen / (seen + PRIOR_WEIGHT) / histogram.total
    rest = PRIOR_WEIGHT / (seen + PRIOR_WEIGHT)
    pairs = zip(histogram.counts, wider, strict=True)
    return [count * own + share * rest for count, share in pairs]
