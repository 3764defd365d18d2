"""A router's table of upstreams: who may get new work, and what peers must hear.

Upstreams announce themselves, renew a lease, and leave. A lease that runs out makes an
upstream ``expired`` and a refused connection makes it ``suspect``: neither gets new
work until it renews or announces. Leaving ends an incarnation for good. Routers pass
rows to each other (``rows_since``, ``merge``); see ``facts`` for why their order is
irrelevant.

Example::

    table = Table("a")
    table.announce(upstream, now=10.0)
    table.renew(upstream.name, upstream.incarnation, report, now=11.0)
    table.list_live(now=12.0)   # (upstream with the newest report,)
    table.list_live(now=14.5)   # (): the lease ended at 14.0
"""

import dataclasses
from collections import abc

from trestlestall.membership import entries, facts, holds, outcomes, rows, upstreams

LEASE = 3.0
TOMBSTONE_SECONDS = 60.0
UPSTREAM_LIMIT = 2000
MISSING_LIMIT = 500

Told = rows.Row | rows.Renewal


@dataclasses.dataclass(frozen=True)
class Batch:
    """Rows that changed after a mark; ``mark`` is the one to ask with next time."""

    mark: int
    rows: tuple[Told, ...]


class Table:
    """The upstreams known to one router of a data centre.

    Rows of other data centres are kept, shown by ``list_entries`` and passed on, but
    ``list_live`` names only those of the router's own. ``grace`` (seconds) is added to
    leases that peers told of; it covers the time that rows take between routers.
    """

    def __init__(self, data_centre: str, grace: float = 0.0) -> None:
        self.data_centre = data_centre
        self.grace = grace
        self.entries: dict[str, entries.Entry] = {}
        self.names: dict[bytes, str] = {}
        self.missing: dict[bytes, None] = {}
        self.mark = 0
        self.latest = 0.0

    # What upstreams say.

    def announce(
        self, upstream: upstreams.Upstream, now: float, lease: float = LEASE
    ) -> list[outcomes.Change]:
        """Take in an announcement; the lease runs ``lease`` seconds from ``now``.

        An incarnation older than the known one, or one that has left, is ignored and
        the answer's only change has ``taken`` false.
        """
        self.latest = max(self.latest, now)
        upstream = receive_report(upstream, upstream.report, now)
        known = self.entries.get(upstream.name)
        refusal = self.refuse_announcement(upstream, known, now)
        if refusal is not None:
            return [refuse(upstream, refusal)]
        same = known is not None and is_same(known, upstream.incarnation)
        sequence = find_sequence(known.fact if same else None, upstream.report)
        fact = facts.Fact(upstream, sequence, sequence, lease, now + lease)
        return self.take(fact, now, teller=None)

    def renew(
        self, name: str, incarnation: int, report: upstreams.Report, now: float
    ) -> outcomes.Renewed | outcomes.UnknownUpstream:
        """Renew the lease for its announced length and take in the report.

        A report older than the known one is ignored; the lease is renewed all the same.
        """
        self.latest = max(self.latest, now)
        known = self.entries.get(name)
        if known is None or not is_renewable(known, incarnation):
            return outcomes.UnknownUpstream(name)
        fact = known.fact
        report = dataclasses.replace(report, at=round_time(report.at))
        newest = dataclasses.replace(
            fact,
            upstream=receive_report(fact.upstream, report, now),
            sequence=find_sequence(fact, report),
            until=now + fact.lease,
        )
        self.take(newest, now, teller=None)
        return outcomes.Renewed(fact.lease)

    def leave(self, name: str, incarnation: int, now: float) -> list[outcomes.Change]:
        """End this incarnation: no new work from now on, whatever arrives late."""
        self.latest = max(self.latest, now)
        known = self.entries.get(name)
        if known is None or known.upstream.incarnation < incarnation:
            if known is None and not self.make_room(now):
                return []
            bare = upstreams.Upstream(name, incarnation, self.data_centre, "")
            fact = facts.Fact(bare, 0, 0, 0.0, now + TOMBSTONE_SECONDS, True)
        elif is_same(known, incarnation) and not known.fact.left:
            until = now + TOMBSTONE_SECONDS
            fact = dataclasses.replace(known.fact, until=until, left=True)
        else:
            return []
        return self.take(fact, now, teller=None)

    # What the router itself notices.

    def fail(self, name: str, incarnation: int, now: float) -> list[outcomes.Change]:
        """Note a refused connection: no new work until a later renewal."""
        self.latest = max(self.latest, now)
        known = self.entries.get(name)
        if known is None or not is_same(known, incarnation):
            return []
        if known.find_state(now, self.grace) is not outcomes.State.LIVE:
            return []
        self.entries[name] = dataclasses.replace(known, suspect=True)
        return [self.describe(name, outcomes.Reason.REFUSED_CONNECTION, now)]

    def expire(self, now: float) -> list[outcomes.Change]:
        """Report leases that ended since the last call, and forget what is long over.

        ``list_live`` does not depend on this being called.
        """
        self.latest = max(self.latest, now)
        changes = []
        for name, entry in list(self.entries.items()):
            if self.is_forgettable(entry, now):
                self.forget(name)
            elif self.has_just_expired(entry, now):
                self.entries[name] = dataclasses.replace(entry, told_expired=True)
                reason = outcomes.Reason.LEASE_ENDED
                changes.append(self.describe(name, reason, now))
        return changes

    # What peer routers say.

    def merge(
        self, told: abc.Iterable[Told], now: float, teller: str = ""
    ) -> list[outcomes.Change]:
        """Take in rows that a peer router (``teller``) sent; their order is irrelevant.

        Renewals of rows that are not known here are remembered for ``take_missing``.
        """
        self.latest = max(self.latest, now)
        changes = []
        for row in told:
            fact = self.read(row, now)
            if fact is not None:
                changes += self.take(fact, now, teller)
        return changes

    def take_missing(self) -> tuple[bytes, ...]:
        """Return, once, the keys of renewals whose rows are not known here."""
        keys = tuple(self.missing)
        self.missing.clear()
        return keys

    # What peer routers are told.

    def rows_since(
        self, mark: int, now: float | None = None, peer: str = "", urgent: bool = False
    ) -> Batch:
        """Return the rows that changed after the mark (0: all), for this peer.

        Times in the rows are counted from ``now`` (the latest time the table was given,
        if left out). ``urgent`` keeps back mere renewals. Rows that the peer itself
        told, and leases that are over, are left out.
        """
        now = self.latest if now is None else now
        told: list[Told] = []
        for entry in self.entries.values():
            if peer in entry.known_by and mark > 0 or entry.fact.until <= now:
                continue
            if entry.changed_at > mark:
                told.append(rows.make_row(entry.fact, now))
            elif entry.renewed_at > mark and not urgent:
                told.append(rows.make_renewal(entry.fact, now))
        return Batch(self.mark, tuple(told))

    def rows_for(self, keys: abc.Iterable[bytes], now: float) -> tuple[rows.Row, ...]:
        """Return the whole rows that a peer asked for by key."""
        names = {self.names[key] for key in keys if key in self.names}
        known = [self.entries[name].fact for name in sorted(names)]
        return tuple(rows.make_row(fact, now) for fact in known if fact.until > now)

    # What the router asks.

    def list_live(self, now: float) -> tuple[upstreams.Upstream, ...]:
        """Return the upstreams of this data centre that may get new work, by name."""
        found = [
            entry.upstream
            for entry in self.entries.values()
            if entry.upstream.data_centre == self.data_centre
            and entry.accepts_work(now, self.grace)
        ]
        return tuple(sorted(found, key=lambda upstream: upstream.name))

    def list_entries(self) -> tuple[entries.Entry, ...]:
        """Return everything known, by name: for operators and metrics."""
        return tuple(self.entries[name] for name in sorted(self.entries))

    def find_state(self, name: str, now: float) -> outcomes.State | None:
        """Return where the upstream stands, or ``None`` if it isn't known."""
        entry = self.entries.get(name)
        return None if entry is None else entry.find_state(now, self.grace)

    # The parts of the above.

    def refuse_announcement(
        self,
        upstream: upstreams.Upstream,
        known: entries.Entry | None,
        now: float,
    ) -> outcomes.Reason | None:
        """Return why the announcement is not taken in, or ``None``."""
        if known is None:
            return None if self.make_room(now) else outcomes.Reason.TABLE_FULL
        if known.upstream.incarnation > upstream.incarnation:
            return outcomes.Reason.IGNORED_OLD
        if known.fact.left and is_same(known, upstream.incarnation):
            return outcomes.Reason.IGNORED_LEFT
        return None

    def read(self, row: Told, now: float) -> facts.Fact | None:
        """Return the row's account in this router's clock, or ``None`` to skip it."""
        if isinstance(row, rows.Renewal):
            name = self.names.get(row.key)
            if name is not None:
                return rows.read_renewal(row, self.entries[name].fact, now)
            if len(self.missing) < MISSING_LIMIT:
                self.missing[row.key] = None
            return None
        if row.remaining <= 0:
            return None
        known = row.upstream.name in self.entries
        return rows.read_row(row, now) if known or self.make_room(now) else None

    def take(
        self, fact: facts.Fact, now: float, teller: str | None
    ) -> list[outcomes.Change]:
        """Join the fact into the table; ``teller`` is ``None`` for the upstream."""
        name = fact.upstream.name
        known = self.entries.get(name)
        joined = fact if known is None else facts.join(known.fact, fact)
        if known is not None and joined == known.fact:
            self.note_echo(known, fact, teller)
            return []
        self.mark += 1
        entry = self.make_entry(known, joined, now, teller)
        self.store(known, entry)
        reason = find_reason(known, entry, now, self.grace)
        return [] if reason is None else [self.describe(name, reason, now)]

    def make_entry(
        self,
        known: entries.Entry | None,
        joined: facts.Fact,
        now: float,
        teller: str | None,
    ) -> entries.Entry:
        """Return the entry that holds the joined fact."""
        whole = known is None or is_whole_change(known.fact, joined)
        renewed = known is None or is_renewed(known.fact, joined)
        newer = whole or renewed or is_reported(known.fact, joined)
        tellers = frozenset({teller}) if teller else frozenset()
        return entries.Entry(
            fact=joined,
            direct=teller is None if renewed else known.direct,
            changed_at=self.mark if whole else known.changed_at,
            renewed_at=self.mark if newer else known.renewed_at,
            suspect=False if renewed else known.suspect,
            told_expired=False if renewed else known.told_expired,
            hold=count_return(known, joined, now, self.grace),
            known_by=tellers if newer else known.known_by | tellers,
        )

    def note_echo(
        self, known: entries.Entry, fact: facts.Fact, teller: str | None
    ) -> None:
        """Remember that this peer knows the newest renewal already."""
        if teller and not is_renewed(fact, known.fact):
            known_by = known.known_by | {teller}
            name = known.upstream.name
            self.entries[name] = dataclasses.replace(known, known_by=known_by)

    def store(self, known: entries.Entry | None, entry: entries.Entry) -> None:
        """Put the entry in place and keep the index by key in step."""
        name = entry.upstream.name
        if known is not None:
            self.names.pop(rows.derive_key(name, known.upstream.incarnation), None)
        self.entries[name] = entry
        if entry.fact.described:
            key = rows.derive_key(name, entry.upstream.incarnation)
            self.names[key] = name

    def forget(self, name: str) -> None:
        """Drop the entry."""
        entry = self.entries.pop(name)
        self.names.pop(rows.derive_key(name, entry.upstream.incarnation), None)

    def make_room(self, now: float) -> bool:
        """Return whether one more upstream fits, after dropping one that is over."""
        if len(self.entries) < UPSTREAM_LIMIT:
            return True
        over = [
            (entry.find_end(self.grace), name)
            for name, entry in self.entries.items()
            if entry.find_state(now, self.grace) is outcomes.State.EXPIRED
        ]
        if over:
            self.forget(min(over)[1])
        return bool(over)

    def is_forgettable(self, entry: entries.Entry, now: float) -> bool:
        """Return whether nothing late can bring the entry back any more."""
        end = entry.find_end(self.grace)
        return end <= now if entry.fact.left else end + TOMBSTONE_SECONDS <= now

    def has_just_expired(self, entry: entries.Entry, now: float) -> bool:
        """Return whether the lease is over and nobody was told yet."""
        state = entry.find_state(now, self.grace)
        return state is outcomes.State.EXPIRED and not entry.told_expired

    def describe(
        self, name: str, reason: outcomes.Reason, now: float
    ) -> outcomes.Change:
        """Return the change that brought the upstream where it stands now."""
        entry = self.entries[name]
        held_until = entry.hold.held_until
        return outcomes.Change(
            name=name,
            incarnation=entry.upstream.incarnation,
            state=entry.find_state(now, self.grace),
            reason=reason,
            held_until=held_until if held_until > now else 0.0,
        )


def refuse(upstream: upstreams.Upstream, reason: outcomes.Reason) -> outcomes.Change:
    """Return the change that tells that the announcement was not taken in."""
    state = outcomes.State.LEFT
    return outcomes.Change(upstream.name, upstream.incarnation, state, reason, False)


def receive_report(
    upstream: upstreams.Upstream, report: upstreams.Report, now: float
) -> upstreams.Upstream:
    """Return the upstream with the report, stamped with its time of receipt."""
    at = round_time(report.at)
    received = dataclasses.replace(report, at=at, received_at=now)
    return dataclasses.replace(upstream, report=received)


def round_time(at: float) -> float:
    """Return the time in whole milliseconds, the precision of rows between routers."""
    return round(at, 3)


def is_same(entry: entries.Entry, incarnation: int) -> bool:
    """Return whether the entry is about this incarnation."""
    return entry.upstream.incarnation == incarnation


def is_renewable(entry: entries.Entry, incarnation: int) -> bool:
    """Return whether the incarnation has announced itself and not left."""
    fact = entry.fact
    return is_same(entry, incarnation) and fact.described > 0 and not fact.left


def find_sequence(known: facts.Fact | None, report: upstreams.Report) -> int:
    """Return the number of a new renewal: a hybrid logical clock.

    It follows the upstream's own clock, so that renewals through several routers keep
    their order, and goes up by one where that clock stands still.
    """
    at_least = 1 if known is None else known.sequence + 1
    return max(at_least, int(report.at))


def is_whole_change(known: facts.Fact, joined: facts.Fact) -> bool:
    """Return whether peers need the whole row, not just a renewal."""
    if known.left != joined.left or known.described != joined.described:
        return True
    return known.upstream.incarnation != joined.upstream.incarnation


def is_renewed(known: facts.Fact, joined: facts.Fact) -> bool:
    """Return whether the joined fact holds a newer lease than the known one."""
    if known.upstream.incarnation != joined.upstream.incarnation:
        return True
    return (known.left, known.sequence) != (joined.left, joined.sequence)


def is_reported(known: facts.Fact, joined: facts.Fact) -> bool:
    """Return whether the joined fact holds a newer report than the known one."""
    return known.upstream.report.at != joined.upstream.report.at


def count_return(
    known: entries.Entry | None, joined: facts.Fact, now: float, grace: float
) -> holds.Hold:
    """Return the count of flaps, one more if the upstream came back from a failure."""
    if known is None:
        return holds.Hold()
    if joined.left or not is_renewed(known.fact, joined):
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
