"""A change of version, engine by engine, which stops itself when it goes wrong.

``decide`` looks at one rollout and says what comes next. One engine at a time is freed
of work, unloads the former version and loads the new one; then the new version is
watched for a while before the next engine follows. When the new version misses its
targets or can't be loaded, the engines that have it go back the same way.
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
    """How one version of a model has answered since the rollout began."""

    answers: int = 0
    on_time: int = 0

    @property
    def attainment(self) -> float:
        """The share (0..1) of the answers that were whole and on time."""
        return self.on_time / self.answers if self.answers else 1.0


@dataclasses.dataclass(frozen=True)
class View:
    """What a decision looks at.

    ``engines`` are those that hold the model, ``tasks`` all under way by engine.
    ``homes`` counts, for an engine, the other engines of its data centre that hold each
    bound model on it, and is their least. ``measured`` is by version, ``changed_at``
    when the last engine took the new one, ``failures`` loads of it that failed.
    """

    engines: tuple[model.Engine, ...]
    tasks: abc.Mapping[str, orders.Task]
    homes: abc.Mapping[str, int]
    measured: abc.Mapping[str, Measured]
    changed_at: float | None
    failures: int = 0


@dataclasses.dataclass(frozen=True)
class Take:
    """Change this engine next, by these orders."""

    engine: str
    incarnation: int
    steps: tuple[model.Order, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """The engine has the version; watch it before the next."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Give the new version up."""

    reason: str


@dataclasses.dataclass(frozen=True)
class End:
    """All engines have the version."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """Nothing to do now."""

    reason: str


Step: typing.TypeAlias = Take | Release | Stop | End | Wait


def decide(
    rollout: orders.Rollout, view: View, now: float, rules: settings.Rolling
) -> Step:
    """Return what comes next."""
    if rollout.phase == orders.ROLLING:
        failed = _find_failure(rollout, view, rules)
        if failed is not None:
            return Stop(failed)
    if rollout.engine:
        under_way = rollout.engine in view.tasks
        return Wait("an engine changes") if under_way else Release()
    if rollout.phase == orders.ROLLING and _is_watched(rollout, view, now, rules):
        return Wait("the new version is watched")
    return _take_next(rollout, view)


def _find_failure(
    rollout: orders.Rollout, view: View, rules: settings.Rolling
) -> str | None:
    """Return why the new version is to be given up."""
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


def _is_watched(
    rollout: orders.Rollout, view: View, now: float, rules: settings.Rolling
) -> bool:
    """Return whether the engine that changed last is still being watched.

    A model that nobody asks for gives no samples; ten times the soak is enough then.
    """
    if view.changed_at is None:
        return False
    spent = now - view.changed_at
    new = view.measured.get(rollout.version, Measured())
    enough = new.answers >= rules.samples or spent >= 10 * rules.soak
    return spent < rules.soak or not enough


def _take_next(rollout: orders.Rollout, view: View) -> Step:
    """Return the next engine whose version differs from the one aimed at."""
    if any(_concerns(task, rollout.model) for task in view.tasks.values()):
        return Wait("an engine changes")
    if any(rollout.model not in engine.versions for engine in view.engines):
        return Wait("an engine has not told its versions")
    behind = [
        engine
        for engine in view.engines
        if engine.versions.get(rollout.model) != rollout.aim
    ]
    if not behind:
        return End()
    free = [
        engine
        for engine in behind
        if engine.usable and engine.name not in view.tasks and view.homes[engine.name]
    ]
    if not free:
        return Wait("no engine can be freed: its models have no other home")
    chosen = min(free, key=lambda engine: (engine.load, engine.name))
    steps = (
        model.Order(model.UNLOAD, rollout.model),
        model.Order(model.LOAD, rollout.model, version=rollout.aim),
    )
    return Take(chosen.name, chosen.incarnation, steps)


def _concerns(task: orders.Task, name: str) -> bool:
    """Return whether a task loads or unloads the model."""
    return any(step.model == name for step in task.steps)
