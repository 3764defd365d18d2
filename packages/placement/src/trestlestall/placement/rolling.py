"""What each step of a rollout comes to: events for the log."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.placement import actions, events, orders, planner, rollout

if typing.TYPE_CHECKING:
    from trestlestall.placement import steward as stewards

Step = abc.Callable[
    ["stewards.Steward", orders.Rollout, typing.Any, float], list[actions.Action]
]


def take_engine(
    steward: stewards.Steward, made: orders.Rollout, step: rollout.Take, now: float
) -> list[actions.Action]:
    """Give the next engine its task; noted once the task is in the log."""
    assign = events.Assign(
        steward.term,
        step.engine,
        step.incarnation,
        step.steps,
        True,
        f"{made.model} goes to version {made.aim!r}",
        int(planner.Urgency.DECLARED),
    )
    moved = events.RollEngine(steward.term, made.model, step.engine)
    return [actions.Propose(assign), actions.Propose(moved)]


def release_engine(
    steward: stewards.Steward, made: orders.Rollout, step: rollout.Release, now: float
) -> list[actions.Action]:
    """Note that the engine's task is over, and watch from now on."""
    steward.changed_at[made.model] = now
    return [actions.Propose(events.RollEngine(steward.term, made.model, ""))]


def stop_rollout(
    steward: stewards.Steward, made: orders.Rollout, step: rollout.Stop, now: float
) -> list[actions.Action]:
    """Give the version up."""
    return [
        actions.Withheld(made.engine, made.model, step.reason),
        actions.Propose(events.StopRollout(steward.term, made.model, step.reason)),
    ]


def end_rollout(
    steward: stewards.Steward, made: orders.Rollout, step: rollout.End, now: float
) -> list[actions.Action]:
    """Note that all engines have the version."""
    steward.watch.forget_measured(made.model)
    steward.changed_at.pop(made.model, None)
    return [actions.Propose(events.EndRollout(steward.term, made.model))]


def wait(
    steward: stewards.Steward, made: orders.Rollout, step: rollout.Wait, now: float
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
