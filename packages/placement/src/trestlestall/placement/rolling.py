"""Turns each step of a rollout into actions, mostly events for the agreed log."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.placement import actions, events, orders, planner, rollout

if typing.TYPE_CHECKING:
    from trestlestall.placement import controller as controllers

Step = abc.Callable[
    ["controllers.Controller", orders.Rollout, typing.Any, float], list[actions.Action]
]


def take_engine(
    controller: controllers.Controller,
    made: orders.Rollout,
    step: rollout.Take,
    now: float,
) -> list[actions.Action]:
    """Assign the next engine its task, and then record it as the rollout's engine."""
    assign = events.Assign(
        controller.term,
        step.engine,
        step.incarnation,
        step.steps,
        True,
        f"{made.model} goes to version {made.target_version!r}",
        int(planner.Urgency.DECLARED),
    )
    moved = events.RollEngine(controller.term, made.model, step.engine)
    return [actions.Propose(assign), actions.Propose(moved)]


def release_engine(
    controller: controllers.Controller,
    made: orders.Rollout,
    step: rollout.Release,
    now: float,
) -> list[actions.Action]:
    """Record that the engine's task has ended; the new version soaks from now on."""
    controller.changed_at[made.model] = now
    return [actions.Propose(events.RollEngine(controller.term, made.model, ""))]


def stop_rollout(
    controller: controllers.Controller,
    made: orders.Rollout,
    step: rollout.Stop,
    now: float,
) -> list[actions.Action]:
    """Abort the rollout."""
    return [
        actions.Withheld(made.engine, made.model, step.reason),
        actions.Propose(events.StopRollout(controller.term, made.model, step.reason)),
    ]


def end_rollout(
    controller: controllers.Controller,
    made: orders.Rollout,
    step: rollout.End,
    now: float,
) -> list[actions.Action]:
    """Record that all engines have the target version."""
    controller.cluster_view.reset_measured(made.model)
    controller.changed_at.pop(made.model, None)
    return [actions.Propose(events.EndRollout(controller.term, made.model))]


def wait(
    controller: controllers.Controller,
    made: orders.Rollout,
    step: rollout.Wait,
    now: float,
) -> list[actions.Action]:
    """Do nothing."""
    return []


STEPS: dict[type, Step] = {
    rollout.Take: take_engine,
    rollout.Release: release_engine,
    rollout.Stop: stop_rollout,
    rollout.End: end_rollout,
    rollout.Wait: wait,
}
