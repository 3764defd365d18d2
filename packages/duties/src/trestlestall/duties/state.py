"""The state of the duties in the agreed log: lease, windows and orders.

Events are plain documents, as the log stores them, and so are outcomes:

    state, outcome = state.apply(state.EMPTY, {"event": "take", ...})

All events but the request for the lease are accepted from its holder alone, except
that the report of a window is recorded whichever process says so.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.duties import (
    leases,
    orders as upstream_orders,
    windows as usage_windows,
)

Document = dict[str, typing.Any]
HOLDER = "holder"
EVENT = "event"
GRANTED = "granted"
TOKEN = "token"


@dataclasses.dataclass(frozen=True)
class State:
    """Lease, windows and orders after the entries applied so far."""

    lease: leases.Lease = leases.NOBODY
    windows: usage_windows.Windows = usage_windows.NONE
    orders: upstream_orders.Orders = upstream_orders.NONE


EMPTY = State()
Apply = abc.Callable[[State, Document], tuple[State, Document]]
EVENTS: dict[str, Apply] = {}


def register(name: str) -> abc.Callable[[Apply], Apply]:
    """Return a decorator that makes the function apply events with this name."""

    def enter(function: Apply) -> Apply:
        EVENTS[name] = function
        return function

    return enter


def apply(state: State, document: Document) -> tuple[State, Document]:
    """Return the state after an event, and the document of its outcome."""
    document = dict(document)
    return EVENTS[document.pop(EVENT)](state, document)


def encode_answer(answer: leases.Answer) -> Document:
    """Return an answer as a document."""
    return {GRANTED: isinstance(answer, leases.Granted), TOKEN: answer.token}


def decode_answer(document: Document) -> leases.Answer:
    """Return the answer that a document encodes."""
    kind = leases.Granted if document[GRANTED] else leases.Refused
    return kind(document[TOKEN])


def encode_event(event: typing.Any) -> Document:
    """Return an event as a document for the log."""
    return {EVENT: type(event).__name__.lower(), **dataclasses.asdict(event)}


def change_for_holder(
    state: State, token: int, change: abc.Callable[[State], State]
) -> tuple[State, Document]:
    """Make a change if it comes from the lease holder; return the answer too."""
    if token != state.lease.token:
        return state, encode_answer(leases.Refused(state.lease.token))
    return change(state), encode_answer(leases.Granted(token))


@register("take")
def apply_take(state: State, document: Document) -> tuple[State, Document]:
    """Grant a process the lease, if it is unchanged."""
    lease, answer = leases.acquire(state.lease, leases.Take(**document))
    return dataclasses.replace(state, lease=lease), encode_answer(answer)


@register("renew")
def apply_renew(state: State, document: Document) -> tuple[State, Document]:
    """Renew the holder's lease."""
    lease, answer = leases.renew(state.lease, leases.Renew(**document))
    return dataclasses.replace(state, lease=lease), encode_answer(answer)


@register("fix")
def apply_fix(state: State, document: Document) -> tuple[State, Document]:
    """Record the counts of a window."""
    wanted = usage_windows.Fix(**document)

    def change(before: State) -> State:
        fixed = usage_windows.fix(before.windows, wanted)
        return dataclasses.replace(before, windows=fixed)

    return change_for_holder(state, wanted.token, change)


@register("reported")
def apply_reported(state: State, document: Document) -> tuple[State, Document]:
    """Drop a window whose report was accepted, whichever process says so."""
    reported = usage_windows.Reported(**document)
    left = usage_windows.drop(state.windows, reported)
    dropped = dataclasses.replace(state, windows=left)
    return change_for_holder(dropped, reported.token, lambda same: same)


@register("order")
def apply_order(state: State, document: Document) -> tuple[State, Document]:
    """Record an order before it is sent."""
    wanted = upstream_orders.Order(**document)

    def change(before: State) -> State:
        entered = upstream_orders.enter(before.orders, wanted)
        return dataclasses.replace(before, orders=entered)

    return change_for_holder(state, wanted.token, change)


@register("placed")
def apply_placed(state: State, document: Document) -> tuple[State, Document]:
    """Record that the platform accepted an order."""
    placed = upstream_orders.Placed(**document)

    def change(before: State) -> State:
        placed_orders = upstream_orders.record_placed(before.orders, placed)
        return dataclasses.replace(before, orders=placed_orders)

    return change_for_holder(state, placed.token, change)


def encode(state: State) -> Document:
    """Return the state as a plain document for a snapshot."""
    return {
        "lease": dataclasses.asdict(state.lease),
        "newest": state.windows.newest,
        "waiting": {number: dict(one) for number, one in state.windows.waiting.items()},
        "orders": upstream_orders.encode(state.orders),
    }


def decode(document: Document) -> State:
    """Return the state that a snapshot's document encodes."""
    return State(
        leases.Lease(**document["lease"]),
        usage_windows.Windows(document["newest"], document["waiting"]),
        upstream_orders.decode(document["orders"]),
    )
