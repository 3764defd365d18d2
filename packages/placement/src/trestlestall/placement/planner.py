"""The plan: which engine should hold which model.

A home of a model is an engine in the data centre that serves it. The plan changes as
little as possible. A model is loaded where a copy is missing: first a bound model
without a home, then declared copies, then copies that demand calls for, then a spare
one, so that losing one engine leaves a home. A model is unloaded only to make room for
one of the first three, and never the last copy of a bound model in a data centre. Equal
inputs give equal plans.
"""

import collections
import dataclasses
import enum
import math
from collections import abc

from trestlestall.placement import model, orders, settings

SPARE_COPIES = 2


class Urgency(enum.IntEnum):
    """Why a copy is needed; the lowest value goes first."""

    HOMELESS = 0
    DECLARED = 1
    DEMANDED = 2
    SPARE = 3


REASONS = {
    Urgency.HOMELESS: "a bound model has no home in the data centre",
    Urgency.DECLARED: "fewer copies than declared",
    Urgency.DEMANDED: "demand exceeds what the copies carry",
    Urgency.SPARE: "losing one engine would leave no home",
}


@dataclasses.dataclass(frozen=True)
class Observed:
    """The observed state: engines, and tasks under way by engine.

    ``since`` is when ``(engine, model)`` was first seen loaded, ``settled`` since when
    the set of engines of a data centre has been the same. ``failing`` are the
    ``(engine, model)`` whose last load failed; they are chosen last.
    """

    engines: tuple[model.Engine, ...]
    tasks: abc.Mapping[str, orders.Task] = dataclasses.field(default_factory=dict)
    since: abc.Mapping[model.Place, float] = dataclasses.field(default_factory=dict)
    settled: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    failing: frozenset[model.Place] = frozenset()


@dataclasses.dataclass(frozen=True)
class Change:
    """A task for an engine, the candidates it was chosen from, and the reason."""

    data_centre: str
    engine: str
    incarnation: int
    steps: tuple[model.Order, ...]
    urgency: Urgency
    reason: str
    candidates: tuple[str, ...]

    @property
    def drain(self) -> bool:
        """Whether the engine must be idle first, because something is unloaded."""
        return any(step.kind == model.UNLOAD for step in self.steps)


@dataclasses.dataclass(frozen=True)
class Missing:
    """A copy that is needed but finds no engine with capacity for it."""

    data_centre: str
    model: str
    urgency: Urgency


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes, the most urgent first, and copies that can't be placed."""

    changes: tuple[Change, ...] = ()
    missing: tuple[Missing, ...] = ()


def plan(
    desired: model.Desired,
    observed: Observed,
    demand: model.Demand,
    now: float,
    rules: settings.Planning = settings.Planning(),  # noqa: B008
) -> Plan:
    """Return the changes to begin now."""
    changes: list[Change] = []
    missing: list[Missing] = []
    for data_centre in sorted({engine.data_centre for engine in observed.engines}):
        data_centre_planner = DataCentrePlanner(
            data_centre, desired, observed, demand, now, rules
        )
        if now - observed.settled.get(data_centre, float("-inf")) >= rules.settle:
            found = data_centre_planner.plan()
            changes += found.changes
            missing += found.missing
    changes.sort(key=lambda change: change.urgency)
    return Plan(tuple(changes), tuple(missing))


class DataCentrePlanner:
    """Makes the part of the plan for one data centre.

    ``_held`` maps each usable engine to the models that it will hold once its task and
    the changes chosen so far are done, and ``_copies`` counts those by model. ``_safe``
    counts the copies that are loaded now and continue to be served.
    """

    def __init__(
        self,
        data_centre: str,
        desired: model.Desired,
        observed: Observed,
        demand: model.Demand,
        now: float,
        rules: settings.Planning,
    ):
        self._name = data_centre
        self._desired = desired
        self._observed = observed
        self._demand = demand
        self._now = now
        self._rules = rules
        here = [one for one in observed.engines if one.data_centre == data_centre]
        self._engines = {one.name: one for one in here}
        self._tasks = {n: t for n, t in observed.tasks.items() if n in self._engines}
        self._held = {
            one.name: self._predict_held(one) for one in here if self._serves(one)
        }
        self._chosen: dict[str, Change] = {}
        self._copies: collections.Counter[str] = collections.Counter()
        self._safe: collections.Counter[str] = collections.Counter()
        for name in self._held:
            self._add_counts(name, 1)

    def plan(self) -> Plan:
        """Return this data centre's part of the plan."""
        allowed = max(1, math.floor(len(self._engines) * self._rules.busy))
        missing: dict[str, Missing] = {}
        for urgency, wanted in self._list_deficits():
            if len(self._tasks) + len(self._chosen) >= allowed:
                break
            if wanted.model in missing:
                # A more urgent copy of the model already found no capacity.
                continue
            if not self._place(urgency, wanted):
                missing[wanted.model] = Missing(self._name, wanted.model, urgency)
        return Plan(tuple(self._chosen.values()), tuple(missing.values()))

    # Present copies.

    def _serves(self, engine: model.Engine) -> bool:
        """Return whether the engine counts; one that its own task drained does."""
        if not engine.usable:
            return False
        return engine.name in self._tasks or engine.name not in self._desired.drained

    def _predict_held(self, engine: model.Engine) -> frozenset[str]:
        """Return the models that the engine will hold after its task."""
        task = self._tasks.get(engine.name)
        return _apply_steps(engine.models, task.steps if task is not None else ())

    def _add_counts(self, engine: str, sign: int) -> None:
        """Add the copies of an engine to the counts (1) or subtract them (-1)."""
        held = self._held[engine]
        self._copies.update(dict.fromkeys(held, sign))
        if not self._is_draining(engine):
            kept = held.intersection(self._engines[engine].models)
            self._safe.update(dict.fromkeys(kept, sign))

    def _count_others(self, name: str, engine: str) -> int:
        """Return how many other engines hold the model and continue to serve it."""
        own = name in self._engines[engine].models and name in self._held[engine]
        return self._safe[name] - int(own and not self._is_draining(engine))

    def _is_draining(self, engine: str) -> bool:
        task = self._tasks.get(engine)
        chosen = self._chosen.get(engine)
        return bool(task and task.drain or chosen and chosen.drain)

    # Needed copies.

    def _count_needed(self, wanted: model.Wanted, use: float) -> int:
        """Return how many copies are needed to keep each below a use (0..1)."""
        asked = self._demand.get((self._name, wanted.model))
        rate = asked.tokens_per_second if asked is not None else 0.0
        by_demand = math.ceil(rate / (self._rules.copy_rate * use))
        return max(wanted.copies, int(wanted.bound), by_demand)

    def _list_deficits(self) -> list[tuple[Urgency, model.Wanted]]:
        """Return the urgency and model of each missing copy, the most urgent first."""
        found = []
        for wanted in self._desired.wanted.values():
            if not self._desired.allows(model.Order(model.LOAD, wanted.model)):
                continue
            copies = self._copies[wanted.model]
            needed = self._count_needed(wanted, self._rules.high)
            spare = SPARE_COPIES if wanted.bound else 0
            for number in range(copies, max(needed, spare)):
                found.append((_find_urgency(number, wanted, needed), wanted))
        return sorted(found, key=self._make_sort_key)

    def _make_sort_key(self, deficit: tuple[Urgency, model.Wanted]) -> tuple:
        urgency, wanted = deficit
        asked = self._demand.get((self._name, wanted.model))
        tier = asked.tier if asked is not None else model.LOWEST_TIER
        return urgency, tier, wanted.model

    # Choice of engines.

    def _place(self, urgency: Urgency, wanted: model.Wanted) -> bool:
        """Choose an engine with or without free capacity; return whether one fits."""
        free = [
            name
            for name, held in self._held.items()
            if self._is_available_for(name, wanted) and len(held) < self._limit
        ]
        load = model.Order(model.LOAD, wanted.model, version=wanted.version)
        if free:
            name = min(free, key=lambda name: self._rank_engine(name, wanted))
            self._choose(name, (load,), urgency, free)
            return True
        if urgency is Urgency.SPARE:
            return False
        victims = self._list_victims(wanted)
        if not victims:
            return False
        engine, victim = min(victims, key=lambda pair: self._rank_victim(pair, wanted))
        unload = model.Order(model.UNLOAD, victim)
        names = sorted({name for name, _ in victims})
        self._choose(engine, (unload, load), urgency, names)
        return True

    @property
    def _limit(self) -> int:
        return self._rules.models_per_engine

    def _is_available_for(self, name: str, wanted: model.Wanted) -> bool:
        idle = name not in self._tasks and name not in self._chosen
        return idle and wanted.model not in self._held[name]

    def _rank_engine(self, name: str, wanted: model.Wanted) -> tuple:
        """Return the sort key of an engine for a load, the best first.

        It prefers engines where the load has not failed, then those with the fewest
        requests, then those with the fewest models.
        """
        failing = (name, wanted.model) in self._observed.failing
        return failing, self._engines[name].load, len(self._held[name]), name

    def _rank_victim(self, pair: tuple[str, str], wanted: model.Wanted) -> tuple:
        """Return the sort key of an unload that frees capacity, the best first.

        It prefers models that nobody wants.
        """
        engine, victim = pair
        return victim in self._desired.wanted, self._rank_engine(engine, wanted), victim

    def _list_victims(self, wanted: model.Wanted) -> list[tuple[str, str]]:
        """Return the engines and models whose unload would free capacity.

        The engine is drained meanwhile, so all bound models on it need another home.
        """
        return [
            (name, victim)
            for name, held in self._held.items()
            if self._is_available_for(name, wanted) and self._may_drain(name)
            for victim in sorted(held)
            if self._may_unload(name, victim)
        ]

    def _may_drain(self, name: str) -> bool:
        return all(
            self._count_others(held, name) >= 1
            for held in self._held[name]
            if held in self._desired.wanted and self._desired.wanted[held].bound
        )

    def _may_unload(self, engine: str, name: str) -> bool:
        """Return whether a copy is not wanted, or is in excess and not new."""
        if not self._desired.manages(name):
            return False
        wanted = self._desired.wanted.get(name)
        if wanted is None or not wanted.copies and not wanted.bound:
            return True
        since = self._observed.since.get((engine, name), self._now)
        if self._now - since < self._rules.hold:
            return False
        needed = self._count_needed(wanted, self._rules.low)
        return self._copies[name] > max(needed, int(wanted.bound))

    def _choose(
        self,
        name: str,
        steps: tuple[model.Order, ...],
        urgency: Urgency,
        candidates: list[str],
    ) -> None:
        engine = self._engines[name]
        self._add_counts(name, -1)
        self._chosen[name] = Change(
            self._name,
            name,
            engine.incarnation,
            steps,
            urgency,
            REASONS[urgency],
            tuple(sorted(candidates)),
        )
        self._held[name] = _apply_steps(self._held[name], steps)
        self._add_counts(name, 1)


def _find_urgency(number: int, wanted: model.Wanted, needed: int) -> Urgency:
    """Return the urgency of one more copy where there are ``number``."""
    if number == 0 and wanted.bound:
        return Urgency.HOMELESS
    if number < wanted.copies:
        return Urgency.DECLARED
    return Urgency.DEMANDED if number < needed else Urgency.SPARE


def _apply_steps(
    held: abc.Iterable[str], steps: abc.Iterable[model.Order]
) -> frozenset[str]:
    """Return the models that are held after the steps."""
    result = set(held)
    for step in steps:
        if step.kind == model.LOAD:
            result.add(step.model)
        elif step.kind == model.UNLOAD:
            result.discard(step.model)
    return frozenset(result)
