"""What a request needs: how long it runs, and how late it may start."""

import dataclasses

from trestlestall.policy import arrivals, lengths, settings as defaults, speeds

UNIT_TOKENS = 1.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Predictions for one request, made when it arrives.

    ``tokens`` is its expected cost. ``service`` is the time in seconds that it holds a
    slot. ``wait_admitted`` and ``wait_longest`` are the longest waits in seconds before
    sending with which it still meets its targets, with the chance that admission asks
    and with the smaller one that a waiting request may fall to. ``reachable`` is false
    when it would miss its target with no load at all.
    """

    tokens: float
    service: float
    wait_admitted: float
    wait_longest: float
    reachable: bool


def estimate(
    request: arrivals.Arrival,
    distribution: lengths.Distribution,
    speed: speeds.Speeds,
    settings: defaults.Settings,
) -> Estimate:
    """Predict one request from learned lengths and observed speeds."""
    first = speed.find_late_first(request.tier) * settings.safety
    gap = speed.find_gap(request.tier) * settings.safety
    target = request.request_class.target
    # What is out of reach is judged without load. Were it judged by the times of the
    # moment, one bad moment would refuse everything, and nothing would show it is over.
    least = speed.find_least_first(request.tier)
    chance = distribution.find_chance((target - least) / gap)
    reachable = chance >= settings.least_chance
    reachable = reachable and find_latest_first(request, least) >= 0
    start_by = find_latest_first(request, first)
    mean = distribution.find_mean()

    def find_wait(share: float) -> float:
        needed = first + distribution.find_quantile(share * chance) * gap
        return min(target - needed, start_by)

    return Estimate(
        tokens=max(UNIT_TOKENS, mean),
        service=speed.find_first(request.tier) + mean * gap,
        wait_admitted=find_wait(settings.admitted_chance),
        wait_longest=find_wait(settings.waiting_chance),
        reachable=reachable,
    )


def find_latest_first(request: arrivals.Arrival, first: float) -> float:
    """Return the longest wait that still meets the target for the first token."""
    target = request.request_class.first_token_target
    if target is None:
        return request.request_class.target
    # A caller of a whole answer sees no first token; its whole target still binds.
    if not request.stream:
        return request.request_class.target
    return target - first
