"""Rows: the form in which routers send each other facts, without a shared clock.

A ``Row`` holds the whole fact. A ``Renewal`` updates a row that the receiver already
has, at a fraction of its size; a receiver that lacks the row requests it. Times are
durations relative to the moment of sending: the remaining lease, the report's age.
"""

import dataclasses
import hashlib
import typing

from trestlestall.membership import facts, limits, upstreams

KEY_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Row:
    """The whole fact about an upstream; ``remaining`` and ``age`` are in seconds."""

    upstream: upstreams.Upstream
    described: limits.Incarnation
    sequence: limits.Incarnation
    lease: limits.Lease
    remaining: limits.Lease
    age: limits.Age
    left: bool = False


@dataclasses.dataclass(frozen=True)
class Renewal:
    """The latest lease and report of a described upstream, identified by its key."""

    key: bytes
    sequence: int
    remaining: float
    age: float
    report: upstreams.Report


RowUpdate: typing.TypeAlias = Row | Renewal


def derive_key(name: str, incarnation: int) -> bytes:
    """Return the short key of one incarnation.

    The chance that any two of 600 incarnations have the same key is 1 in 10^9.
    """
    text = f"{name}\n{incarnation}".encode()
    return hashlib.blake2s(text, digest_size=KEY_BYTES).digest()


def make_row(fact: facts.Fact, now: float) -> Row:
    """Return the fact as a whole row sent at ``now``."""
    report = fact.upstream.report
    return Row(
        upstream=upstreams.with_report(fact.upstream, strip_receipt(report)),
        described=fact.described,
        sequence=fact.sequence,
        lease=fact.lease,
        remaining=fact.until - now,
        age=find_age(report, now),
        left=fact.left,
    )


def make_renewal(fact: facts.Fact, now: float) -> Renewal:
    """Return the fact's lease and report as a renewal sent at ``now``."""
    upstream = fact.upstream
    return Renewal(
        key=derive_key(upstream.name, upstream.incarnation),
        sequence=fact.sequence,
        remaining=fact.until - now,
        age=find_age(upstream.report, now),
        report=strip_receipt(upstream.report),
    )


def make_fact(row: Row, now: float) -> facts.Fact:
    """Return the fact in the row, with times by the receiving router's clock."""
    report = upstreams.with_receipt(row.upstream.report, now - row.age)
    return facts.Fact(
        upstream=upstreams.with_report(row.upstream, report),
        described=row.described,
        sequence=row.sequence,
        lease=row.lease,
        until=now + row.remaining,
        left=row.left,
    )


def apply_renewal(renewal: Renewal, known: facts.Fact, now: float) -> facts.Fact:
    """Return the known fact joined with the renewal."""
    report = upstreams.with_receipt(renewal.report, now - renewal.age)
    return facts.renew(known, renewal.sequence, now + renewal.remaining, report)


def is_stale(renewal: Renewal, known: facts.Fact, now: float) -> bool:
    """Return whether the renewal adds nothing to the known fact.

    Most relayed renewals are stale, and this check is much cheaper than a join.
    """
    if renewal.sequence > known.sequence:
        return False
    if renewal.sequence == known.sequence and now + renewal.remaining < known.until:
        return False
    report = upstreams.with_receipt(renewal.report, now - renewal.age)
    return facts.rank_report(report) <= facts.rank_report(known.upstream.report)


def find_age(report: upstreams.Report, now: float) -> float:
    """Return the seconds since the report's receipt, capped at the bound of a row."""
    return min(max(0.0, now - report.received_at), limits.MAX_AGE_SECONDS)


def strip_receipt(report: upstreams.Report) -> upstreams.Report:
    """Return the report without the time of receipt, meaningless to other routers."""
    return upstreams.with_receipt(report, 0.0)
