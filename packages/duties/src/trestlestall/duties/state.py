"""What the agreed log holds of the duties: lease, windows and orders.

Events come as plain documents, as the log keeps them, and outcomes go back as such:

    state, outcome = state.apply(state.EMPTY, {"event": "take", ...})

All but the asking for the lease are taken from its holder alone.
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
    """Lease, windows and orders, as the entries so far made them."""

    lease: leases.Lease = leases.NOBODY
    windows: usage_windows.Windows = usage_windows.NONE
    orders: upstream_orders.Orders = upstream_orders.NONE


EMPTY = State()
Apply = abc.Callable[[State, Document], tuple[State, Document]]
EVENTS: dict[str, Apply] = {}


def register(name: str) -> abc.Callable[[Apply], Apply]:
    """Return a decorator that makes the function apply events of a name."""

    def enter(function: Apply) -> Apply:
        EVENTS[name] = function
        return function

    return enter


def apply(state: State, document: Document) -> tuple[State, Document]:
    """Return the state after an event, and the document of its outcome."""
    document = dict(document)
    return EVENTS[document.pop(EVENT)](state, document)


def encode_answer(answer: leases.Answer) -> Document:
    """Return the document of an answer."""
    return {GRANTED: isinstance(answer, leases.Granted), TOKEN: answer.token}


def decode_answer(document: Document) -> leases.Answer:
    """Return the answer of a document."""
    kind = leases.Granted if document[GRANTED] else leases.Refused
    return kind(document[TOKEN])


def encode_event(event: typing.Any) -> Document:
    """Return the document of an event, for the log."""
    return {EVENT: type(event).__name__.lower(), **dataclasses.asdict(event)}


def change_for_holder(
    state: State, token: int, change: abc.Callable[[State], State]
) -> tuple[State, Document]:
    """Make a change if it comes from who holds the lease; return the answer too."""
    if token != state.lease.token:
        return state, encode_answer(leases.Refused(state.lease.token))
    return change(state), encode_answer(leases.Granted(token))


@register("take")
def apply_take(state: State, document: Document) -> tuple[State, Document]:
    """Let a process have the lease, if nobody renewed it."""
    lease, answer = leases.take(state.lease, leases.Take(**document))
    return dataclasses.replace(state, lease=lease), encode_answer(answer)


@register("renew")
def apply_renew(state: State, document: Document) -> tuple[State, Document]:
    """Let the holder keep the lease."""
    lease, answer = leases.renew(state.lease, leases.Renew(**document))
    return dataclasses.replace(state, lease=lease), encode_answer(answer)


@register("fix")
def apply_fix(state: State, document: Document) -> tuple[State, Document]:
    """Enter the counts of a window."""
    wanted = usage_windows.Fix(**document)

    def change(before: State) -> State:
        fixed = usage_windows.fix(before.windows, wanted)
        return dataclasses.replace(before, windows=fixed)

    return change_for_holder(state, wanted.token, change)


@register("reported")
def apply_reported(state: State, document: Document) -> tuple[State, Document]:
    """Drop a window whose report was taken, whoever says so."""
    reported = usage_windows.Reported(**document)
    left = usage_windows.drop(state.windows, reported)
    dropped = dataclasses.replace(state, windows=left)
    return change_for_holder(dropped, reported.token, lambda same: same)


@register("order")
def apply_order(state: State, document: Document) -> tuple[State, Document]:
    """Enter an order before it is given."""
    wanted = upstream_orders.Order(**document)

    def change(before: State) -> State:
        entered = upstream_orders.enter(before.orders, wanted)
        return dataclasses.replace(before, orders=entered)

    return change_for_holder(state, wanted.token, change)


@register("placed")
def apply_placed(state: State, document: Document) -> tuple[State, Document]:
    """Note that an order was taken."""
    placed = upstream_orders.Placed(**document)

    def change(before: State) -> State:
        noted = upstream_orders.note_placed(before.orders, placed)
        return dataclasses.replace(before, orders=noted)

    return change_for_holder(state, placed.token, change)


def encode(state: State) -> Document:
    """Return the state as plain values, for a snapshot."""
    return {
        "lease": dataclasses.asdict(state.lease),
        "newest": state.windows.newest,
        "waiting": {number: dict(one) for number, one in state.windows.waiting.items()},
        "orders": upstream_orders.encode(state.orders),
    }


def decode(document: Document) -> State:
    """Return the state of a snapshot."""
    return State(
        leases.Lease(**document["lease"]),
        usage_windows.Windows(document["newest"], document["waiting"]),
        upstream_orders.decode(document["orders"]),
    )
