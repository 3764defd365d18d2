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
    reported = max(first, second, key=rank_report)
    leased = max(first, second, key=rank_lease)
    report = reported.upstream.report
    return dataclasses.replace(
        leased,
        upstream=dataclasses.replace(described.upstream, report=report),
        described=described.described,
    )


def rank_description(fact: Fact) -> tuple[int, upstreams.Upstream]:
    """Return the order of descriptions: by announcement, then by content."""
    bare = dataclasses.replace(fact.upstream, report=upstreams.Report())
    return fact.described, bare


def rank_report(fact: Fact) -> tuple[upstreams.Report, float]:
    """Return the order of reports: the upstream's time, content, earliest receipt."""
    report = fact.upstream.report
    return dataclasses.replace(report, received_at=0.0), -report.received_at


def rank_lease(fact: Fact) -> tuple[bool, int, float, float]:
    """Return the order of leases: left last, then the newest renewal, earliest end."""
    return fact.left, fact.sequence, -fact.until, fact.lease
