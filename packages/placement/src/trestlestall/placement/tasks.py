"""The tasks of engines: drain, wait until idle, one order after the other, admit.

Before a task unloads something, its engine is drained, so that routers send it no new
requests, and the task waits until the engine itself reports that nothing runs: no
stream is cut off.
"""

import dataclasses

from trestlestall.placement import (
    actions,
    events,
    evidence,
    load_schedule,
    model,
    orders,
    settings as placement_settings,
)

COMPLETED = "completed"
RESTARTED = "engine_restarted"
GONE = "engine_gone"
FAILED = "orders_failed"
UNSAFE = "no_other_home"
GIVEN_UP = "version_given_up"


@dataclasses.dataclass(frozen=True)
class Context:
    """What a task's next step depends on.

    ``engine`` is its newest announcement, None while there is none. ``safe`` says that
    the next order may be carried out, ``wanted`` that its result is still wanted.
    """

    engine: model.Engine | None
    drained: bool
    safe: bool
    wanted: bool


@dataclasses.dataclass(frozen=True)
class Progress:
    """The progress of a task as this leader has observed it.

    The engine is drained since ``drained_at`` and unannounced since ``missing_since``;
    ``free`` says that it was found idle. ``ending`` is why the task is being ended.
    ``failed_before`` counts the failures of the task's load before the task.
    """

    drained_at: float | None = None
    missing_since: float | None = None
    free: bool = False
    ending: str = ""
    failed_before: int | None = None


class Tasks:
    """The progress of tasks, by engine, of one leader in one term."""

    def __init__(
        self, settings: placement_settings.Settings, schedule: load_schedule.Schedule
    ):
        self._times = settings.sending
        self._settle = settings.planning.settle
        self._give_up = settings.rolling.failures
        self._schedule = schedule
        self._progress: dict[str, Progress] = {}

    def begin_term(self) -> None:
        """Remove the progress of all tasks."""
        self._progress.clear()

    def retain(self, engines: set[str]) -> None:
        """Remove the progress of tasks whose engine isn't given: they have ended."""
        for engine in self._progress.keys() - engines:
            del self._progress[engine]

    def advance(
        self, task: orders.Task, term: int, context: Context, now: float
    ) -> list[actions.Action]:
        """Return the actions that are due for a task without an open order."""
        progress = self._update_progress(task, context, now)
        ending = progress.ending or self._find_end(task, progress, context, now)
        if ending:
            self._change(task, ending=ending)
            return self._end(task, term, context, ending)
        if task.drain and not context.drained:
            return [actions.Drain(task.engine)]
        return []

    def is_ready(self, task: orders.Task, context: Context, now: float) -> bool:
        """Return whether the engine is ready for the next order."""
        progress = self._progress.get(task.engine, Progress())
        if progress.ending or context.engine is None or not context.safe:
            return False
        return progress.free or not task.drain

    def needs_query(self, task: orders.Task, now: float) -> bool:
        """Return whether the engine's state should be queried to see if it is idle."""
        progress = self._progress.get(task.engine, Progress())
        if not task.drain or progress.free or progress.drained_at is None:
            return False
        return now - progress.drained_at >= self._times.drain_settle

    def handle_engine_state(
        self, task: orders.Task, state: evidence.EngineState, asked_at: float
    ) -> None:
        """Record that the engine is idle, if it was queried late enough."""
        progress = self._progress.get(task.engine, Progress())
        if progress.drained_at is None:
            return
        settled = asked_at - progress.drained_at >= self._times.drain_settle
        if settled and state.load == 0:
            self._change(task, free=True)

    def _update_progress(
        self, task: orders.Task, context: Context, now: float
    ) -> Progress:
        """Record since when the engine is drained or missing."""
        progress = self._progress.get(task.engine, Progress())
        drained_at = progress.drained_at if progress.drained_at is not None else now
        missing_since = (
            progress.missing_since if progress.missing_since is not None else now
        )
        failed = progress.failed_before
        if failed is None:
            last = task.steps[-1].weights
            failed = self._schedule.count_failures(task.engine, last)
        return self._change(
            task,
            failed_before=failed,
            drained_at=drained_at if context.drained else None,
            missing_since=missing_since if context.engine is None else None,
            free=progress.free and context.drained,
        )

    def _find_end(
        self, task: orders.Task, progress: Progress, context: Context, now: float
    ) -> str:
        """Return why the task is to be ended, empty if it continues."""
        order = task.next_order
        if order is None:
            return COMPLETED
        if context.engine is None:
            missing = progress.missing_since is not None
            return (
                GONE if missing and now - progress.missing_since >= self._settle else ""
            )
        if context.engine.incarnation != task.incarnation:
            return RESTARTED
        if not context.wanted:
            return GIVEN_UP
        if not context.safe:
            return UNSAFE
        failures = self._schedule.count_failures(task.engine, order.weights)
        return FAILED if failures - progress.failed_before >= self._give_up else ""

    def _end(
        self, task: orders.Task, term: int, context: Context, reason: str
    ) -> list[actions.Action]:
        """Admit the engine that was drained for the task, then end the task."""
        if task.drain and context.drained:
            return [actions.Admit(task.engine)]
        return [actions.Propose(events.Drop(term, task.engine, reason))]

    def _change(self, task: orders.Task, **changes: object) -> Progress:
        progress = self._progress.get(task.engine, Progress())
        self._progress[task.engine] = dataclasses.replace(progress, **changes)
        return self._progress[task.engine]
