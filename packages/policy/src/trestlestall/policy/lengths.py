"""Prediction of answer lengths from past ones, often of two kinds: short and long.

A histogram is kept for each (class, workspace, target), (class, target) and class. A
distribution with few observations is blended with the next wider one, which counts as
``PRIOR_WEIGHT`` observations. No histogram mixes classes, so that the predictions for a
tier never depend on the work of another.
"""

import collections
import math

# The upper edge of the first bucket, and the ratio of each further edge to the
# previous.
FIRST_EDGE_TOKENS = 4.0
EDGE_RATIO = 1.35
BUCKETS = 30
PRIOR_WEIGHT = 3.0
# The weight of an observation relative to the next one.
COUNT_DECAY = 0.995
# The histograms retained; the least recently updated are evicted first.
HISTOGRAM_LIMIT = 20_000
# An increment above this is scaled back to 1, before the counts lose precision.
INCREMENT_LIMIT = 1e6
# Keeps rounding errors from moving a length or a probability across an edge.
ROUNDING_TOLERANCE = 1e-9
EDGES = tuple(FIRST_EDGE_TOKENS * EDGE_RATIO**index for index in range(BUCKETS))
LOG_EDGE_RATIO = math.log(EDGE_RATIO)


def find_bucket(tokens: float) -> int:
    """Return the index of the first bucket whose upper edge is at least ``tokens``."""
    if tokens <= FIRST_EDGE_TOKENS:
        return 0
    return min(
        BUCKETS - 1,
        math.ceil(
            math.log(tokens / FIRST_EDGE_TOKENS) / LOG_EDGE_RATIO - ROUNDING_TOLERANCE
        ),
    )


class Histogram:
    """Counts of lengths in buckets of growing width; old counts decay."""

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self._increment = 1.0

    def record(self, tokens: int) -> None:
        """Count one length.

        To decay the older counts, the increment grows instead of the counts shrinking.
        """
        self._increment /= COUNT_DECAY
        self.counts[find_bucket(tokens)] += self._increment
        self.total += self._increment
        if self._increment > INCREMENT_LIMIT:
            self.counts = [count / self._increment for count in self.counts]
            self.total /= self._increment
            self._increment = 1.0

    def count_observations(self) -> float:
        """Return how many undecayed observations the counts amount to."""
        return self.total / self._increment


class Distribution:
    """The cumulative distribution of an answer's length in tokens."""

    def __init__(self, shares: list[float], max_tokens: int):
        self._max_tokens = max_tokens
        self._cumulative = []
        total = 0.0
        for share in shares:
            total += share
            self._cumulative.append(total)

    def find_probability(self, tokens: float) -> float:
        """Return the probability (0..1) of an answer of at most ``tokens`` tokens."""
        if tokens >= self._max_tokens:
            return 1.0
        if tokens < 0:
            return 0.0
        bucket = find_bucket(tokens)
        if EDGES[bucket] > tokens:
            bucket -= 1
        return self._cumulative[bucket] if bucket >= 0 else 0.0

    def find_quantile(self, probability: float) -> float:
        """Return the length in tokens that is not exceeded with the probability."""
        for bucket, cumulative in enumerate(self._cumulative):
            if cumulative >= probability - ROUNDING_TOLERANCE:
                return min(EDGES[bucket], self._max_tokens)
        return float(self._max_tokens)

    def find_mean(self) -> float:
        """Return the expected length in tokens."""
        mean, before = 0.0, 0.0
        for edge, cumulative in zip(EDGES, self._cumulative, strict=True):
            mean += min(edge, self._max_tokens) * (cumulative - before)
            before = cumulative
        return mean


class Predictor:
    """Predicts answer lengths by class, workspace and target."""

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[tuple, Histogram] = (
            collections.OrderedDict()
        )

    def record(self, name: str, workspace: str, target: str, tokens: int) -> None:
        """Record the length of one complete answer."""
        for key in ((name,), (name, target), (name, target, workspace)):
            histogram = self._histograms.setdefault(key, Histogram())
            self._histograms.move_to_end(key)
            histogram.record(tokens)
        while len(self._histograms) > HISTOGRAM_LIMIT:
            self._histograms.popitem(last=False)

    def predict(
        self, name: str, workspace: str, target: str, max_tokens: int
    ) -> Distribution:
        """Return the distribution for a request of at most ``max_tokens`` tokens."""
        shares = make_prior(max_tokens)
        for key in ((name,), (name, target), (name, target, workspace)):
            histogram = self._histograms.get(key)
            if histogram is not None:
                shares = blend(histogram, shares)
        return Distribution(shares, max_tokens)


def make_prior(max_tokens: int) -> list[float]:
    """Return the prior, which makes every order of magnitude equally likely.

    It covers the buckets up to the request's own bound. If it included those above,
    their weight would fall on the bound, and a router that has just started would
    refuse work that its engines could well do.
    """
    count = find_bucket(max_tokens) + 1
    return [1 / count] * count + [0.0] * (BUCKETS - count)


def blend(histogram: Histogram, wider: list[float]) -> list[float]:
    """Return the histogram's shares, blended with those of the wider distribution."""
    observations = histogram.count_observations()
    own = observations / (observations + PRIOR_WEIGHT) / histogram.total
    rest = PRIOR_WEIGHT / (observations + PRIOR_WEIGHT)
    pairs = zip(histogram.counts, wider, strict=True)
    return [count * own + share * rest for count, share in pairs]
