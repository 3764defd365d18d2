"""Estimates for a request: how long it runs, and how late it may start."""

import dataclasses

from trestlestall.policy import arrivals, lengths, settings as defaults, speeds

MIN_COST_TOKENS = 1.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Predictions for one request, made when it arrives.

    ``tokens`` is its expected cost. ``service`` is the time in seconds that it holds a
    slot. ``admission_max_wait`` and ``max_wait`` are the longest waits in seconds
    before sending after which it still meets its targets, with the probability that
    admission requires and with the lower one below which a waiting request is failed.
    ``reachable`` is false when it would miss its target even without load.
    """

    tokens: float
    service: float
    admission_max_wait: float
    max_wait: float
    reachable: bool


def estimate(
    request: arrivals.Arrival,
    distribution: lengths.Distribution,
    observed: speeds.Speeds,
    settings: defaults.Settings,
) -> Estimate:
    """Predict one request from learned lengths and observed speeds."""
    first = observed.find_late_first_token(request.tier) * settings.safety_factor
    gap = observed.find_gap(request.tier) * settings.safety_factor
    target = request.request_class.target
    # Reachability is evaluated with the time to first token without load. With current
    # times, one slow moment would refuse everything, and then no observation would show
    # that it is over.
    least = observed.find_min_first_token(request.tier)
    probability = distribution.find_probability((target - least) / gap)
    reachable = probability >= settings.min_probability
    reachable = reachable and find_first_token_wait(request, least) >= 0
    start_by = find_first_token_wait(request, first)
    mean = distribution.find_mean()

    def find_wait(share: float) -> float:
        needed = first + distribution.find_quantile(share * probability) * gap
        return min(target - needed, start_by)

    return Estimate(
        tokens=max(MIN_COST_TOKENS, mean),
        service=observed.find_first_token(request.tier) + mean * gap,
        admission_max_wait=find_wait(settings.admission_probability),
        max_wait=find_wait(settings.waiting_probability),
        reachable=reachable,
    )


def find_first_token_wait(request: arrivals.Arrival, first: float) -> float:
    """Return the longest wait in seconds that still meets the first-token target."""
    target = request.request_class.first_token_target
    if target is None:
        return request.request_class.target
    # Without streaming the caller sees no first token; only the whole target applies.
    if not request.stream:
        return request.request_class.target
    return target - first
