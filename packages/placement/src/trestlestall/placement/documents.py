"""Encodes orders, their events and outcomes as plain documents, for CBOR.

Decoding checks types and refuses unknown keys; it raises ``InvalidDocument`` of
``trestlestall.configuration.exceptions``.
"""

import dataclasses

import msgspec

from trestlestall.configuration import exceptions, kinds, persistent, strict
from trestlestall.placement import events, orders, outcomes

FORMAT = 1
EVENTS: dict[str, type] = {
    "assign": events.Assign,
    "drop": events.Drop,
    "intend": events.Intend,
    "sent": events.Sent,
    "settled": events.Settled,
    "superseded": events.Superseded,
    "begin_rollout": events.BeginRollout,
    "roll_engine": events.RollEngine,
    "stop_rollout": events.StopRollout,
    "end_rollout": events.EndRollout,
}
OUTCOMES: dict[str, type] = {
    "intended": outcomes.Intended,
    "recorded": outcomes.Recorded,
    "busy": outcomes.Busy,
    "old_term": outcomes.OldTerm,
    "unknown": outcomes.Unknown,
}


@dataclasses.dataclass(frozen=True)
class OrdersDocument:
    """The fields of the encoded state."""

    format: int
    term: int
    last_fence: int
    tasks: tuple[orders.Task, ...]
    open: tuple[orders.Open, ...]
    rollouts: tuple[orders.Rollout, ...]
    recent: tuple[orders.Closed, ...]


def encode(state: orders.Orders) -> dict:
    """Return the state as a document; equal states have equal documents."""
    document = OrdersDocument(
        FORMAT,
        state.term,
        state.last_fence,
        tuple(state.tasks.values()),
        tuple(state.open.values()),
        tuple(state.rollouts.values()),
        state.recent,
    )
    return msgspec.to_builtins(document)


def decode(document: object) -> orders.Orders:
    """Return the state that a document encodes."""
    made = strict.convert(document, OrdersDocument)
    if made.format != FORMAT:
        message = f"format {made.format} is not supported, only {FORMAT} is"
        raise exceptions.InvalidDocument("$.format", message)
    return orders.Orders(
        term=made.term,
        last_fence=made.last_fence,
        tasks=persistent.Map.of({task.engine: task for task in made.tasks}),
        open=persistent.Map.of(
            {open_order.engine: open_order for open_order in made.open}
        ),
        rollouts=persistent.Map.of({one.model: one for one in made.rollouts}),
        recent=made.recent,
    )


def encode_event(event: events.Event) -> dict:
    """Return the event as a document: its kind and its fields."""
    return kinds.encode(event, EVENTS)


def decode_event(document: object) -> events.Event:
    """Return the event that a document encodes."""
    return kinds.decode(document, EVENTS)


def encode_outcome(outcome: outcomes.Outcome) -> dict:
    """Return the outcome as a document: its kind and its fields."""
    return kinds.encode(outcome, OUTCOMES)


def decode_outcome(document: object) -> outcomes.Outcome:
    """Return the outcome that a document encodes."""
    return kinds.decode(document, OUTCOMES)
