"""Admit a request, or refuse it at once and finally.

The decision on tier t depends on the request's own estimate and on the ``Backlog`` of
tiers <= t. It reads no upstream's report, since reports don't distinguish tiers, and
nothing of less urgent tiers, their floors included. So no change in less urgent work
can change it.
"""

import dataclasses

from trestlestall.policy import (
    arrivals,
    backlogs,
    estimates,
    floors,
    settings as defaults,
)

NO_UPSTREAM = "no_upstream"
OVERLOADED = "overloaded"
UNREACHABLE = "target_unreachable"
QUEUE_FULL = "queue_full"
# The share of its slots that a tier is assumed to keep, however much work more urgent
# tiers offer.
MIN_SLOTS_SHARE = 0.05
# Bounds on the remaining duration of a burst of more urgent work, which is expected to
# last as long again as it has lasted already.
BURST_MIN_SECONDS = 5.0
BURST_MAX_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class Wait:
    """Expected seconds until the request is sent, in tier order and by its floor.

    ``rate`` is the target's tokens per second for the request's and more urgent tiers.
    """

    in_order: float
    by_floor: float | None
    rate: float

    @property
    def shortest(self) -> float:
        """The shorter of the two waits."""
        if self.by_floor is None:
            return self.in_order
        return min(self.in_order, self.by_floor)


def find_slots(
    backlog: backlogs.Backlog, tier: int, even_share: float, reserve: float
) -> float:
    """Return how many slots the tier and the more urgent ones can count on.

    Under load, that is what they hold now. The lower bound is the router's even share
    of the slots, less the reserve for floors, so that less urgent work which occupies
    slots for a moment does not worsen the estimate.
    """
    return max(1.0, even_share * (1 - reserve), backlog.in_flight.sum_up_to(tier))


def find_wait(
    request: arrivals.Arrival,
    estimate: estimates.Estimate,
    backlog: backlogs.Backlog,
    accounts: floors.Floors,
    slots: float,
    rate: float,
    pressure_seconds: float | None,
    now: float,
) -> Wait:
    """Estimate the wait of a request that arrives now.

    ``slots`` is what the tier can count on, ``rate`` the tokens per second of this
    router's even share of all slots. ``pressure_seconds`` is how long a more urgent
    tier has been under pressure at any router, ``None`` when none is. Such a burst is
    expected to last as long again.
    """
    tier = request.tier
    left = slots - backlog.find_offered_slots(tier, now)
    left = max(left, slots * MIN_SLOTS_SHARE)
    in_order = 0.0
    if backlog.waiting.sum_up_to(tier) + backlog.in_flight.sum_up_to(tier) >= slots:
        ahead = find_work_ahead(request, estimate, backlog)
        ahead = max(0.0, ahead - find_work_due(backlog, tier, slots))
        in_order = (ahead + estimate.service / 2) / left
    if pressure_seconds is not None:
        in_order += min(BURST_MAX_SECONDS, max(BURST_MIN_SECONDS, pressure_seconds))
    by_floor = accounts.find_wait(request.request_class, rate, now)
    return Wait(in_order, by_floor, rate)


def find_work_ahead(
    request: arrivals.Arrival, estimate: estimates.Estimate, backlog: backlogs.Backlog
) -> float:
    """Return the slot-seconds of work that is sent before the request.

    That is all work of more urgent tiers, and of its own tier what fair queueing puts
    ahead of it: a workspace with a short queue does not wait for all of a long one.
    """
    tier = request.tier
    tier_work = backlog.waiting_work.sum_up_to(
        tier
    ) - backlog.waiting_work.sum_more_urgent(tier)
    own = backlog.get_workspace_work(tier, request.workspace) + estimate.service
    others = backlog.sum_other_weights(tier, request.workspace)
    fair = own * (1 + others / request.weight)
    return backlog.waiting_work.sum_more_urgent(tier) + min(tier_work, fair)


def find_work_due(backlog: backlogs.Backlog, tier: int, slots: float) -> float:
    """Return the waiting slot-seconds that would run if there were no less urgent work.

    The tier and the more urgent ones would then hold all the slots that they can count
    on for as long as any of their work waits.
    """
    waiting = backlog.waiting.sum_up_to(tier)
    if not waiting:
        return 0.0
    free = max(0.0, slots - backlog.in_flight.sum_up_to(tier))
    return backlog.waiting_work.sum_up_to(tier) * min(1.0, free / waiting)


def decide(
    request: arrivals.Arrival,
    estimate: estimates.Estimate,
    wait: Wait,
    waiting: int,
    settings: defaults.Settings,
) -> str | None:
    """Return the code of the refusal, or ``None`` to admit.

    ``waiting`` is the number of queued requests of the same tier.
    """
    if not estimate.reachable:
        return UNREACHABLE
    if waiting >= settings.queue_limit:
        return QUEUE_FULL
    if wait.shortest > settings.planned_wait_share * max(
        0.0, estimate.admission_max_wait
    ):
        return OVERLOADED
    return None
