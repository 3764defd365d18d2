"""A leader's cached view of the engines: their models, states and answers."""

import dataclasses
from collections import abc

from trestlestall.placement import evidence, model, orders, rollout


@dataclasses.dataclass(frozen=True)
class CachedState:
    """An engine's reported state, and the incarnation it was queried from."""

    incarnation: int
    state: evidence.EngineState


@dataclasses.dataclass(frozen=True)
class CompletedOrder:
    """An order that an engine has carried out but may not have announced yet."""

    order: model.Order
    incarnation: int
    at: float


class ClusterView:
    """Caches what was observed, for the planner and the rollouts.

    ``since`` is when ``(engine, model)`` was first seen loaded, and ``settled`` when
    the set of usable engines of a data centre last changed.
    """

    def __init__(self) -> None:
        self.engines: dict[str, model.Engine] = {}
        self.gates: abc.Mapping[str, tuple[str, ...]] = {}
        self.since: dict[model.Place, float] = {}
        self.settled: dict[str, float] = {}
        self._states: dict[str, CachedState] = {}
        self._queried_at: dict[str, float] = {}
        self._completed: dict[str, tuple[CompletedOrder, ...]] = {}
        self._measured: dict[tuple[str, str], rollout.Measured] = {}

    def reset(self) -> None:
        """Remove everything but the engines and their states; times count anew."""
        self.since.clear()
        self.settled.clear()
        self._queried_at.clear()
        self._completed.clear()
        self._measured.clear()

    # Engines.

    def update_engines(self, engines: abc.Iterable[model.Engine], now: float) -> None:
        """Replace the engines by those announced now."""
        former = self._list_members()
        self.engines = {one.name: self._with_versions(one) for one in engines}
        present = self._list_members()
        for data_centre in former.keys() | present.keys():
            changed = former.get(data_centre) != present.get(data_centre)
            if changed or data_centre not in self.settled:
                self.settled[data_centre] = now
        held = {(e.name, name) for e in self.engines.values() for name in e.models}
        self.since = {place: self.since.get(place, now) for place in held}

    def record_done(self, engine: str, order: model.Order, now: float) -> None:
        """Record an order that was carried out; its announcement comes later."""
        known = self.engines.get(engine)
        if known is not None:
            done = CompletedOrder(order, known.incarnation, now)
            self._completed[engine] = (*self._completed.get(engine, ()), done)

    def list_unannounced(self, timeout: float, now: float) -> dict[str, orders.Task]:
        """Return completed orders that are not announced yet, as tasks by engine.

        Announcements lag, so that without this a model that has just been loaded would
        count as a missing copy. After ``timeout`` only announcements count again.
        """
        self._completed = {
            engine: left
            for engine, done in self._completed.items()
            if (left := self._drop_announced(engine, done, now - timeout))
        }
        return {
            engine: orders.Task(
                engine, done[0].incarnation, tuple(d.order for d in done), False, ""
            )
            for engine, done in self._completed.items()
        }

    def _drop_announced(
        self, engine: str, done: tuple[CompletedOrder, ...], oldest: float
    ) -> tuple[CompletedOrder, ...]:
        known = self.engines.get(engine)
        return tuple(
            one
            for one in done
            if known is not None
            and known.incarnation == one.incarnation
            and one.at >= oldest
            and (one.order.model in known.models) != (one.order.kind == model.LOAD)
        )

    def _list_members(self) -> dict[str, frozenset[tuple[str, int, bool]]]:
        """Return the usable engines and their incarnations by data centre."""
        found: dict[str, set[tuple[str, int, bool]]] = {}
        for one in self.engines.values():
            key = one.name, one.incarnation, one.usable
            found.setdefault(one.data_centre, set()).add(key)
        return {name: frozenset(members) for name, members in found.items()}

    def _with_versions(self, engine: model.Engine) -> model.Engine:
        cached = self._states.get(engine.name)
        if cached is None or cached.incarnation != engine.incarnation:
            return engine
        return dataclasses.replace(engine, versions=cached.state.versions)

    def find_gates(self, engine: model.Engine | None) -> tuple[str, ...]:
        """Return the gates of an engine's data centre."""
        if engine is None:
            return ()
        return self.gates.get(engine.data_centre, ())

    # Engine states.

    def begin_query(self, engine: str, timeout: float, now: float) -> bool:
        """Return whether to query the engine now: not while an answer may be due."""
        asked_at = self._queried_at.get(engine)
        if asked_at is not None and now - asked_at < timeout:
            return False
        self._queried_at[engine] = now
        return True

    def record_state(self, engine: str, state: evidence.EngineState) -> float | None:
        """Cache an engine's state and return when it was queried, None if it wasn't."""
        known = self.engines.get(engine)
        asked_at = self._queried_at.get(engine)
        if known is None or asked_at is None:
            return None
        self._states[engine] = CachedState(known.incarnation, state)
        self.engines[engine] = self._with_versions(known)
        return asked_at

    # Answers.

    def record_answers(
        self, engine: str, name: str, answers: int, on_time: int
    ) -> None:
        """Count answers under the version that the engine has loaded."""
        known = self.engines.get(engine)
        version = known.versions.get(name) if known is not None else None
        if version is None:
            return
        former = self._measured.get((name, version), rollout.Measured())
        self._measured[name, version] = rollout.Measured(
            former.answers + answers, former.on_time + on_time
        )

    def list_measured(self, name: str) -> dict[str, rollout.Measured]:
        """Return the counted answers of a model by version."""
        return {v: counts for (one, v), counts in self._measured.items() if one == name}

    def reset_measured(self, name: str) -> None:
        """Remove a model's counts, so that they begin anew."""
        for key in [key for key in self._measured if key[0] == name]:
            del self._measured[key]

    # Homes.

    def count_homes(
        self,
        engine: str,
        name: str,
        drained: abc.Set[str],
        tasks: abc.Mapping[str, orders.Task],
    ) -> int:
        """Return how many other engines of an engine's data centre serve a model.

        Engines that are drained, or will be by their task, don't count.
        """
        own = self.engines.get(engine)
        return sum(
            name in other.models and other.usable
            for other in self.engines.values()
            if own is not None
            and other.data_centre == own.data_centre
            and other.name != engine
            and other.name not in drained
            and not _drains(tasks.get(other.name))
        )


def _drains(task: orders.Task | None) -> bool:
    return task is not None and task.drain
