"""What routers must agree on about an upstream, and how two accounts of it are joined.

``join`` is a least upper bound: commutative, associative and idempotent. Routers may
therefore exchange rows in any order, late, twice and by any path, and end with the same
facts. The parts are joined one by one, each by the larger of a total order:

- The larger incarnation wins whole.
- The description belongs to the sequence number of its announcement.
- The report belongs to the upstream's own time stamp.
- The lease belongs to the sequence number of its renewal. Under one number the
  *earlier* end wins: an account that wanders between routers can't lengthen a lease.
- Leaving ends an incarnation: no later renewal of it undoes that.
"""

import dataclasses

from trestlestall.membership import upstreams


@dataclasses.dataclass(frozen=True)
class Fact:
    """One account of an upstream, in one router's clock.

    ``described`` and ``sequence`` number the announcement and the newest renewal.
    ``until`` is when the lease ends or, once it has ``left``, when that is forgotten.
    A router that hears of a leaving before the announcement keeps ``described`` 0.
    """

    upstream: upstreams.Upstream
    described: int
    sequence: int
    lease: float
    until: float
    left: bool = False


def join(first: Fact, second: Fact) -> Fact:
    """Return the joined account; the order of the arguments does not matter."""
    if first.upstream.incarnation != second.upstream.incarnation:
        return max(first, second, key=lambda fact: fact.upstream.incarnation)
    described = max(first, second, key=rank_description)
    leased = max(first, second, key=rank_lease)
    report = max(first.upstream.report, second.upstream.report, key=rank_report)
    return Fact(
        upstream=upstreams.with_report(described.upstream, report),
        described=described.described,
        sequence=leased.sequence,
        lease=leased.lease,
        until=leased.until,
        left=leased.left,
    )


def renew(known: Fact, sequence: int, until: float, report: upstreams.Report) -> Fact:
    """Return the account joined with a renewal, which has no description of its own.

    The same as ``join`` with the known account under that lease and report, in a
    fraction of the time: this is what routers mostly hear from each other.
    """
    upstream = known.upstream
    if rank_report(report) > rank_report(upstream.report):
        upstream = upstreams.with_report(upstream, report)
    renewed = not known.left and (sequence, -until) > (known.sequence, -known.until)
    return Fact(
        upstream=upstream,
        described=known.described,
        sequence=sequence if renewed else known.sequence,
        lease=known.lease,
        until=until if renewed else known.until,
        left=known.left,
    )


def rank_description(fact: Fact) -> tuple[int, upstreams.Upstream]:
    """Return the order of descriptions: by announcement, then by content."""
    bare = upstreams.with_report(fact.upstream, upstreams.Report())
    return fact.described, bare


def rank_report(report: upstreams.Report) -> tuple[float, ...]:
    """Return the order of reports: the upstream's time, content, earliest receipt."""
    return (
        report.at,
        report.running,
        report.waiting,
        report.tokens_per_second,
        report.kv_used,
        -report.received_at,
    )


def rank_lease(fact: Fact) -> tuple[bool, int, float, float]:
    """Return the order of leases: left last, then the newest renewal, earliest end."""
    return fact.left, fact.sequence, -fact.until, fact.lease


def find_sequence(known: Fact | None, report: upstreams.Report) -> int:
    """Return the number of a new renewal: a hybrid logical clock.

    It follows the upstream's own clock, so that renewals through several routers keep
    their order, and goes up by one where that clock stands still.
    """
    at_least = 1 if known is None else known.sequence + 1
    return max(at_least, int(report.at))


def is_whole_change(known: Fact, joined: Fact) -> bool:
    """Return whether peers need the whole row, not just a renewal."""
    if known.left != joined.left or known.described != joined.described:
        return True
    return known.upstream.incarnation != joined.upstream.incarnation


def is_renewed(known: Fact, joined: Fact) -> bool:
    """Return whether the joined fact holds a newer lease than the known one."""
    if known.upstream.incarnation != joined.upstream.incarnation:
        return True
    return (known.left, known.sequence) != (joined.left, joined.sequence)


def is_reported(known: Fact, joined: Fact) -> bool:
    """Return whether the joined fact holds a newer report than the known one."""
    return known.upstream.report.at != joined.upstream.report.at
