"""Codec between claims, events and outcomes and plain documents for CBOR.

Bodies are bytes. Decoding checks types and rejects unknown keys by raising
``InvalidDocument`` of ``trestlestall.configuration.exceptions``. Equal claims have
equal documents.
"""

import dataclasses
from collections import abc

import msgspec

from trestlestall.claims import claims as machine, events, outcomes
from trestlestall.configuration import exceptions, kinds, persistent, strict

FORMAT = 1
EVENTS = {"claim": events.Claim, "finish": events.Finish, "release": events.Release}
OUTCOMES = {
    "granted": outcomes.Granted,
    "held": outcomes.Held,
    "finished": outcomes.Finished,
    "mismatch": outcomes.Mismatch,
    "recorded": outcomes.Recorded,
    "unknown": outcomes.Unknown,
    "absent": outcomes.Absent,
}


@dataclasses.dataclass(frozen=True)
class ClaimsDocument:
    """The schema of the claims' document.

    ``records`` is a MessagePack list of all records, oldest first. Packed as a whole,
    100,000 of them are encoded without a Python object for each field. ``bodies`` names
    the attempts whose answers are retained, oldest first.
    """

    format: int
    now: float
    records: bytes
    bodies: tuple[str, ...]


def encode(claims: machine.Claims) -> dict:
    """Return the claims' document, the complete state that a voter resumes from."""
    known = claims.attempts.to_dict()
    records = [known[attempt] for attempt in claims.ages.list_attempts()]
    return {
        "format": FORMAT,
        "now": claims.now,
        "records": msgspec.msgpack.encode(records),
        "bodies": claims.bodies.list_attempts(),
    }


def decode(document: object) -> machine.Claims:
    """Return the claims of a document."""
    made = strict.convert(document, ClaimsDocument)
    if made.format != FORMAT:
        message = f"format {made.format} is not {FORMAT}, the one known here"
        raise exceptions.InvalidDocument("$.format", message)
    records = _unpack_records(made.records)
    # If an expired record and a younger one have the same key, the younger one holds
    # it.
    held = [record for record in records if record.key is not None]
    return machine.Claims(
        now=made.now,
        attempts=persistent.Map.of({made.attempt: made for made in records}),
        holders=persistent.Map.of({made.key: made.attempt for made in held}),
        ages=_restore_queue([made.attempt for made in records]),
        bodies=_restore_queue(made.bodies),
        body_bytes=sum(map(machine.measure_body, records)),
    )


def _unpack_records(data: bytes) -> list[machine.Record]:
    try:
        return msgspec.msgpack.decode(data, type=list[machine.Record])
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidDocument("$.records", str(error)) from error


def encode_event(event: events.Event) -> dict:
    """Return the event's document: its kind and its fields."""
    return kinds.encode(event, EVENTS)


def decode_event(document: object) -> events.Event:
    """Return the event of a document."""
    return kinds.decode(document, EVENTS)


def encode_lookup(lookup: events.Lookup) -> dict:
    """Return the fields of the lookup."""
    return msgspec.to_builtins(lookup)


def decode_lookup(document: object) -> events.Lookup:
    """Return the lookup with these fields."""
    return strict.convert(document, events.Lookup)


def encode_outcome(outcome: outcomes.Outcome) -> dict:
    """Return the outcome's document: its kind and its fields."""
    return kinds.encode(outcome, OUTCOMES)


def decode_outcome(document: object) -> outcomes.Outcome:
    """Return the outcome of a document."""
    return kinds.decode(document, OUTCOMES)


def _restore_queue(attempts: abc.Sequence[str]) -> machine.Queue:
    items = persistent.Map.of(dict(enumerate(attempts)))
    return machine.Queue(items, 0, len(attempts))
