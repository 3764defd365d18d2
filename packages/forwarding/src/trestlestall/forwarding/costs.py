"""The cost of sending a request to an upstream, in the request's targets; pure."""

import itertools

from trestlestall.forwarding import descriptors, engines, fetching

#: Cost of having to wait for a slot, in targets; above that of any usual delay, so that
#: upstreams with free slots are chosen first.
NO_SLOT_COST = 4.0
#: Cost of an upstream whose memory would overflow: a request there gets preempted.
NO_MEMORY_COST = 6.0
MEMORY_SHARE = 0.92
#: Cost of a certain failure, in targets, and the same for a request that may be
#: retried, which is then late but not lost. The lower cost leaves the safer upstreams
#: to the other requests: over ten days it raised the share of worth that callers got
#: by 0.010 (0.691 to 0.701).
FAILURE_COST = 6.0
RETRIABLE_FAILURE_COST = 2.5
#: Cost of one stream that certainly pauses for too long, in targets. Over ten days the
#: worst-served class got 0.014 more of its worth than at two targets, and all callers
#: 0.004 more; at four targets all callers got 0.005 less.
PAUSE_COST = 3.0
#: Cost of a first event by its delay, both in targets. It is low up to a share of the
#: target and reaches 1 shortly before it, as predictions are too low by that much; from
#: there it grows further, since a late request delays those behind it.
DELAY_COSTS = ((0.0, 0.0), (0.3, 0.1), (0.8, 1.0), (10.8, 21.0))
#: Share of a request's total time beyond which a first event may be too late for the
#: rest of the answer, and the cost of that.
ANSWER_TIME_SHARE = 0.5
NO_ANSWER_COST = 2.0
#: Cost of prefilling a token of a shared block that another engine has cached, in
#: targets: this repeats work and delays other requests. A thousand such tokens cost as
#: much as a first event that is a quarter of its target away.
RECOMPUTE_COST = 0.25 / 1000
#: The same for a token that is fetched from another engine, a fourteenth: what moving
#: its memory costs against prefilling it. The transfer time is counted as delay.
FETCH_COST = RECOMPUTE_COST / 14
#: Cost of an upstream with all slots used against an idle one; spreads equal choices.
LOAD_COST = 0.5


def compute_preparation_seconds(
    engine: engines.Upstream, unread: int, fetch: fetching.Fetch | None
) -> float:
    """Return the seconds of fetching and prefill before the first event."""
    return engine.estimate_prefill_seconds(unread) + (
        fetch.seconds if fetch is not None else 0.0
    )


def compute_cost(
    engine: engines.Upstream,
    descriptor: descriptors.Descriptor,
    unread: int,
    fetching_seconds: float,
    now: float,
) -> float:
    """Return the cost of sending the request there, in targets of the request.

    ``unread`` tokens are to be prefilled there, after others were fetched. Long prompts
    queue up where they don't delay streams with tight pause targets: one late request
    costs less than several streams that pause.
    """
    prefill = engine.estimate_prefill_seconds(unread)
    backlog = engine.find_backlog(now)
    predicted = engine.find_wait(now, descriptor.rank) + fetching_seconds + prefill
    predicted += engine.estimator.delay
    cost = compute_delay_cost(predicted / max(descriptor.first_seconds, 0.001))
    if predicted > ANSWER_TIME_SHARE * descriptor.whole_seconds:
        cost += NO_ANSWER_COST
    risk = engine.find_pause_risk(descriptor.pause_seconds, backlog, prefill)
    cost += PAUSE_COST * risk
    taken = len(engine.tasks) / engine.slots
    cost += LOAD_COST * taken
    if taken >= 1.0:
        cost += NO_SLOT_COST * taken
    if engine.find_memory_share(descriptor) > MEMORY_SHARE:
        cost += NO_MEMORY_COST
    failing = engine.find_failure_rate(descriptor.data_centre)
    return cost + compute_failure_cost(descriptor, failing)


def compute_failure_cost(descriptor: descriptors.Descriptor, rate: float) -> float:
    """Return the cost, in targets, of an attempt with this failure rate."""
    return (RETRIABLE_FAILURE_COST if descriptor.may_repeat else FAILURE_COST) * rate


def compute_delay_cost(delay: float) -> float:
    """Return the cost of a first event with this delay, both in targets.

    >>> round(compute_delay_cost(0.8), 2)
    1.0
    """
    for (start, low), (end, high) in itertools.pairwise(DELAY_COSTS):
        if delay < end:
            return low + (high - low) * (delay - start) / (end - start)
    return DELAY_COSTS[-1][1]
