"""Transitions of a table entry when its fact changes: pure functions."""

import math

from trestlestall.membership import entries, facts, holds, outcomes


def start(
    fact: facts.Fact, mark: int, now: float, reporter: str | None
) -> entries.Entry:
    """Return the entry of an upstream that was not known before."""
    return entries.Entry(
        fact=fact,
        changed_at=mark,
        renewed_at=mark,
        relayed_at=now,
        known_by=make_reporter_set(reporter),
    )


def advance(
    known: entries.Entry,
    joined: facts.Fact,
    mark: int,
    now: float,
    reporter: str | None,
    grace: float,
    interval: float,
) -> entries.Entry:
    """Return the entry with the joined fact, which differs from the known one.

    A renewal from the upstream itself is not relayed to peers if one was relayed less
    than ``interval`` seconds ago. Updates from peers are always relayed.
    """
    renewed = facts.is_renewed(known.fact, joined)
    whole = facts.needs_whole_row(known.fact, joined)
    newer = whole or renewed or facts.is_reported(known.fact, joined)
    suppressed = reporter is None and now < known.relayed_at + interval
    relayed = whole or (newer and not suppressed)
    reporters = make_reporter_set(reporter)
    return entries.Entry(
        fact=joined,
        changed_at=mark if whole else known.changed_at,
        renewed_at=mark if relayed else known.renewed_at,
        relayed_at=now if relayed else known.relayed_at,
        suspect=known.suspect and not renewed,
        rests_until=known.rests_until if is_same(known, joined) else -math.inf,
        expiry_reported=known.expiry_reported and not renewed,
        hold=count_return(known, joined, now, grace) if renewed else known.hold,
        known_by=reporters if newer else known.known_by | reporters,
    )


def is_same(known: entries.Entry, joined: facts.Fact) -> bool:
    """Return whether the fact is about the known incarnation."""
    return known.is_same(joined.upstream.incarnation)


def make_reporter_set(reporter: str | None) -> frozenset[str]:
    """Return the set of the peer that sent the row; empty for the upstream itself."""
    return frozenset({reporter} if reporter else ())


def count_return(
    known: entries.Entry, joined: facts.Fact, now: float, grace: float
) -> holds.Hold:
    """Return the hold, extended if the renewed upstream returns from a failure."""
    if joined.left:
        return known.hold
    restarted = known.upstream.incarnation != joined.upstream.incarnation
    state = known.find_state(now, grace)
    failed = state in (outcomes.State.SUSPECT, outcomes.State.EXPIRED)
    crashed = restarted and state is outcomes.State.LIVE
    return holds.record_return(known.hold, now) if failed or crashed else known.hold


def find_reason(
    known: entries.Entry | None, entry: entries.Entry, now: float, grace: float
) -> outcomes.Reason | None:
    """Return why the entry changed, or ``None`` for a renewal only."""
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
