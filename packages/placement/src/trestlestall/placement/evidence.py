"""Determines from an engine's reported state what became of an order.

It is used when the answer to an order was lost. If the engine lists the fencing numbers
of the orders it accepted, an order that is not on the list is absent; otherwise only
the models, loads and role that it reports count.
"""

import dataclasses
import enum
import typing
from collections import abc

from trestlestall.placement import model, orders

LOADING = "loading"
FAILED = "failed"


class Verdict(enum.StrEnum):
    """What is known of an order: carried out, under way, failed, or no trace of it."""

    DONE = "done"
    UNDER_WAY = "under_way"
    FAILED = "failed"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True)
class EngineState:
    """An engine's answer to ``GET /v1/state``.

    ``versions`` maps loaded weights to their version, ``loads`` ordered weights to the
    state of their load. ``fences`` are the fencing numbers it accepted, None when it
    does not list them. ``load`` counts its running and waiting requests.
    """

    versions: abc.Mapping[str, str]
    loads: abc.Mapping[str, str]
    role: str = ""
    fences: frozenset[int] | None = None
    load: int = 0


@dataclasses.dataclass(frozen=True)
class Finding:
    """The verdict, and the reason of a failure."""

    verdict: Verdict
    reason: str = ""


def evaluate(open_order: orders.Open, state: EngineState) -> Finding:
    """Return what the engine's reported state says of an open order."""
    if state.fences is not None and open_order.fence not in state.fences:
        return Finding(Verdict.ABSENT)
    return EVALUATORS[open_order.order.kind](open_order.order, state)


def evaluate_load(order: model.Order, state: EngineState) -> Finding:
    """Evaluate by the loaded version, else by the state of the load."""
    if state.versions.get(order.target) == order.version:
        return Finding(Verdict.DONE)
    load_state = state.loads.get(order.target, "")
    if load_state.startswith(LOADING):
        return Finding(Verdict.UNDER_WAY)
    if load_state.startswith(FAILED):
        return Finding(Verdict.FAILED, load_state.partition(":")[2].strip() or FAILED)
    return Finding(Verdict.ABSENT)


def evaluate_unload(order: model.Order, state: EngineState) -> Finding:
    """Evaluate by whether the model is still loaded."""
    loaded = order.target in state.versions
    return Finding(Verdict.ABSENT if loaded else Verdict.DONE)


def evaluate_role(order: model.Order, state: EngineState) -> Finding:
    """Evaluate by the reported role."""
    return Finding(Verdict.DONE if state.role == order.role else Verdict.ABSENT)


EVALUATORS = {
    model.LOAD: evaluate_load,
    model.UNLOAD: evaluate_unload,
    model.ROLE: evaluate_role,
}


def read_state(document: typing.Any) -> EngineState | None:
    """Return the state in an answer's decoded JSON, None if it is malformed."""
    try:
        accepted = document.get("orders")
        fences = (
            None if accepted is None else frozenset(int(o["fence"]) for o in accepted)
        )
        load = document.get("load") or {}
        return EngineState(
            versions={str(k): str(v) for k, v in document["versions"].items()},
            loads={str(k): str(v) for k, v in document.get("loads", {}).items()},
            role=str(document.get("role", "")),
            fences=fences,
            load=int(load.get("running", 0)) + int(load.get("waiting", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
