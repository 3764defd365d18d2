"""Which upstream gets a request.

Two upstreams are drawn with seeded randomness and the less loaded one is taken, so that
several routers with the same late reports don't all choose the same one. Only when none
of those drawn is open are all looked at. Affinity to a prompt's prefix is a hint: it
wins only where the load is little higher.
"""

import collections
import dataclasses
import math
import random

from trestlestall.policy import fleet, flights, loads, settings as defaults, stragglers


@dataclasses.dataclass(frozen=True)
class Place:
    """The chosen upstream, those it was compared with, and why it was chosen."""

    load: loads.Load
    candidates: tuple[str, ...]
    reason: str


class Chooser:
    """Chooses upstreams for one router."""

    def __init__(
        self,
        rng: random.Random,
        settings: defaults.Settings,
        upstreams: fleet.Fleet,
        watch: stragglers.Watch,
    ):
        self._random = rng
        self._settings = settings
        self._fleet = upstreams
        self._watch = watch
        self._prefixes: collections.OrderedDict[tuple[str, str], str] = (
            collections.OrderedDict()
        )

    def choose(
        self,
        flight: flights.Flight,
        now: float,
        spare: float,
        priority: int | None = None,
        routers: int = 1,
    ) -> Place | None:
        """Return where to send a request now, or ``None`` when no upstream is open.

        ``spare`` is the share of slots to leave free for more urgent work.
        ``priority`` is given for work sent by its floor: the tier in whose order it
        stands at the engine. ``routers`` is how many routers have work as urgent
        waiting: each then leaves the others their even share of the slots, instead of
        taking their work for less urgent.
        """
        target = flight.arrival.target
        everyone = self._fleet.list_open(target)
        probe = self._find_probe(flight, everyone, now)
        if probe is not None:
            return Place(probe, (probe.upstream.name,), "probe of a straggler")
        healthy = self._list_healthy(flight, everyone, now)
        free = [load for load in healthy if has_room(load, spare)]
        if free:
            return self._take(flight, free, "free slot")
        level = flight.tier if priority is None else priority
        extra = priority is not None
        over = [
            load
            for load in healthy
            if load.can_displace(
                level, load.boosted if extra else 0, find_kept(load, routers)
            )
        ]
        if over:
            return self._take(flight, over, "engine displaces less urgent work")
        return None

    def remember(self, flight: flights.Flight, upstream: str) -> None:
        """Remember where a prompt's prefix went."""
        if not flight.arrival.prefix:
            return
        key = (flight.arrival.target, flight.arrival.prefix)
        self._prefixes[key] = upstream
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > self._settings.affinity_limit:
            self._prefixes.popitem(last=False)

    def _list_healthy(self, flight, everyone, now) -> list[loads.Load]:
        """Leave out stragglers and paused upstreams, unless there is nothing else."""
        usable = [
            load
            for load in everyone
            if now >= load.avoid_until and load.upstream.name not in flight.avoided
        ]
        healthy = [
            load for load in usable if not self._watch.is_straggling(load.upstream.name)
        ]
        return healthy or usable

    def _find_probe(self, flight, everyone, now) -> loads.Load | None:
        if not flight.idempotent:
            return None
        for load in everyone:
            name = load.upstream.name
            if (
                self._watch.is_straggling(name)
                and load.own == 0
                and name not in flight.avoided
                and now >= load.avoid_until
                and self._watch.may_probe(name, now)
            ):
                return load
        return None

    def _take(self, flight, found: list[loads.Load], reason: str) -> Place:
        count = min(self._settings.samples, len(found))
        drawn = self._random.sample(found, count)
        target = flight.arrival.target
        scores = {load.upstream.name: self._score(load, target) for load in drawn}
        best = min(drawn, key=lambda load: scores[load.upstream.name])
        near = self._find_near(flight, found)
        slack = self._settings.affinity_slack
        if near is not None and near is not best:
            if self._score(near, target) <= scores[best.upstream.name] + slack:
                names = (*scores, near.upstream.name)
                return Place(near, names, "prefix affinity")
        return Place(best, tuple(scores), reason)

    def _find_near(self, flight, found) -> loads.Load | None:
        name = self._prefixes.get((flight.arrival.target, flight.arrival.prefix))
        if name is None:
            return None
        return next((load for load in found if load.upstream.name == name), None)

    def _score(self, load: loads.Load, target: str) -> float:
        """Return the load per slot, the slower the upstream the higher."""
        slowness = self._watch.find_slowness(load.upstream.name, target)
        return (load.total + 1) / load.slots * slowness


def has_room(load: loads.Load, spare: float) -> bool:
    """Return whether a slot is free beyond the share that is left free.

    An engine that displaces less urgent work needs none left free.
    """
    if load.upstream.capabilities.priorities or load.slots == 1:
        return load.has_free_slot(0)
    return load.has_free_slot(math.ceil(load.slots * spare))


def find_kept(load: loads.Load, routers: int) -> int:
    """Return the slots beyond this router's even share."""
    return load.slots - math.ceil(load.slots / routers)
