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


@dataclasses.dataclass(frozen=True)
class Turn:
    """By which right a request goes next.

    ``spare`` is the share of slots to leave free for more urgent work. ``routers`` is
    how many routers have work as urgent waiting: each leaves the others their even
    share of the slots, instead of taking their work for less urgent.
    """

    spare: float = 0.0
    routers: int = 1
    by_floor: bool = False


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
        turn: Turn,
        only: loads.Load | None = None,
    ) -> Place | None:
        """Return where to send a request now, or ``None`` when no upstream is open.

        ``only`` is given where a slot came free while all others are known to be full.
        """
        everyone = self._list_candidates(flight.arrival.target, only)
        probe = self._find_probe(flight, everyone, now)
        if probe is not None:
            return Place(probe, (probe.upstream.name,), "probe of a straggler")
        healthy = self._list_healthy(flight, everyone, now)
        if not turn.by_floor:
            healthy = [load for load in healthy if now >= load.held_until]
        free = [load for load in healthy if is_free(load, flight.tier, turn)]
        if free:
            return self._take(flight, free, "free slot")
        over = [load for load in healthy if is_open(load, flight.tier, turn)]
        if over:
            return self._take(flight, over, "ahead of other work in the engine")
        if turn.by_floor and healthy and only is None:
            self._hold(healthy, flight.tier, now)
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

    def _list_candidates(self, target, only: loads.Load | None) -> list[loads.Load]:
        if only is None:
            return self._fleet.list_open(target)
        return [] if only.upstream.name in self._fleet.drained else [only]

    def _hold(self, healthy: list[loads.Load], tier: int, now: float) -> None:
        """Keep in-order work off one upstream until work sent by a floor fits there."""
        if any(now < load.held_until for load in healthy):
            return
        first = min(healthy, key=lambda load: load.by_tier.sum_above(tier) / load.slots)
        first.held_until = now + self._settings.floor_hold

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
        scores = {load.upstream.name: self._score(load, flight) for load in drawn}
        best = min(drawn, key=lambda load: scores[load.upstream.name])
        near = self._find_near(flight, found)
        slack = self._settings.affinity_slack
        if near is not None and near is not best:
            if self._score(near, flight) <= scores[best.upstream.name] + slack:
                names = (*scores, near.upstream.name)
                return Place(near, names, "prefix affinity")
        return Place(best, tuple(scores), reason)

    def _find_near(self, flight, found) -> loads.Load | None:
        name = self._prefixes.get((flight.arrival.target, flight.arrival.prefix))
        if name is None:
            return None
        return next((load for load in found if load.upstream.name == name), None)

    def _score(self, load: loads.Load, flight: flights.Flight) -> float:
        """Return the load per slot, the slower the upstream the higher."""
        slowness = self._watch.find_slowness(load.upstream.name, flight.arrival.target)
        return (load.find_standing(flight.tier) + 1) / load.slots * slowness


def is_free(load: loads.Load, tier: int, turn: Turn) -> bool:
    """Return whether a slot is free beyond the share that is left free.

    An engine that displaces less urgent work needs none left free. Work sent by its
    floor goes in the order of a more urgent tier and needs its own test there.
    """
    if load.upstream.capabilities.priorities:
        if turn.by_floor:
            return load.can_take_floor(tier) and load.has_free_slot(0)
        return load.has_free_slot(0)
    spare = math.ceil(load.slots * turn.spare) if load.slots > 1 else 0
    return load.has_free_slot(spare)


def is_open(load: loads.Load, tier: int, turn: Turn) -> bool:
    """Return whether the engine takes the request though its slots are in use."""
    kept = load.slots - math.ceil(load.slots / turn.routers)
    if not turn.spare and load.can_queue(kept):
        return True
    if turn.by_floor:
        return load.can_take_floor(tier)
    return load.can_displace(tier, kept)
