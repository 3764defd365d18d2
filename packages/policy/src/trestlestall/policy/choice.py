"""Choice of the upstream for a request.

Of the upstreams that can accept the request, two are sampled with a seeded generator
and the less loaded one is chosen (power of two choices), so that several routers with
the same delayed reports don't all choose the same one. Affinity to a prompt's prefix is
a hint: it wins only where the load is little higher.
"""

import collections
import dataclasses
import math
import random

from trestlestall.policy import fleet, jobs, loads, settings as defaults, stragglers


@dataclasses.dataclass(frozen=True)
class Selection:
    """The chosen upstream, those it was compared with, and why it was chosen."""

    load: loads.Load
    candidates: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True)
class Constraints:
    """The rules under which a request may occupy a slot.

    ``headroom`` is the share of slots to leave free for more urgent work. ``routers``
    is how many routers have work of the same or a more urgent tier waiting: each leaves
    the others their even share of the slots, instead of treating their work as less
    urgent. ``by_floor`` says that the request is sent under its class's floor.
    """

    headroom: float = 0.0
    routers: int = 1
    by_floor: bool = False


class Chooser:
    """Chooses upstreams for one router."""

    def __init__(
        self,
        rng: random.Random,
        settings: defaults.Settings,
        upstreams: fleet.Fleet,
        detector: stragglers.Detector,
    ):
        self._random = rng
        self._settings = settings
        self._fleet = upstreams
        self._detector = detector
        self._prefixes: collections.OrderedDict[tuple[str, str], str] = (
            collections.OrderedDict()
        )

    def choose(
        self,
        job: jobs.Job,
        now: float,
        constraints: Constraints,
        only: loads.Load | None = None,
    ) -> Selection | None:
        """Return where to send a request now, or ``None`` if no upstream can accept it.

        ``only`` is the upstream where a slot was freed while all others are full.
        """
        candidates = self._list_candidates(job.arrival.target, only)
        probe = self._find_probe(job, candidates, now)
        if probe is not None:
            return Selection(probe, (probe.upstream.name,), "probe of a straggler")
        healthy = self._list_healthy(job, candidates, now)
        if not constraints.by_floor:
            healthy = [load for load in healthy if now >= load.reserved_until]
        free = [load for load in healthy if is_free(load, job.tier, constraints)]
        if free:
            return self._select(job, free, "free slot")
        overcommittable = [
            load for load in healthy if can_overcommit(load, job.tier, constraints)
        ]
        if overcommittable:
            return self._select(
                job, overcommittable, "ahead of other work in the engine"
            )
        if constraints.by_floor and healthy and only is None:
            self._reserve_for_floor(healthy, job.tier, now)
        return None

    def record_prefix(self, job: jobs.Job, upstream: str) -> None:
        """Record the upstream to which a prompt's prefix was sent, for affinity."""
        if not job.arrival.prefix:
            return
        key = (job.arrival.target, job.arrival.prefix)
        self._prefixes[key] = upstream
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > self._settings.affinity_limit:
            self._prefixes.popitem(last=False)

    def _list_candidates(self, target, only: loads.Load | None) -> list[loads.Load]:
        if only is None:
            return self._fleet.list_open(target)
        return [] if only.upstream.name in self._fleet.drained else [only]

    def _reserve_for_floor(
        self, healthy: list[loads.Load], tier: int, now: float
    ) -> None:
        """Reserve one upstream until work under a floor fits there.

        In-order work is not sent there for the time of the reservation.
        """
        if any(now < load.reserved_until for load in healthy):
            return
        first = min(
            healthy, key=lambda load: load.by_tier.sum_more_urgent(tier) / load.slots
        )
        first.reserved_until = now + self._settings.floor_reservation

    def _list_healthy(self, job, candidates, now) -> list[loads.Load]:
        """Drop upstreams in backoff or excluded, and stragglers unless none is left."""
        usable = [
            load
            for load in candidates
            if now >= load.backoff_until and load.upstream.name not in job.excluded
        ]
        healthy = [
            load
            for load in usable
            if not self._detector.is_straggling(load.upstream.name)
        ]
        return healthy or usable

    def _find_probe(self, job, candidates, now) -> loads.Load | None:
        if not job.idempotent:
            return None
        for load in candidates:
            name = load.upstream.name
            if (
                self._detector.is_straggling(name)
                and load.own == 0
                and name not in job.excluded
                and now >= load.backoff_until
                and self._detector.may_probe(name, now)
            ):
                return load
        return None

    def _select(self, job, found: list[loads.Load], reason: str) -> Selection:
        count = min(self._settings.samples, len(found))
        sampled = self._random.sample(found, count)
        scores = {load.upstream.name: self._score(load, job) for load in sampled}
        best = min(sampled, key=lambda load: scores[load.upstream.name])
        preferred = self._find_preferred(job, found)
        slack = self._settings.affinity_slack
        if preferred is not None and preferred is not best:
            if self._score(preferred, job) <= scores[best.upstream.name] + slack:
                names = (*scores, preferred.upstream.name)
                return Selection(preferred, names, "prefix affinity")
        return Selection(best, tuple(scores), reason)

    def _find_preferred(self, job, found) -> loads.Load | None:
        name = self._prefixes.get((job.arrival.target, job.arrival.prefix))
        if name is None:
            return None
        return next((load for load in found if load.upstream.name == name), None)

    def _score(self, load: loads.Load, job: jobs.Job) -> float:
        """Return the load per slot, weighted by the slowness of the upstream."""
        slowness = self._detector.find_slowness(load.upstream.name, job.arrival.target)
        return (load.find_effective_load(job.tier) + 1) / load.slots * slowness


def is_free(load: loads.Load, tier: int, constraints: Constraints) -> bool:
    """Return whether a slot is free beyond the headroom.

    An engine that preempts less urgent work needs no headroom. Work sent under a floor
    gets the priority of a more urgent tier, and has to pass its own check there.
    """
    if load.upstream.capabilities.priorities:
        if constraints.by_floor:
            return load.accepts_floor_work(tier) and load.has_free_slot(0)
        return load.has_free_slot(0)
    headroom = math.ceil(load.slots * constraints.headroom) if load.slots > 1 else 0
    return load.has_free_slot(headroom)


def can_overcommit(load: loads.Load, tier: int, constraints: Constraints) -> bool:
    """Return whether the engine accepts the request although its slots are in use."""
    reserved = load.slots - math.ceil(load.slots / constraints.routers)
    if not constraints.headroom and load.can_queue(reserved):
        return True
    if constraints.by_floor:
        return load.accepts_floor_work(tier)
    return load.can_preempt(tier, reserved)
