"""Claims on idempotency keys, as a replicated state machine.

A request that may run at most once is sent by a router only after the agreed log gave
its attempt the key. ``Claims`` is immutable; ``apply`` is deterministic, so that voters
that apply the same events with the same times hold equal claims.

Time is the event's ``at``, stamped by the leader, in seconds; the machine takes the
greatest it has seen, so that time never runs backwards when the leader changes. What is
older than its retention is treated as absent at once, and removed a few at a time.

Example:

    >>> claim = events.Claim("basu", "k1", "f1", "a1", "router-1")
    >>> after, outcome = apply(EMPTY, claim, at=5.0)
    >>> outcome
    Granted(attempt='a1')
"""

import dataclasses
import typing

from trestlestall.claims import events, outcomes
from trestlestall.configuration import persistent

KEY_RETENTION = 24 * 3600.0
ANSWER_RETENTION = 600.0
ANSWER_LIMIT = 64 * 1024
EXPIRY_BATCH = 8

Key: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a finished attempt; ``body`` is ``None`` when not kept."""

    at: float
    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An attempt: when it came, what key it holds, and what became of it.

    ``key`` is ``None`` for an attempt that was released; it is kept as a mark that the
    attempt is never granted again.
    """

    attempt: str
    at: float
    key: Key | None
    fingerprint: str = ""
    router: str = ""
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Due:
    """An attempt and the time from which its retention counts."""

    attempt: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A first-in first-out queue of what will be due, cheap to copy."""

    items: persistent.Map = persistent.EMPTY
    first: int = 0
    next: int = 0

    def push(self, due: Due) -> "Queue":
        """Return the queue with one more item at its end."""
        return Queue(self.items.set(self.next, due), self.first, self.next + 1)

    def pop(self) -> "Queue":
        """Return the queue without its first item."""
        return Queue(self.items.remove(self.first), self.first + 1, self.next)

    def find_due(self, before: float) -> Due | None:
        """Return the first item if it is no younger than the time given."""
        due = self.items.get(self.first)
        return due if due is not None and due.at <= before else None

    def list_items(self) -> list[Due]:
        """Return the items, first to last."""
        return [self.items[number] for number in range(self.first, self.next)]


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """All attempts on record by name, and the attempt that holds each key.

    ``ages`` queues every record for its expiry, ``bodies`` every kept answer.
    """

    now: float = 0.0
    attempts: persistent.Map = persistent.EMPTY
    holders: persistent.Map = persistent.EMPTY
    ages: Queue = Queue()
    bodies: Queue = Queue()


EMPTY = Claims()


def apply(
    claims: Claims, event: events.Event, at: float
) -> tuple[Claims, outcomes.Outcome]:
    """Return the claims after the event, and what became of it."""
    claims = dataclasses.replace(claims, now=max(claims.now, at))
    claims = _expire(claims)
    return APPLIERS[type(event)](claims, event)


def _claim(claims: Claims, event: events.Claim) -> tuple[Claims, outcomes.Outcome]:
    key = (event.workspace, event.key)
    mine = _find_attempt(claims, event.attempt)
    if mine is not None:
        return claims, _answer_again(claims, mine, key, event.fingerprint)
    holder = _find_attempt(claims, claims.holders.get(key))
    if holder is not None:
        return claims, _answer_other(claims, holder, event.fingerprint)
    made = Record(event.attempt, claims.now, key, event.fingerprint, event.router)
    claims = dataclasses.replace(
        _add(claims, made), holders=claims.holders.set(key, event.attempt)
    )
    return claims, outcomes.Granted(event.attempt)


def _finish(claims: Claims, event: events.Finish) -> tuple[Claims, outcomes.Outcome]:
    record = _find_attempt(claims, event.attempt)
    if record is None or record.key is None:
        return claims, outcomes.Unknown()
    if record.answer is not None:
        return claims, outcomes.Recorded()
    body = event.body if len(event.body) <= ANSWER_LIMIT else None
    answer = Answer(claims.now, event.status, event.content_type, body)
    claims = _put(claims, dataclasses.replace(record, answer=answer))
    if body is not None:
        bodies = claims.bodies.push(Due(event.attempt, claims.now))
        claims = dataclasses.replace(claims, bodies=bodies)
    return claims, outcomes.Recorded()


def _release(claims: Claims, event: events.Release) -> tuple[Claims, outcomes.Outcome]:
    record = _find_attempt(claims, event.attempt)
    if record is None:
        # The claim may still be under way; this mark keeps it from being granted.
        return _add(claims, Record(event.attempt, claims.now, None)), RECORDED
    if record.answer is not None:
        return claims, _show_answer(claims, record.answer)
    if record.key is not None:
        holders = claims.holders.remove(record.key)
        claims = dataclasses.replace(claims, holders=holders)
        claims = _put(claims, Record(record.attempt, record.at, None))
    return claims, RECORDED


RECORDED = outcomes.Recorded()
APPLIERS = {events.Claim: _claim, events.Finish: _finish, events.Release: _release}


def _find_attempt(claims: Claims, attempt: str | None) -> Record | None:
    record = claims.attempts.get(attempt)
    if record is None or record.at <= claims.now - KEY_RETENTION:
        return None
    return record


def _answer_again(
    claims: Claims, mine: Record, key: Key, fingerprint: str
) -> outcomes.Outcome:
    if mine.key is None:
        return outcomes.Unknown()
    if mine.key != key:
        return outcomes.Mismatch()
    if mine.answer is None and mine.fingerprint == fingerprint:
        return outcomes.Granted(mine.attempt)
    return _answer_other(claims, mine, fingerprint)


def _answer_other(claims: Claims, holder: Record, fingerprint: str) -> outcomes.Outcome:
    if holder.fingerprint != fingerprint:
        return outcomes.Mismatch()
    if holder.answer is None:
        return outcomes.Held(holder.router)
    return _show_answer(claims, holder.answer)


def _show_answer(claims: Claims, answer: Answer) -> outcomes.Finished:
    kept = answer.at > claims.now - ANSWER_RETENTION
    body = answer.body if kept else None
    return outcomes.Finished(answer.status, answer.content_type, body)


def _add(claims: Claims, record: Record) -> Claims:
    claims = _put(claims, record)
    due = Due(record.attempt, record.at)
    return dataclasses.replace(claims, ages=claims.ages.push(due))


def _put(claims: Claims, record: Record) -> Claims:
    attempts = claims.attempts.set(record.attempt, record)
    return dataclasses.replace(claims, attempts=attempts)


def _expire(claims: Claims) -> Claims:
    for _ in range(EXPIRY_BATCH):
        shorter = _drop_body(_drop_record(claims))
        if shorter is claims:
            break
        claims = shorter
    return claims


def _drop_record(claims: Claims) -> Claims:
    due = claims.ages.find_due(claims.now - KEY_RETENTION)
    if due is None:
        return claims
    attempts, holders = claims.attempts, claims.holders
    record = attempts.get(due.attempt)
    # An expired attempt that came again has a younger record with its own due time.
    if record is not None and record.at == due.at:
        attempts = attempts.remove(due.attempt)
        if holders.get(record.key) == due.attempt:
            holders = holders.remove(record.key)
    ages = claims.ages.pop()
    return dataclasses.replace(claims, attempts=attempts, holders=holders, ages=ages)


def _drop_body(claims: Claims) -> Claims:
    due = claims.bodies.find_due(claims.now - ANSWER_RETENTION)
    if due is None:
        return claims
    claims = dataclasses.replace(claims, bodies=claims.bodies.pop())
    record = claims.attempts.get(due.attempt)
    if record is None or record.answer is None or record.answer.at != due.at:
        return claims
    answer = dataclasses.replace(record.answer, body=None)
    return _put(claims, dataclasses.replace(record, answer=answer))
