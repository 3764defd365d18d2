"""The replicated state of an upstream, and how two versions of it are joined.

``join`` is a least upper bound: commutative, associative and idempotent. Routers may
therefore exchange rows in any order, late, repeatedly and over any path, and converge
on the same facts. The parts are joined separately, each to the larger by a total order:

- A larger incarnation replaces everything of a smaller one.
- Descriptions are ordered by the sequence number of their announcement.
- Reports are ordered by the upstream's own timestamp.
- Leases are ordered by the sequence number of their renewal. With equal numbers the
  *earlier* end wins, so that a row relayed between routers can't lengthen a lease.
- Leaving ends an incarnation: no later renewal of it undoes that.
"""

import dataclasses

from trestlestall.membership import upstreams


@dataclasses.dataclass(frozen=True)
class Fact:
    """The state of one upstream, with times by one router's clock.

    ``described`` and ``sequence`` are the sequence numbers of the announcement and of
    the latest renewal; ``lease`` is the length of the lease in seconds. ``until`` is
    when the lease ends or, once the upstream has ``left``, when the tombstone does. A
    router that learns of a departure before the announcement stores ``described`` 0.
    """

    upstream: upstreams.Upstream
    described: int
    sequence: int
    lease: float
    until: float
    left: bool = False


def join(first: Fact, second: Fact) -> Fact:
    """Return the joined fact; the order of the arguments does not matter."""
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
    """Return the fact joined with a renewal, which carries no description.

    Equal to ``join`` with the known fact under that lease and report, in a fraction of
    the time: renewals are most of what routers send each other.
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
    """Return the sort key of the description: announcement, then content."""
    bare = upstreams.with_report(fact.upstream, upstreams.Report())
    return fact.described, bare


def rank_report(report: upstreams.Report) -> tuple[float, ...]:
    """Return the sort key of the report: upstream's time, content, earliest receipt."""
    return (
        report.at,
        report.running,
        report.waiting,
        report.tokens_per_second,
        report.kv_used,
        -report.received_at,
    )


def rank_lease(fact: Fact) -> tuple[bool, int, float, float]:
    """Return the sort key of the lease: left last, latest renewal, earliest end."""
    return fact.left, fact.sequence, -fact.until, fact.lease


def find_sequence(known: Fact | None, report: upstreams.Report) -> int:
    """Return the sequence number of a new renewal, by a hybrid logical clock.

    It follows the upstream's own clock in seconds, so that renewals sent through
    several routers keep their order. It grows by one where that clock does not advance.
    """
    at_least = 1 if known is None else known.sequence + 1
    return max(at_least, int(report.at))


def needs_whole_row(known: Fact, joined: Fact) -> bool:
    """Return whether peers need the whole row rather than a renewal."""
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
