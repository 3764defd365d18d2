"""Claims on idempotency keys, as a replicated state machine.

A router sends a request that may run at most once only after the replicated log granted
the key to its attempt. ``Claims`` is immutable and ``apply`` is deterministic, so that
voters that apply the same events with the same times have equal claims.

Time is the event's ``at`` in seconds, stamped by the leader. The state machine uses the
greatest time so far, so that time never runs backwards when the leader changes. Records
and answers older than their retention are treated as absent at once, and removed a few
at a time.

Memory is bounded: beyond ``RECORD_LIMIT`` records no key is granted, and beyond
``BODY_LIMIT_BYTES`` the oldest answers are evicted.

Example:

    >>> claim = events.Claim("basu", "k1", "f1", "a1", "router-1")
    >>> after, outcome = apply(EMPTY, claim, at=5.0)
    >>> outcome
    Granted(attempt='a1')
"""

import dataclasses
import sys
import typing

from trestlestall.claims import events, outcomes
from trestlestall.configuration import persistent

# These are part of the state machine: all voters that apply one log must have the same
# values. Retentions are in seconds, lengths of bodies in bytes.
KEY_RETENTION_SECONDS = 24 * 3600.0
ANSWER_RETENTION_SECONDS = 600.0
ANSWER_LIMIT_BYTES = 64 * 1024
BODY_LIMIT_BYTES = 32 * 1024 * 1024
RECORD_LIMIT = 200_000
EXPIRY_BATCH = 8

Key: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a finished attempt; ``body`` is ``None`` if not retained."""

    at: float
    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An attempt: when it was recorded, which key it holds, and its answer if finished.

    ``key`` is ``None`` for an attempt that was released; such a tombstone keeps the
    attempt from being granted again.
    """

    attempt: str
    at: float
    key: Key | None
    fingerprint: str = ""
    router: str = ""
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A persistent first-in first-out queue of attempt names, cheap to copy."""

    items: persistent.Map = persistent.EMPTY
    first: int = 0
    next: int = 0

    def push(self, attempt: str) -> "Queue":
        """Return the queue with the attempt appended."""
        return Queue(self.items.set(self.next, attempt), self.first, self.next + 1)

    def pop(self) -> "Queue":
        """Return the queue without its first attempt."""
        return Queue(self.items.remove(self.first), self.first + 1, self.next)

    def peek(self) -> str | None:
        """Return the first attempt, or ``None`` when the queue is empty."""
        return self.items.get(self.first)

    def list_attempts(self) -> list[str]:
        """Return the attempts in order, first to last."""
        items = self.items.to_dict()
        return [items[number] for number in range(self.first, self.next)]


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """The recorded attempts by name, and the attempt that holds each key.

    ``ages`` queues every record for its expiry, ``bodies`` every retained answer;
    ``body_bytes`` is the total length of the retained answers.
    """

    now: float = 0.0
    attempts: persistent.Map = persistent.EMPTY
    holders: persistent.Map = persistent.EMPTY
    ages: Queue = Queue()
    bodies: Queue = Queue()
    body_bytes: int = 0


EMPTY = Claims()


def apply(
    claims: Claims, event: events.Event, at: float
) -> tuple[Claims, outcomes.Outcome]:
    """Return the claims after the event, and the event's outcome."""
    if at > claims.now:
        claims = dataclasses.replace(claims, now=at)
    claims = _expire(claims)
    return APPLIERS[type(event)](claims, event)


def find(
    claims: Claims, workspace: str, key: str, fingerprint: str, at: float
) -> outcomes.Outcome:
    """Return the outcome that a claim of the key would have, without changing anything.

    The outcome is ``Absent`` where a claim would be granted, else ``Held``,
    ``Finished`` or ``Mismatch``.
    """
    if at > claims.now:
        claims = dataclasses.replace(claims, now=at)
    holder = _find_holder(claims, (workspace, key))
    if holder is None:
        return ABSENT
    return _answer_for_holder(claims, holder, fingerprint)


def _claim(claims: Claims, event: events.Claim) -> tuple[Claims, outcomes.Outcome]:
    key = (event.workspace, event.key)
    own = claims.attempts.get(event.attempt)
    if own is not None:
        return claims, _answer_resent(claims, own, key, event.fingerprint)
    holder = _find_holder(claims, key)
    if holder is not None:
        return claims, _answer_for_holder(claims, holder, event.fingerprint)
    if len(claims.attempts) >= RECORD_LIMIT:
        return claims, UNKNOWN
    # Few workspaces and routers have many claims each, so names are stored once.
    key = (sys.intern(event.workspace), event.key)
    router = sys.intern(event.router)
    made = Record(event.attempt, claims.now, key, event.fingerprint, router)
    holders = claims.holders.set(key, event.attempt)
    return _add(claims, made, holders), outcomes.Granted(event.attempt)


def _finish(claims: Claims, event: events.Finish) -> tuple[Claims, outcomes.Outcome]:
    record = claims.attempts.get(event.attempt)
    if record is None or record.key is None or _is_expired(claims, record):
        return claims, UNKNOWN
    if record.answer is not None:
        return claims, RECORDED
    body = event.body if len(event.body) <= ANSWER_LIMIT_BYTES else None
    answer = Answer(claims.now, event.status, event.content_type, body)
    claims = _replace_record(claims, dataclasses.replace(record, answer=answer))
    if body is not None:
        claims = dataclasses.replace(
            claims,
            bodies=claims.bodies.push(event.attempt),
            body_bytes=claims.body_bytes + len(body),
        )
    return claims, RECORDED


def _release(claims: Claims, event: events.Release) -> tuple[Claims, outcomes.Outcome]:
    record = claims.attempts.get(event.attempt)
    if record is None:
        if len(claims.attempts) >= RECORD_LIMIT:
            return claims, UNKNOWN
        # The claim may still be in transit; this tombstone keeps it from being granted.
        tombstone = Record(event.attempt, claims.now, None)
        return _add(claims, tombstone, claims.holders), RECORDED
    if _is_expired(claims, record):
        return claims, UNKNOWN
    if record.answer is not None:
        return claims, _make_finished(claims, record.answer)
    if record.key is not None:
        tombstone = Record(record.attempt, record.at, None)
        claims = dataclasses.replace(
            claims,
            attempts=claims.attempts.set(record.attempt, tombstone),
            holders=claims.holders.remove(record.key),
        )
    return claims, RECORDED


RECORDED = outcomes.Recorded()
UNKNOWN = outcomes.Unknown()
ABSENT = outcomes.Absent()
APPLIERS = {events.Claim: _claim, events.Finish: _finish, events.Release: _release}


def _find_holder(claims: Claims, key: Key) -> Record | None:
    record = claims.attempts.get(claims.holders.get(key))
    if record is None or _is_expired(claims, record):
        return None
    return record


def _answer_resent(
    claims: Claims, own: Record, key: Key, fingerprint: str
) -> outcomes.Outcome:
    if own.key is None or _is_expired(claims, own):
        return UNKNOWN
    if own.key != key:
        return outcomes.Mismatch()
    if own.answer is None and own.fingerprint == fingerprint:
        return outcomes.Granted(own.attempt)
    return _answer_for_holder(claims, own, fingerprint)


def _answer_for_holder(
    claims: Claims, holder: Record, fingerprint: str
) -> outcomes.Outcome:
    if holder.fingerprint != fingerprint:
        return outcomes.Mismatch()
    if holder.answer is None:
        return outcomes.Held(holder.router)
    return _make_finished(claims, holder.answer)


def _make_finished(claims: Claims, answer: Answer) -> outcomes.Finished:
    body = answer.body if _is_fresh(claims, answer) else None
    return outcomes.Finished(answer.status, answer.content_type, body)


def _add(claims: Claims, record: Record, holders: persistent.Map) -> Claims:
    return dataclasses.replace(
        claims,
        attempts=claims.attempts.set(record.attempt, record),
        holders=holders,
        ages=claims.ages.push(record.attempt),
    )


def _replace_record(claims: Claims, record: Record) -> Claims:
    attempts = claims.attempts.set(record.attempt, record)
    return dataclasses.replace(claims, attempts=attempts)


def _expire(claims: Claims) -> Claims:
    for _ in range(EXPIRY_BATCH):
        reduced = _remove_oldest_body(_remove_expired_record(claims))
        if reduced is claims:
            break
        claims = reduced
    return claims


def _remove_expired_record(claims: Claims) -> Claims:
    attempt = claims.ages.peek()
    if attempt is None or not _is_expired(claims, claims.attempts[attempt]):
        return claims
    record = claims.attempts[attempt]
    holders = claims.holders
    if holders.get(record.key) == attempt:
        holders = holders.remove(record.key)
    return dataclasses.replace(
        claims,
        attempts=claims.attempts.remove(attempt),
        holders=holders,
        ages=claims.ages.pop(),
        body_bytes=claims.body_bytes - measure_body(record),
    )


def _remove_oldest_body(claims: Claims) -> Claims:
    attempt = claims.bodies.peek()
    if attempt is None:
        return claims
    record = claims.attempts.get(attempt)
    if record is None or record.answer is None:
        # An attempt that finished late expired before its answer.
        return dataclasses.replace(claims, bodies=claims.bodies.pop())
    if claims.body_bytes <= BODY_LIMIT_BYTES and _is_fresh(claims, record.answer):
        return claims
    answer = dataclasses.replace(record.answer, body=None)
    return dataclasses.replace(
        _replace_record(claims, dataclasses.replace(record, answer=answer)),
        bodies=claims.bodies.pop(),
        body_bytes=claims.body_bytes - measure_body(record),
    )


def _is_expired(claims: Claims, record: Record) -> bool:
    return record.at <= claims.now - KEY_RETENTION_SECONDS


def _is_fresh(claims: Claims, answer: Answer) -> bool:
    return answer.at > claims.now - ANSWER_RETENTION_SECONDS


def measure_body(record: Record) -> int:
    """Return the length in bytes of the answer retained in the record."""
    return len(record.answer.body or b"") if record.answer else 0
