"""Load shedding: early refusal of late requests whose callers have time to retry.

In a burst beyond the capacity of the upstreams, every admitted request delays those
behind it. A caller who still has nearly all of its time loses less by retrying a little
later than by waiting in a queue. A request that is retried is never refused again for
this reason, so no caller starves.
"""

import dataclasses

from trestlestall.forwarding import descriptors

OVERLOADED = "all upstreams are behind"
#: Predicted first event, in targets, from which on a request is refused.
LATE_TARGETS = 1.0
#: Share of the target that must be waiting for other requests: a prompt that is too
#: long for its target by itself gains nothing by a retry.
WAIT_SHARE = 0.5
#: Share of used slots from which on the least urgent requests are refused: each that
#: finds no slot preempts a running request, whose prompt is then prefilled once more.
CROWDED_SHARE = 0.9
#: The same two bounds where requests are refused by forecast.
FORECAST_TARGETS = 0.5
FORECAST_WAIT_SHARE = 0.25
#: What a request that was retried may wait for others in any case, as a share of the
#: target plus a share of its own prefill. Without the latter the longest prompts are
#: served less than half as often as the rest in a burst.
RETURNED_WAIT_SHARE = 0.22
RETURNED_PREFILL_SHARE = 0.2
#: When callers should retry, as shares of their time: spread, so that they don't
#: coincide, and early enough that most of the time is left.
RETURN_SHARES = (0.1, 0.3)


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Forecast for a request at the best upstream; times in seconds.

    ``wait`` is the time until the engine begins with it, ``predicted`` that until its
    first event. ``taken`` is the share of used slots at the upstream with the fewest;
    ``yields`` tells whether the best upstream runs a less urgent request, which would
    give way.
    """

    wait: float
    predicted: float
    taken: float = 0.0
    yields: bool = False


def should_refuse(descriptor: descriptors.Descriptor, forecast: Forecast) -> bool:
    """Return whether to refuse a request of a caller who has time to retry."""
    if not descriptor.may_return:
        return False
    if forecast.taken >= CROWDED_SHARE and not forecast.yields:
        return True
    target = descriptor.first_seconds
    late = forecast.predicted > LATE_TARGETS * target
    return late and forecast.wait > WAIT_SHARE * target


def should_refuse_by_forecast(
    descriptor: descriptors.Descriptor, forecast: Forecast
) -> bool:
    """Return whether to refuse a request, new or retried, that would begin too late.

    The load is a burst beyond the capacity of the upstreams, for longer than callers
    wait: a retry meets it again. A request that is admitted then and begins too late
    takes time from others that would not. Predictions cover prefill alone; the decode
    steps of other streams and slowdown episodes take the rest of the target.

    A retried request precedes new ones, the more so the longer its prompt is: the
    longest are refused first, and would otherwise begin only by chance.
    """
    target = descriptor.first_seconds
    late = forecast.predicted > FORECAST_TARGETS * target
    if descriptor.may_return:
        return late and forecast.wait > FORECAST_WAIT_SHARE * target
    own = forecast.predicted - forecast.wait
    allowed = RETURNED_WAIT_SHARE * target + RETURNED_PREFILL_SHARE * own
    return late and forecast.wait > allowed


def compute_retry_after(descriptor: descriptors.Descriptor, jitter: float) -> float:
    """Return after how many seconds the caller should retry; ``jitter`` is 0 to 1."""
    first, last = RETURN_SHARES
    return descriptor.whole_seconds * (first + (last - first) * jitter)
