"""What comes in to the steward: one function for each kind of input."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.placement import actions, model, orders

if typing.TYPE_CHECKING:
    from trestlestall.placement import steward as stewards

Handler = abc.Callable[["stewards.Steward", typing.Any, float], list[actions.Action]]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that makes the function handle one kind of input."""

    def enter(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return enter


@handles(actions.Led)
def begin_term(
    steward: stewards.Steward, event: actions.Led, now: float
) -> list[actions.Action]:
    """Begin to decide."""
    steward.begin_term(event.term, now)
    return []


@handles(actions.Deposed)
def end_term(
    steward: stewards.Steward, event: actions.Deposed, now: float
) -> list[actions.Action]:
    """Decide nothing any more."""
    steward.term = None
    return []


@handles(actions.Applied)
def take_state(
    steward: stewards.Steward, event: actions.Applied, now: float
) -> list[actions.Action]:
    """Take the newest state; failed loads wait longer."""
    known = {closed.fence for closed in steward.state.recent}
    steward.state = event.state
    for closed in event.state.recent:
        if closed.fence not in known:
            note_ended(steward, closed, now)
    return advance(steward, event, now)


def note_ended(steward: stewards.Steward, closed: orders.Closed, now: float) -> None:
    """Let the plan know what was done, and the schedule how a load ended."""
    if closed.done and steward.term is not None:
        steward.watch.note_done(closed.engine, closed.order, now)
    if closed.order.kind == model.LOAD:
        note_load_ended(steward, closed, now)


def note_load_ended(
    steward: stewards.Steward, closed: orders.Closed, now: float
) -> None:
    """Let the schedule know how a load ended."""
    weights = closed.order.weights
    if closed.done:
        steward.schedule.forget(closed.engine, weights)
    else:
        steward.schedule.note_failed(closed.engine, weights, now)


@handles(actions.DesiredChanged)
def take_desired(
    steward: stewards.Steward, event: actions.DesiredChanged, now: float
) -> list[actions.Action]:
    """Take what operators want."""
    steward.desired = event.desired
    return []


@handles(actions.Seen)
def take_engines(
    steward: stewards.Steward, event: actions.Seen, now: float
) -> list[actions.Action]:
    """Take the engines and gates of now."""
    steward.watch.note_engines(event.engines, now)
    steward.watch.gates = event.gates
    return []


@handles(actions.DemandSeen)
def take_demand(
    steward: stewards.Steward, event: actions.DemandSeen, now: float
) -> list[actions.Action]:
    """Take the demand."""
    steward.demand = event.demand
    return []


@handles(actions.Answered)
def take_answers(
    steward: stewards.Steward, event: actions.Answered, now: float
) -> list[actions.Action]:
    """Count answers for the rollouts."""
    steward.watch.note_answers(event.engine, event.model, event.answers, event.on_time)
    return []


@handles(actions.Granted)
def take_permit(
    steward: stewards.Steward, event: actions.Granted, now: float
) -> list[actions.Action]:
    """Go on with an order whose gate answered."""
    held = find_own(steward, event.fence)
    return steward.flights.note_granted(held, event.answer, now) if held else []


@handles(actions.Confirmed)
def take_confirmation(
    steward: stewards.Steward, event: actions.Confirmed, now: float
) -> list[actions.Action]:
    """Hand an order over."""
    held = find_own(steward, event.fence)
    if held is None:
        return []
    return steward.flights.note_confirmed(held, steward.make_flight_view(held), now)


@handles(actions.Delivered)
def take_result(
    steward: stewards.Steward, event: actions.Delivered, now: float
) -> list[actions.Action]:
    """Take what became of an order."""
    held = find_own(steward, event.fence)
    if held is None:
        return []
    return steward.flights.note_delivered(held, event.result, event.reason, now)


@handles(actions.Told)
def take_account(
    steward: stewards.Steward, event: actions.Told, now: float
) -> list[actions.Action]:
    """Judge by an engine's account of itself."""
    if steward.term is None or event.state is None:
        return []
    asked_at = steward.watch.note_told(event.engine, event.state)
    if asked_at is None:
        return []
    task = steward.state.tasks.get(event.engine)
    if task is not None:
        steward.tasks.note_told(task, event.state, asked_at)
    held = steward.state.open.get(event.engine)
    if held is None:
        return []
    here = steward.make_flight_view(held)
    return steward.flights.note_told(held, here, event.state, asked_at, now)


@handles(actions.Tick)
def advance(
    steward: stewards.Steward, event: typing.Any, now: float
) -> list[actions.Action]:
    """Do what is due, if this one leads."""
    return steward.advance(now) if steward.term is not None else []


def find_own(steward: stewards.Steward, fence: int) -> orders.Open | None:
    """Return the open order of the number, if this one leads."""
    return steward.state.find_open(fence) if steward.term is not None else None
