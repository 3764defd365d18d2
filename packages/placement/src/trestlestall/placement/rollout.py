"""A change of version, engine by engine, which is aborted when it goes wrong.

``decide`` returns the next step of one rollout. One engine at a time is drained,
unloads the previous version and loads the new one; then the new version soaks for a
while before the next engine follows. When the new version misses its targets or can't
be loaded, the engines that have it are rolled back in the same way.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.placement import model, orders, settings

MISSED = "the new version missed its target on {on_time} of {answers} answers"
WORSE = "the new version answered less on time than the former one"
NOT_LOADED = "the new version could not be loaded {failures} times"


@dataclasses.dataclass(frozen=True)
class Measured:
    """How one version of a model has answered since its counts began."""

    answers: int = 0
    on_time: int = 0

    @property
    def attainment(self) -> float:
        """The share (0..1) of the answers that were complete and on time."""
        return self.on_time / self.answers if self.answers else 1.0


@dataclasses.dataclass(frozen=True)
class View:
    """What a decision is based on.

    ``engines`` are those that hold the model, ``tasks`` all tasks under way by engine.
    ``homes`` is, by engine, how many other engines of its data centre serve the bound
    models on it, for the model with the fewest. ``measured`` is by version,
    ``changed_at`` is when an engine last changed, and ``failures`` counts the failed
    loads of the new version on the engine with the most.
    """

    engines: tuple[model.Engine, ...]
    tasks: abc.Mapping[str, orders.Task]
    homes: abc.Mapping[str, int]
    measured: abc.Mapping[str, Measured]
    changed_at: float | None
    failures: int = 0


@dataclasses.dataclass(frozen=True)
class Take:
    """Change this engine next, with these orders."""

    engine: str
    incarnation: int
    steps: tuple[model.Order, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """The engine's task has ended; the version soaks before the next engine follows."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Abort the rollout."""

    reason: str


@dataclasses.dataclass(frozen=True)
class End:
    """All engines have the target version."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """There is nothing to do now."""

    reason: str


Step: typing.TypeAlias = Take | Release | Stop | End | Wait


def decide(
    rollout: orders.Rollout, view: View, now: float, rules: settings.Rolling
) -> Step:
    """Return the next step."""
    if rollout.phase == orders.ROLLING:
        failed = _find_failure(rollout, view, rules)
        if failed is not None:
            return Stop(failed)
    if rollout.engine:
        under_way = rollout.engine in view.tasks
        return Wait("an engine is being changed") if under_way else Release()
    if rollout.phase == orders.ROLLING and _is_soaking(rollout, view, now, rules):
        return Wait("the new version is soaking")
    return _choose_next(rollout, view)


def _find_failure(
    rollout: orders.Rollout, view: View, rules: settings.Rolling
) -> str | None:
    """Return why the rollout is to be aborted, None if it is not."""
    if view.failures >= rules.failures:
        return NOT_LOADED.format(failures=view.failures)
    new = view.measured.get(rollout.version, Measured())
    if new.answers < rules.samples:
        return None
    if new.attainment < rules.attainment:
        return MISSED.format(on_time=new.on_time, answers=new.answers)
    old = view.measured.get(rollout.previous, Measured())
    compared = old.answers >= rules.samples
    if compared and new.attainment < old.attainment - rules.slack:
        return WORSE
    return None


def _is_soaking(
    rollout: orders.Rollout, view: View, now: float, rules: settings.Rolling
) -> bool:
    """Return whether the new version is still soaking on the last changed engine.

    A model without requests gives no samples; then 10 times the soak time is enough.
    """
    if view.changed_at is None:
        return False
    elapsed = now - view.changed_at
    new = view.measured.get(rollout.version, Measured())
    enough = new.answers >= rules.samples or elapsed >= 10 * rules.soak
    return elapsed < rules.soak or not enough


def _choose_next(rollout: orders.Rollout, view: View) -> Step:
    """Return the step for the next engine that has not the target version."""
    if any(_concerns(task, rollout.model) for task in view.tasks.values()):
        return Wait("an engine is being changed")
    if any(rollout.model not in engine.versions for engine in view.engines):
        return Wait("an engine has not reported its versions")
    behind = [
        engine
        for engine in view.engines
        if engine.versions.get(rollout.model) != rollout.target_version
    ]
    if not behind:
        return End()
    free = [
        engine
        for engine in behind
        if engine.usable and engine.name not in view.tasks and view.homes[engine.name]
    ]
    if not free:
        return Wait("no engine can be drained: its models have no other home")
    chosen = min(free, key=lambda engine: (engine.load, engine.name))
    steps = (
        model.Order(model.UNLOAD, rollout.model),
        model.Order(model.LOAD, rollout.model, version=rollout.target_version),
    )
    return Take(chosen.name, chosen.incarnation, steps)


def _concerns(task: orders.Task, name: str) -> bool:
    """Return whether a task loads or unloads the model."""
    return any(step.model == name for step in task.steps)
