"""Rows: how a router tells another about upstreams, without a shared clock.

A ``Row`` is the whole account. A ``Renewal`` renews a row that the other router already
knows, at a fraction of its size; one that does not know it asks for the whole row.
Times are spans counted from the moment of sending: what a lease has left, how old a
report is.
"""

import dataclasses
import hashlib
import typing

from trestlestall.membership import facts, limits, upstreams

KEY_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Row:
    """The whole account of an upstream; ``remaining`` and ``age`` are in seconds."""

    upstream: upstreams.Upstream
    described: limits.Incarnation
    sequence: limits.Incarnation
    lease: limits.Lease
    remaining: limits.Lease
    age: limits.Age
    left: bool = False


@dataclasses.dataclass(frozen=True)
class Renewal:
    """The newest lease and report of a described upstream, named by its key."""

    key: bytes
    sequence: int
    remaining: float
    age: float
    report: upstreams.Report


Told: typing.TypeAlias = Row | Renewal


def derive_key(name: str, incarnation: int) -> bytes:
    """Return the short name of one incarnation: two of 600 agree by 1 in 10^9."""
    text = f"{name}\n{incarnation}".encode()
    return hashlib.blake2s(text, digest_size=KEY_BYTES).digest()


def make_row(fact: facts.Fact, now: float) -> Row:
    """Return the whole account as seen at ``now``."""
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
    """Return the short account as seen at ``now``."""
    upstream = fact.upstream
    return Renewal(
        key=derive_key(upstream.name, upstream.incarnation),
        sequence=fact.sequence,
        remaining=fact.until - now,
        age=find_age(upstream.report, now),
        report=strip_receipt(upstream.report),
    )


def read_row(row: Row, now: float) -> facts.Fact:
    """Return the row's account in the clock of the router that received it."""
    report = upstreams.with_receipt(row.upstream.report, now - row.age)
    return facts.Fact(
        upstream=upstreams.with_report(row.upstream, report),
        described=row.described,
        sequence=row.sequence,
        lease=row.lease,
        until=now + row.remaining,
        left=row.left,
    )


def read_renewal(renewal: Renewal, known: facts.Fact, now: float) -> facts.Fact:
    """Return the known account joined with the renewal."""
    report = upstreams.with_receipt(renewal.report, now - renewal.age)
    return facts.renew(known, renewal.sequence, now + renewal.remaining, report)


def is_stale(renewal: Renewal, known: facts.Fact, now: float) -> bool:
    """Return whether the renewal adds nothing to the known account.

    This is the common case where routers relay, and much cheaper than joining.
    """
    if renewal.sequence > known.sequence:
        return False
    if renewal.sequence == known.sequence and now + renewal.remaining < known.until:
        return False
    report = upstreams.with_receipt(renewal.report, now - renewal.age)
    return facts.rank_report(report) <= facts.rank_report(known.upstream.report)


def find_age(report: upstreams.Report, now: float) -> float:
    """Return the seconds since the report's receipt, within the bound of a row."""
    return min(max(0.0, now - report.received_at), limits.LARGEST_AGE)


def strip_receipt(report: upstreams.Report) -> upstreams.Report:
    """Return the report without the time of receipt, which means nothing elsewhere."""
    return upstreams.with_receipt(report, 0.0)
