"""Tasks, orders and rollouts as a state machine on the agreed log.

``Orders`` is immutable and ``apply`` deterministic, so that voters which applied the
same events hold equal states. Fencing numbers come from a counter in the state: they
grow strictly, also across leaders, because the log has one order of entries.

An order is logged (``Intend``) before it is sent, and its end (``Settled``) afterwards;
an engine has at most one open order. A new leader therefore finds in the log every
order that its predecessors may have sent.

Example:

    >>> load = model.Order("load", "m1")
    >>> state, _ = apply(EMPTY, events.Assign(1, "e1", 7, (load,), False, ""), 5.0)
    >>> apply(state, events.Intend(1, "e1", 7, 0, load), 5.1)[1]
    Intended(fence=1)
"""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import persistent
from trestlestall.placement import events, model, outcomes

RECENT_LIMIT = 200
ROLLING = "rolling"
REVERTING = "reverting"
DONE = "done"
STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """The orders assigned to an engine, of which ``done`` are carried out."""

    engine: str
    incarnation: int
    steps: tuple[model.Order, ...]
    drain: bool
    reason: str
    urgency: int = 0
    done: int = 0

    @property
    def next_order(self) -> model.Order | None:
        """The next order, None when all are carried out."""
        return self.steps[self.done] if self.done < len(self.steps) else None


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """An order that was logged and has not ended yet.

    ``taken`` says that the engine confirmed that it accepted the order; ``at`` is the
    time of logging in wall-clock seconds.
    """

    fence: int
    engine: str
    incarnation: int
    order: model.Order
    term: int
    at: float
    taken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """An order that has ended, retained for operators to see."""

    fence: int
    engine: str
    order: model.Order
    done: bool
    reason: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A change of a model's version, engine by engine.

    ``engine`` is the one that changes now, empty between two. ``phase`` is ``rolling``,
    ``reverting``, ``done`` or ``stopped``.
    """

    model: str
    version: str
    previous: str
    phase: str = ROLLING
    engine: str = ""
    reason: str = ""

    @property
    def target_version(self) -> str:
        """The version that all engines should get."""
        return self.version if self.phase in (ROLLING, DONE) else self.previous

    @property
    def active(self) -> bool:
        """Whether engines may still have to change."""
        return self.phase in (ROLLING, REVERTING)


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """The state: tasks and open orders by engine, rollouts by model."""

    term: int = 0
    last_fence: int = 0
    tasks: persistent.Map = persistent.EMPTY
    open: persistent.Map = persistent.EMPTY
    rollouts: persistent.Map = persistent.EMPTY
    recent: tuple[Closed, ...] = ()

    @property
    def versions(self) -> dict[str, str]:
        """The version of each model that has a rollout.

        It is the new one once the rollout is done, and the previous one until then.
        """
        return {
            name: made.version if made.phase == DONE else made.previous
            for name, made in self.rollouts.items()
        }

    def find_open(self, fence: int) -> Open | None:
        """Return the open order with a fencing number, None if there is none."""
        return next(
            (
                open_order
                for open_order in self.open.values()
                if open_order.fence == fence
            ),
            None,
        )


EMPTY = Orders()

Applier = abc.Callable[[Orders, typing.Any, float], tuple[Orders, outcomes.Outcome]]
APPLIERS: dict[type, Applier] = {}


def applies(kind: type) -> abc.Callable[[Applier], Applier]:
    """Return a decorator that makes the function apply one kind of event."""

    def enter(function: Applier) -> Applier:
        APPLIERS[kind] = function
        return function

    return enter


def apply(
    state: Orders, event: events.Event, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Return the state after the event, and the event's outcome.

    ``at`` is the leader's wall clock in seconds; it is only shown to operators.
    """
    if event.term < state.term:
        return state, outcomes.OldTerm(state.term)
    state = dataclasses.replace(state, term=event.term)
    return APPLIERS[type(event)](state, event, at)


@applies(events.Assign)
def assign(
    state: Orders, event: events.Assign, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Assign a task to an engine, unless it has one."""
    if event.engine in state.tasks:
        return state, outcomes.Busy()
    task = Task(
        event.engine,
        event.incarnation,
        event.steps,
        event.drain,
        event.reason,
        event.urgency,
    )
    tasks = state.tasks.set(event.engine, task)
    return dataclasses.replace(state, tasks=tasks), outcomes.Recorded()


@applies(events.Drop)
def drop(
    state: Orders, event: events.Drop, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """End a task, unless an order of it is open."""
    if event.engine not in state.tasks:
        return state, outcomes.Unknown()
    if event.engine in state.open:
        return state, outcomes.Busy()
    tasks = state.tasks.remove(event.engine)
    return dataclasses.replace(state, tasks=tasks), outcomes.Recorded()


@applies(events.Intend)
def intend(
    state: Orders, event: events.Intend, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Log an order under the next number, if it is the task's next and none is open."""
    task = state.tasks.get(event.engine)
    if task is None or (task.done, task.next_order) != (event.step, event.order):
        return state, outcomes.Unknown()
    if event.engine in state.open:
        return state, outcomes.Busy()
    fence = state.last_fence + 1
    open_order = Open(
        fence, event.engine, event.incarnation, event.order, event.term, at
    )
    return _open(state, open_order), outcomes.Intended(fence)


@applies(events.Superseded)
def supersede(
    state: Orders, event: events.Superseded, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Reissue the open order under a new fencing number and the proposer's term."""
    open_order = state.find_open(event.fence)
    if open_order is None:
        return state, outcomes.Unknown()
    fence = state.last_fence + 1
    reissued = dataclasses.replace(
        open_order, fence=fence, term=event.term, at=at, taken=False
    )
    return _open(state, reissued), outcomes.Intended(fence)


@applies(events.Sent)
def record_sent(
    state: Orders, event: events.Sent, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Record that the engine accepted the order."""
    open_order = state.find_open(event.fence)
    if open_order is None:
        return state, outcomes.Unknown()
    open_orders = state.open.set(
        open_order.engine, dataclasses.replace(open_order, taken=True)
    )
    return dataclasses.replace(state, open=open_orders), outcomes.Recorded()


@applies(events.Settled)
def settle(
    state: Orders, event: events.Settled, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """End an order; one that was carried out advances its task by a step."""
    open_order = state.find_open(event.fence)
    if open_order is None:
        return state, outcomes.Unknown()
    closed = Closed(
        open_order.fence,
        open_order.engine,
        open_order.order,
        event.done,
        event.reason,
        at,
    )
    tasks = state.tasks
    if event.done:
        task = tasks[open_order.engine]
        tasks = tasks.set(
            open_order.engine, dataclasses.replace(task, done=task.done + 1)
        )
    changed = dataclasses.replace(
        state,
        tasks=tasks,
        open=state.open.remove(open_order.engine),
        recent=(*state.recent, closed)[-RECENT_LIMIT:],
    )
    return changed, outcomes.Recorded()


def _open(state: Orders, open_order: Open) -> Orders:
    return dataclasses.replace(
        state,
        last_fence=open_order.fence,
        open=state.open.set(open_order.engine, open_order),
    )


@applies(events.BeginRollout)
def begin_rollout(
    state: Orders, event: events.BeginRollout, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Begin to change a model's version, unless it is being changed already."""
    known = state.rollouts.get(event.model)
    if known is not None and known.active:
        same = known.phase == ROLLING and known.version == event.version
        return state, outcomes.Recorded() if same else outcomes.Busy()
    previous = state.versions.get(event.model, "")
    made = Rollout(event.model, event.version, previous)
    return _put_rollout(state, made), outcomes.Recorded()


@applies(events.RollEngine)
def roll_engine(
    state: Orders, event: events.RollEngine, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Record the engine that a rollout changes now."""
    known = state.rollouts.get(event.model)
    if known is None or not known.active:
        return state, outcomes.Unknown()
    moved = dataclasses.replace(known, engine=event.engine)
    return _put_rollout(state, moved), outcomes.Recorded()


@applies(events.StopRollout)
def stop_rollout(
    state: Orders, event: events.StopRollout, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """Abort a rollout; engines that have the new version are to be rolled back."""
    known = state.rollouts.get(event.model)
    if known is None or known.phase != ROLLING:
        return state, outcomes.Unknown()
    stopped = dataclasses.replace(known, phase=REVERTING, reason=event.reason)
    return _put_rollout(state, stopped), outcomes.Recorded()


@applies(events.EndRollout)
def end_rollout(
    state: Orders, event: events.EndRollout, at: float
) -> tuple[Orders, outcomes.Outcome]:
    """End a rollout: every engine has the target version."""
    known = state.rollouts.get(event.model)
    if known is None or not known.active:
        return state, outcomes.Unknown()
    phase = DONE if known.phase == ROLLING else STOPPED
    ended = dataclasses.replace(known, phase=phase, engine="")
    return _put_rollout(state, ended), outcomes.Recorded()


def _put_rollout(state: Orders, made: Rollout) -> Orders:
    return dataclasses.replace(state, rollouts=state.rollouts.set(made.model, made))
