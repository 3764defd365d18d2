"""How an entry of the table moves on when its fact does: pure functions."""

import math

from trestlestall.membership import entries, facts, holds, outcomes


def start(fact: facts.Fact, mark: int, now: float, teller: str | None) -> entries.Entry:
    """Return the entry of an upstream that was not known."""
    return entries.Entry(
        fact=fact,
        changed_at=mark,
        renewed_at=mark,
        passed_at=now,
        known_by=name_tellers(teller),
    )


def advance(
    known: entries.Entry,
    joined: facts.Fact,
    mark: int,
    now: float,
    teller: str | None,
    grace: float,
    interval: float,
) -> entries.Entry:
    """Return the entry with the joined fact, which differs from the known one.

    A renewal from the upstream itself is held back from peers if one was passed on
    less than ``interval`` seconds ago; what peers tell is passed on.
    """
    renewed = facts.is_renewed(known.fact, joined)
    whole = facts.is_whole_change(known.fact, joined)
    newer = whole or renewed or facts.is_reported(known.fact, joined)
    held_back = teller is None and now < known.passed_at + interval
    passed = whole or (newer and not held_back)
    tellers = name_tellers(teller)
    return entries.Entry(
        fact=joined,
        changed_at=mark if whole else known.changed_at,
        renewed_at=mark if passed else known.renewed_at,
        passed_at=now if passed else known.passed_at,
        suspect=known.suspect and not renewed,
        rests_until=known.rests_until if is_same(known, joined) else -math.inf,
        told_expired=known.told_expired and not renewed,
        hold=count_return(known, joined, now, grace) if renewed else known.hold,
        known_by=tellers if newer else known.known_by | tellers,
    )


def is_same(known: entries.Entry, joined: facts.Fact) -> bool:
    """Return whether the fact is of the incarnation that is known."""
    return known.is_same(joined.upstream.incarnation)


def name_tellers(teller: str | None) -> frozenset[str]:
    """Return the set of the one peer that told, empty if it was the upstream."""
    return frozenset({teller} if teller else ())


def count_return(
    known: entries.Entry, joined: facts.Fact, now: float, grace: float
) -> holds.Hold:
    """Return the hold, longer if the renewed upstream comes back from a failure."""
    if joined.left:
        return known.hold
    restarted = known.upstream.incarnation != joined.upstream.incarnation
    state = known.find_state(now, grace)
    failed = state in (outcomes.State.SUSPECT, outcomes.State.EXPIRED)
    crashed = restarted and state is outcomes.State.LIVE
    return holds.note_return(known.hold, now) if failed or crashed else known.hold


def find_reason(
    known: entries.Entry | None, entry: entries.Entry, now: float, grace: float
) -> outcomes.Reason | None:
    """Return why the entry changed, or ``None`` for a mere renewal."""
    if entry.fact.left:
        was_left = known is not None and known.fact.left
        return None if was_left else outcomes.Reason.LEFT
    if known is None or known.fact.described == 0:
        return outcomes.Reason.ANNOUNCED
    if known.upstream.incarnation != entry.upstream.incarnation:
        return outcomes.Reason.RESTARTED
    if known.find_state(now, grace) is not entry.find_state(now, grace):
        return outcomes.Reason.RETURNED
    if known.fact.described != entry.fact.described:
        return outcomes.Reason.CHANGED
    return None
