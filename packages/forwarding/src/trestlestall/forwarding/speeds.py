"""The prefill speed of an upstream, estimated from its first events; pure.

The load: engines of one service that differ by half or double, new incarnations each
second while others are replaced, and slowdown episodes in which an engine takes a
multiple of its usual time. A new incarnation to which another engine's speed is
attributed gets twice its share of the work, or half.

The logarithm of the speed is estimated with its uncertainty by a Kalman filter. The
first observations weigh most, later ones little, and an outlier is clipped. The prior
comes from the other upstreams of the service (``compute_prior``), not from a constant.
"""

import dataclasses
import math
import statistics
import typing
from collections import abc

#: Prompt tokens that an engine prefills in a second if nothing else is known, and the
#: standard deviation of its logarithm.
INITIAL_PREFILL_RATE = 45_000.0
INITIAL_SPREAD = 0.9
#: Standard deviation of one observation for reasons other than speed: decode steps of
#: other streams, the network path between hosts, slowdown episodes.
NOISE_SPREAD = 0.4
#: Standard deviation of the change of the speed between two observations.
DRIFT_SPREAD = 0.03
#: The least standard deviation that is assumed among the upstreams of one service.
SIBLING_SPREAD = 0.25
#: Observations beyond this many standard deviations are clipped.
OUTLIER_DEVIATIONS = 2.0
#: Bounds of an estimated speed, in tokens a second, against a faulty reporter or clock.
RATE_BOUNDS = (2_000.0, 500_000.0)
#: Change of a speed's logarithm from which on others are notified: a tenth, which
#: hardly changes a choice.
UPDATE_STEP = 0.1
#: Observations from which on an upstream's speed is evidence for its siblings.
MIN_SAMPLES = 3
#: Shortest predicted time that is a sample of the speed: of a shorter one, the network
#: path and the decode steps of other streams are a large part.
MIN_SAMPLE_SECONDS = 0.03
#: Exponent with which the ratio of one first event changes the rate. Twice as much
#: follows the noise of predictions: callers got 0.01 less in virtual time.
RATIO_SMOOTHING = 0.08
#: Ratios beyond these bounds are clipped.
RATIO_BOUNDS = (0.25, 4.0)
#: Change, by one short prompt, of the time that a first event takes besides prefill,
#: and the longest such time.
DELAY_STEP_SECONDS = 0.002
MAX_DELAY_SECONDS = 0.5
#: Least work in tokens that is a sample of the speed: of a shorter prompt's time, the
#: network path and the decode steps of other streams are a large part.
MIN_WORK_TOKENS = 4_000.0


@dataclasses.dataclass(frozen=True)
class Speed:
    """Estimate of an upstream's speed: a normal distribution of its logarithm.

    ``observed`` is the number of first events that it rests on.
    """

    logarithm: float
    spread: float
    observed: int = 0

    @property
    def rate(self) -> float:
        """Prefill tokens a second."""
        return math.exp(self.logarithm)


UNKNOWN = Speed(math.log(INITIAL_PREFILL_RATE), INITIAL_SPREAD)


@dataclasses.dataclass(frozen=True)
class Sample:
    """One first event as a sample of the speed; times in seconds since the choice.

    ``predicted`` and ``seconds`` are the expected and the actual time of the first
    event; ``work`` is the prefill work in tokens. ``preceding`` is when the last first
    event of another prompt came, minus infinity if none did; ``was_queued`` tells
    whether other prompts were to be prefilled first.
    """

    predicted: float
    seconds: float
    work: float
    preceding: float
    was_queued: bool


class Estimator(typing.Protocol):
    """An estimator of an upstream's speed."""

    @property
    def rate(self) -> float:
        """Prefill tokens a second."""

    @property
    def delay(self) -> float:
        """Seconds that a first event takes besides prefill."""

    def learn(self, sample: Sample) -> None:
        """Update the estimate by one sample."""


class RatioEstimator:
    """Changes the rate by the ratio of the predicted to the actual time."""

    delay = 0.0

    def __init__(self) -> None:
        self.rate = INITIAL_PREFILL_RATE

    def learn(self, sample: Sample) -> None:
        """Update the estimate by one sample."""
        if sample.predicted < MIN_SAMPLE_SECONDS:
            return
        ratio = sample.predicted / max(sample.seconds, 0.001)
        ratio = min(RATIO_BOUNDS[1], max(RATIO_BOUNDS[0], ratio))
        self.rate = clamp(self.rate * ratio**RATIO_SMOOTHING)


def update_speed(current: Speed, rate: float) -> Speed:
    """Return the estimate after an observed rate in tokens a second.

    >>> round(update_speed(UNKNOWN, 90_000.0).rate)
    80358
    """
    variance = current.spread**2 + DRIFT_SPREAD**2
    noise = NOISE_SPREAD**2
    deviation = math.sqrt(variance + noise)
    error = math.log(clamp(rate)) - current.logarithm
    error = max(
        -OUTLIER_DEVIATIONS * deviation, min(OUTLIER_DEVIATIONS * deviation, error)
    )
    gain = variance / (variance + noise)
    logarithm = current.logarithm + gain * error
    spread = math.sqrt((1 - gain) * variance)
    return Speed(logarithm, spread, current.observed + 1)


class FixedDelay:
    """The time that a first event takes besides prefill, at all upstreams of a service.

    It covers fixed times of the engines and the network paths between hosts. The
    estimate in seconds follows the median of short prompts that were not queued.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def learn(self, observed_delay: float) -> None:
        """Update the estimate by what one first event took besides its prefill."""
        step = DELAY_STEP_SECONDS * (1 if observed_delay > self.seconds else -1)
        self.seconds = min(MAX_DELAY_SECONDS, max(0.0, self.seconds + step))


class KalmanEstimator:
    """Weighs each sample by the uncertainty of the current estimate."""

    def __init__(self, prior: Speed, delay: FixedDelay) -> None:
        self.speed = prior
        self._delay = delay

    @property
    def rate(self) -> float:
        """Prefill tokens a second."""
        return self.speed.rate

    @property
    def delay(self) -> float:
        """Seconds that a first event takes besides prefill."""
        return self._delay.seconds

    def learn(self, sample: Sample) -> None:
        """Update the estimate by one sample."""
        if sample.work < MIN_WORK_TOKENS:
            if not sample.was_queued:
                self._delay.learn(sample.seconds - sample.work / self.speed.rate)
            return
        prefill = sample.seconds - max(self.delay, sample.preceding)
        if prefill > 0:
            self.speed = update_speed(self.speed, sample.work / prefill)

    def set_prior(self, prior: Speed) -> None:
        """Adopt the prior of the siblings as long as there is no observation."""
        if not self.speed.observed:
            self.speed = prior


def compute_prior(others: abc.Iterable[Speed]) -> Speed:
    """Return the prior of an upstream without observations, from its siblings."""
    logarithms = [one.logarithm for one in others if one.observed >= MIN_SAMPLES]
    if not logarithms:
        return UNKNOWN
    middle = statistics.fmean(logarithms)
    return Speed(middle, max(SIBLING_SPREAD, statistics.pstdev(logarithms)))


def is_significant_change(sent: Speed | None, current: Speed) -> bool:
    """Return whether the current estimate would change the choices of others.

    >>> is_significant_change(Speed(11.0, 0.2, 7), Speed(11.01, 0.19, 8))
    False
    """
    if sent is None or current.spread < sent.spread / 2:
        return True
    return abs(current.logarithm - sent.logarithm) >= UPDATE_STEP


def clamp(rate: float) -> float:
    """Return the nearest rate within the bounds."""
    return max(RATE_BOUNDS[0], min(RATE_BOUNDS[1], rate))


def encode(current: abc.Mapping[str, Speed]) -> list:
    """Return speeds by upstream as plain lists."""
    return [
        [identity, one.logarithm, one.spread, one.observed]
        for identity, one in current.items()
    ]


def decode(encoded: list) -> dict[str, Speed]:
    """Return speeds by upstream; raise ``ValueError`` if one is invalid.

    Speeds and uncertainties beyond the bounds are clipped.
    """
    found = {}
    for row in encoded:
        identity, logarithm, spread, observed = row
        if not (isinstance(identity, str) and isinstance(observed, int)):
            raise ValueError(f"invalid speed of an upstream: {row!r}")
        if not (math.isfinite(logarithm) and math.isfinite(spread)):
            raise ValueError(f"invalid speed of an upstream: {row!r}")
        low, high = map(math.log, RATE_BOUNDS)
        found[identity] = Speed(
            max(low, min(high, logarithm)),
            max(DRIFT_SPREAD, min(INITIAL_SPREAD, spread)),
            max(0, observed),
        )
    return found
