"""Handlers of the controller's inputs: one function for each kind of input."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.placement import actions, model, orders

if typing.TYPE_CHECKING:
    from trestlestall.placement import controller as controllers

Handler = abc.Callable[
    ["controllers.Controller", typing.Any, float], list[actions.Action]
]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that makes the function handle one kind of input."""

    def enter(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return enter


@handles(actions.LeadershipGained)
def begin_term(
    controller: controllers.Controller, event: actions.LeadershipGained, now: float
) -> list[actions.Action]:
    """Begin to decide as the leader of a term."""
    controller.begin_term(event.term, now)
    return []


@handles(actions.LeadershipLost)
def end_term(
    controller: controllers.Controller, event: actions.LeadershipLost, now: float
) -> list[actions.Action]:
    """Stop deciding."""
    controller.term = None
    return []


@handles(actions.StateApplied)
def handle_state(
    controller: controllers.Controller, event: actions.StateApplied, now: float
) -> list[actions.Action]:
    """Apply the newest agreed state; failed loads back off for longer."""
    known = {closed.fence for closed in controller.state.recent}
    controller.state = event.state
    for closed in event.state.recent:
        if closed.fence not in known:
            record_ended(controller, closed, now)
    return advance(controller, event, now)


def record_ended(
    controller: controllers.Controller, closed: orders.Closed, now: float
) -> None:
    """Record a completed order for the planner, and a load's end for the schedule."""
    if closed.done and controller.term is not None:
        controller.cluster_view.record_done(closed.engine, closed.order, now)
    if closed.order.kind == model.LOAD:
        record_load_ended(controller, closed, now)


def record_load_ended(
    controller: controllers.Controller, closed: orders.Closed, now: float
) -> None:
    """Record for the schedule how a load ended."""
    weights = closed.order.weights
    if closed.done:
        controller.schedule.reset(closed.engine, weights)
    else:
        controller.schedule.record_failure(closed.engine, weights, now)


@handles(actions.DesiredChanged)
def handle_desired(
    controller: controllers.Controller, event: actions.DesiredChanged, now: float
) -> list[actions.Action]:
    """Replace what operators want."""
    controller.desired = event.desired
    return []


@handles(actions.EnginesObserved)
def handle_engines(
    controller: controllers.Controller, event: actions.EnginesObserved, now: float
) -> list[actions.Action]:
    """Replace the announced engines and linked gates."""
    controller.cluster_view.update_engines(event.engines, now)
    controller.cluster_view.gates = event.gates
    return []


@handles(actions.DemandObserved)
def handle_demand(
    controller: controllers.Controller, event: actions.DemandObserved, now: float
) -> list[actions.Action]:
    """Replace the demand."""
    controller.demand = event.demand
    return []


@handles(actions.AnswersObserved)
def handle_answers(
    controller: controllers.Controller, event: actions.AnswersObserved, now: float
) -> list[actions.Action]:
    """Count answers for the rollouts."""
    controller.cluster_view.record_answers(
        event.engine, event.model, event.answers, event.on_time
    )
    return []


@handles(actions.Granted)
def handle_permit(
    controller: controllers.Controller, event: actions.Granted, now: float
) -> list[actions.Action]:
    """Continue with an order whose gate answered the permit request."""
    open_order = find_open_order(controller, event.fence)
    return (
        controller.deliveries.handle_permit_answer(open_order, event.answer, now)
        if open_order
        else []
    )


@handles(actions.LeadershipConfirmed)
def handle_confirmation(
    controller: controllers.Controller, event: actions.LeadershipConfirmed, now: float
) -> list[actions.Action]:
    """Send an order for which the leadership was confirmed."""
    open_order = find_open_order(controller, event.fence)
    if open_order is None:
        return []
    return controller.deliveries.handle_confirmation(
        open_order, controller.make_delivery_context(open_order), now
    )


@handles(actions.Delivered)
def handle_result(
    controller: controllers.Controller, event: actions.Delivered, now: float
) -> list[actions.Action]:
    """Handle the result of sending an order."""
    open_order = find_open_order(controller, event.fence)
    if open_order is None:
        return []
    return controller.deliveries.handle_result(
        open_order, event.result, event.reason, now
    )


@handles(actions.EngineStateReceived)
def handle_engine_state(
    controller: controllers.Controller, event: actions.EngineStateReceived, now: float
) -> list[actions.Action]:
    """Evaluate an engine's task and open order by its reported state."""
    if controller.term is None or event.state is None:
        return []
    asked_at = controller.cluster_view.record_state(event.engine, event.state)
    if asked_at is None:
        return []
    task = controller.state.tasks.get(event.engine)
    if task is not None:
        controller.tasks.handle_engine_state(task, event.state, asked_at)
    open_order = controller.state.open.get(event.engine)
    if open_order is None:
        return []
    context = controller.make_delivery_context(open_order)
    return controller.deliveries.handle_engine_state(
        open_order, context, event.state, asked_at, now
    )


@handles(actions.Tick)
def advance(
    controller: controllers.Controller, event: typing.Any, now: float
) -> list[actions.Action]:
    """Return the actions that are due, if this process leads."""
    return controller.advance(now) if controller.term is not None else []


def find_open_order(
    controller: controllers.Controller, fence: int
) -> orders.Open | None:
    """Return the open order with a fencing number, if this process leads."""
    return controller.state.find_open(fence) if controller.term is not None else None
