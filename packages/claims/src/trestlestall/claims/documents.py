"""Plain documents of claims, their events and outcomes, for CBOR (bodies are bytes).

Decoding checks types and refuses unknown keys; it raises ``InvalidDocument`` of
``trestlestall.configuration.exceptions``. Equal claims have equal documents.
"""

import dataclasses

import msgspec

from trestlestall.claims import claims as machine, events, outcomes
from trestlestall.configuration import exceptions, persistent, strict

FORMAT = 1
KIND = "kind"
EVENTS = {"claim": events.Claim, "finish": events.Finish, "release": events.Release}
OUTCOMES = {
    "granted": outcomes.Granted,
    "held": outcomes.Held,
    "finished": outcomes.Finished,
    "mismatch": outcomes.Mismatch,
    "recorded": outcomes.Recorded,
    "unknown": outcomes.Unknown,
}


@dataclasses.dataclass(frozen=True)
class ClaimsDocument:
    """The shape of the claims' document; both lists are oldest first."""

    format: int
    now: float
    records: tuple[machine.Record, ...]
    bodies: tuple[machine.Due, ...]


def encode(claims: machine.Claims) -> dict:
    """Return the claims' document, with all that a voter needs to go on from it.

    What is past its retention but not yet removed is left out.
    """
    oldest = claims.now - machine.KEY_RETENTION
    dues = (due for due in claims.ages.list_items() if due.at > oldest)
    records = (claims.attempts[due.attempt] for due in dues)
    oldest_body = claims.now - machine.ANSWER_RETENTION
    bodies = (due for due in claims.bodies.list_items() if due.at > oldest_body)
    document = ClaimsDocument(
        FORMAT,
        claims.now,
        tuple(_strip_body(record, oldest_body) for record in records),
        tuple(bodies),
    )
    return msgspec.to_builtins(document, builtin_types=(bytes,))


def decode(document: object) -> machine.Claims:
    """Return the claims of a document."""
    made = strict.convert(document, ClaimsDocument)
    if made.format != FORMAT:
        message = f"format {made.format} is not {FORMAT}, the one known here"
        raise exceptions.InvalidDocument("$.format", message)
    held = [record for record in made.records if record.key is not None]
    return machine.Claims(
        now=made.now,
        attempts=persistent.Map.of({made.attempt: made for made in made.records}),
        holders=persistent.Map.of({made.key: made.attempt for made in held}),
        ages=_restore_queue([machine.Due(r.attempt, r.at) for r in made.records]),
        bodies=_restore_queue(list(made.bodies)),
    )


def encode_event(event: events.Event) -> dict:
    """Return the event's document: its kind and its fields."""
    return _encode_kind(event, EVENTS)


def decode_event(document: object) -> events.Event:
    """Return the event of a document."""
    return _decode_kind(document, EVENTS)


def encode_outcome(outcome: outcomes.Outcome) -> dict:
    """Return the outcome's document: its kind and its fields."""
    return _encode_kind(outcome, OUTCOMES)


def decode_outcome(document: object) -> outcomes.Outcome:
    """Return the outcome of a document."""
    return _decode_kind(document, OUTCOMES)


def _strip_body(record: machine.Record, oldest: float) -> machine.Record:
    answer = record.answer
    if answer is None or answer.body is None or answer.at > oldest:
        return record
    stripped = dataclasses.replace(answer, body=None)
    return dataclasses.replace(record, answer=stripped)


def _encode_kind(value: object, kinds: dict[str, type]) -> dict:
    kind = next(name for name, known in kinds.items() if type(value) is known)
    return {KIND: kind, **msgspec.to_builtins(value, builtin_types=(bytes,))}


def _decode_kind(document: object, kinds: dict[str, type]) -> object:
    fields = dict(document) if isinstance(document, dict) else {}
    kind = fields.pop(KIND, None)
    if not isinstance(kind, str) or kind not in kinds:
        raise exceptions.InvalidDocument(f"$.{KIND}", f"unknown kind {kind!r}")
    return strict.convert(fields, kinds[kind])


def _restore_queue(items: list[machine.Due]) -> machine.Queue:
    numbered = persistent.Map.of(dict(enumerate(items)))
    return machine.Queue(numbered, 0, len(items))
