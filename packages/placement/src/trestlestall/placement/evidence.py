"""What an engine's own account of itself says about an order whose answer was lost.

An engine that lists the numbers of the orders it took settles the matter by the list;
for one that does not, by what it holds.
"""

import dataclasses
import enum
import typing
from collections import abc

from trestlestall.placement import model, orders

LOADING = "loading"
FAILED = "failed"


class Verdict(enum.StrEnum):
    """What is known of an order: carried out, under way, failed, or not there."""

    DONE = "done"
    UNDER_WAY = "under_way"
    FAILED = "failed"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True)
class EngineState:
    """An engine's answer to ``GET /v1/state``.

    ``versions`` maps what it holds to its version and ``loads`` what was ordered to how
    that went. ``fences`` are the numbers it took, None when it does not list them.
    ``load`` is its requests running and waiting.
    """

    versions: abc.Mapping[str, str]
    loads: abc.Mapping[str, str]
    role: str = ""
    fences: frozenset[int] | None = None
    load: int = 0


@dataclasses.dataclass(frozen=True)
class Finding:
    """The verdict, and for a failure its reason."""

    verdict: Verdict
    reason: str = ""


def judge(held: orders.Open, state: EngineState) -> Finding:
    """Return what the engine's account says of an open order."""
    if state.fences is not None and held.fence not in state.fences:
        return Finding(Verdict.ABSENT)
    return JUDGES[held.order.kind](held.order, state)


def judge_load(order: model.Order, state: EngineState) -> Finding:
    """Judge by the version held, else by how the load went."""
    if state.versions.get(order.target) == order.version:
        return Finding(Verdict.DONE)
    went = state.loads.get(order.target, "")
    if went.startswith(LOADING):
        return Finding(Verdict.UNDER_WAY)
    if went.startswith(FAILED):
        return Finding(Verdict.FAILED, went.partition(":")[2].strip() or FAILED)
    return Finding(Verdict.ABSENT)


def judge_unload(order: model.Order, state: EngineState) -> Finding:
    """Judge by whether the model is still held."""
    held = order.target in state.versions
    return Finding(Verdict.ABSENT if held else Verdict.DONE)


def judge_role(order: model.Order, state: EngineState) -> Finding:
    """Judge by the role."""
    return Finding(Verdict.DONE if state.role == order.role else Verdict.ABSENT)


JUDGES = {
    model.LOAD: judge_load,
    model.UNLOAD: judge_unload,
    model.ROLE: judge_role,
}


def read_state(document: typing.Any) -> EngineState | None:
    """Return the state of an answer's JSON, None when it is none."""
    try:
        taken = document.get("orders")
        fences = None if taken is None else frozenset(int(o["fence"]) for o in taken)
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
