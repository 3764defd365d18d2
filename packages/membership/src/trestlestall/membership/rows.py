"""Rows: how a router tells another about upstreams, without a shared clock.

A ``Row`` is the whole account. A ``Renewal`` renews a row that the other router already
knows, at a fraction of its size; one that does not know it asks for the whole row.
Times are spans counted from the moment of sending: what a lease has left, how old a
report is.
"""

import dataclasses
import hashlib

from trestlestall.membership import facts, limits, upstreams

KEY_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Row:
    """The whole account of an upstream; ``remaining`` and ``age`` are in seconds."""

    upstream: upstreams.Upstream
    described: limits.Incarnation
    sequence: limits.Incarnation
    lease: limits.Span
    remaining: limits.Span
    age: limits.Span
    left: bool = False


@dataclasses.dataclass(frozen=True)
class Renewal:
    """The newest lease and report of a described upstream, named by its key."""

    key: bytes
    sequence: int
    remaining: float
    age: float
    report: upstreams.Report


def derive_key(name: str, incarnation: int) -> bytes:
    """Return the short name of one incarnation: two of 600 agree by 1 in 10^9."""
    text = f"{name}\n{incarnation}".encode()
    return hashlib.blake2s(text, digest_size=KEY_BYTES).digest()


def make_row(fact: facts.Fact, now: float) -> Row:
    """Return the whole account as seen at ``now``."""
    report = fact.upstream.report
    return Row(
        upstream=dataclasses.replace(fact.upstream, report=strip_receipt(report)),
        described=fact.described,
        sequence=fact.sequence,
        lease=fact.lease,
        remaining=fact.until - now,
        age=now - report.received_at,
        left=fact.left,
    )


def make_renewal(fact: facts.Fact, now: float) -> Renewal:
    """Return the short account as seen at ``now``."""
    upstream = fact.upstream
    return Renewal(
        key=derive_key(upstream.name, upstream.incarnation),
        sequence=fact.sequence,
        remaining=fact.until - now,
        age=now - upstream.report.received_at,
        report=strip_receipt(upstream.report),
    )


def read_row(row: Row, now: float) -> facts.Fact:
    """Return the row's account in the clock of the router that received it."""
    report = dataclasses.replace(row.upstream.report, received_at=now - row.age)
    return facts.Fact(
        upstream=dataclasses.replace(row.upstream, report=report),
        described=row.described,
        sequence=row.sequence,
        lease=row.lease,
        until=now + row.remaining,
        left=row.left,
    )


def read_renewal(renewal: Renewal, known: facts.Fact, now: float) -> facts.Fact:
    """Return the known account with the renewal's lease and report."""
    report = dataclasses.replace(renewal.report, received_at=now - renewal.age)
    return dataclasses.replace(
        known,
        upstream=dataclasses.replace(known.upstream, report=report),
        sequence=renewal.sequence,
        until=now + renewal.remaining,
        left=False,
    )


def strip_receipt(report: upstreams.Report) -> upstreams.Report:
    """Return the report without the time of receipt, which means nothing elsewhere."""
    return dataclasses.replace(report, received_at=0.0)
