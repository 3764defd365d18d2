"""A router's table of upstreams: which may get new work, and what to send to peers.

Upstreams announce themselves, renew a lease, and leave. A lease that runs out makes an
upstream ``expired`` and a refused connection makes it ``suspect``: neither gets new
work until it renews or announces. One that asked for a backoff (``rest``) gets none
until that ends. Leaving ends an incarnation for good. Routers send each other rows
(``list_rows_since``, ``merge``); ``facts`` describes why their order is irrelevant.

Example::

    table = Table("a")
    table.announce(upstream, now=10.0)
    table.renew(upstream.name, upstream.incarnation, report, now=11.0)
    table.list_live(now=12.0)   # (upstream with the newest report,)
    table.list_live(now=14.5)   # (): the lease ended at 14.0
"""

import dataclasses
from collections import abc

from trestlestall.membership import (
    batches,
    changes,
    entries,
    facts,
    indexes,
    live,
    outcomes,
    rows,
    transitions,
    upstreams,
)

# Length of the lease that an announcement or a renewal grants.
LEASE_SECONDS = 3.0
TOMBSTONE_SECONDS = entries.TOMBSTONE_SECONDS
# Bounds on memory, whatever upstreams and peers send.
UPSTREAM_LIMIT = 2000
MISSING_KEY_LIMIT = 500


class Table:
    """The upstreams known to one router of a data centre.

    Rows of other data centres are stored, listed by ``list_entries`` and relayed, but
    ``list_live`` returns only upstreams of the router's own. ``grace`` (seconds) is
    added to leases and covers the time that rows take between routers. For ``interval``
    seconds after a renewal of an upstream was relayed, by this router or another, its
    further renewals are not relayed.
    """

    def __init__(
        self, data_centre: str, grace: float = 0.0, interval: float = 0.0
    ) -> None:
        self.data_centre = data_centre
        self.grace = grace
        self.interval = interval
        self.entries: dict[str, entries.Entry] = {}
        self.index = indexes.Index()
        # Cached result of list_live; None once an entry has changed.
        self.live: live.Live | None = None
        self.missing: dict[bytes, None] = {}
        self.mark = 0
        self.latest_time = 0.0

    # Calls from upstreams.

    def announce(
        self, upstream: upstreams.Upstream, now: float, lease: float = LEASE_SECONDS
    ) -> list[outcomes.Change]:
        """Add or update an upstream; its lease runs ``lease`` seconds from ``now``.

        An incarnation older than the known one, or one that has left, is ignored; the
        only change returned then has ``taken`` false. The same holds for an unknown
        upstream while the table is full.
        """
        self.record_time(now)
        report = upstreams.with_receipt(upstream.report, now)
        upstream = upstreams.with_report(upstream, report)
        known = self.entries.get(upstream.name)
        refusal = self.refuse_announcement(upstream, known, now)
        if refusal is not None:
            return [changes.refuse(upstream, refusal)]
        same = known is not None and known.is_same(upstream.incarnation)
        sequence = facts.find_sequence(known.fact if same else None, upstream.report)
        fact = facts.Fact(upstream, sequence, sequence, lease, now + lease)
        return self.merge_fact(fact, now, reporter=None)

    def renew(
        self, name: str, incarnation: int, report: upstreams.Report, now: float
    ) -> outcomes.Renewed | outcomes.UnknownUpstream:
        """Renew the lease for its announced length and store the report.

        A report older than the stored one is ignored, but the lease is renewed anyway.
        """
        self.record_time(now)
        known = self.entries.get(name)
        if known is None or not known.is_renewable(incarnation):
            return outcomes.UnknownUpstream(name)
        fact = known.fact
        sequence = facts.find_sequence(fact, report)
        received = upstreams.with_receipt(report, now)
        renewed = facts.renew(fact, sequence, now + fact.lease, received)
        self.advance(known, renewed, now, reporter=None)
        return outcomes.Renewed(fact.lease)

    def leave(self, name: str, incarnation: int, now: float) -> list[outcomes.Change]:
        """End this incarnation for good: later updates of it are ignored."""
        self.record_time(now)
        known = self.entries.get(name)
        if known is None or known.upstream.incarnation < incarnation:
            if known is None and not self.ensure_capacity(now):
                return []
            bare = upstreams.Upstream(name, incarnation, self.data_centre, "")
            fact = facts.Fact(bare, 0, 0, 0.0, now + TOMBSTONE_SECONDS, True)
        elif known.is_same(incarnation) and not known.fact.left:
            until = now + TOMBSTONE_SECONDS
            fact = dataclasses.replace(known.fact, until=until, left=True)
        else:
            return []
        return self.merge_fact(fact, now, reporter=None)

    # Events that the router itself detects.

    def fail(self, name: str, incarnation: int, now: float) -> list[outcomes.Change]:
        """Mark the upstream suspect after a refused connection, until it renews."""
        self.record_time(now)
        known = self.entries.get(name)
        if known is None or not known.is_same(incarnation):
            return []
        if known.find_state(now, self.grace) is not outcomes.State.LIVE:
            return []
        entry = dataclasses.replace(known, suspect=True)
        self.entries[name] = entry
        self.live = None
        return self.report(entry, outcomes.Reason.REFUSED_CONNECTION, now)

    def rest(self, name: str, incarnation: int, seconds: float, now: float) -> None:
        """Record that the upstream asked for a backoff; the latest end applies.

        The backoff applies to this router alone, and renewals do not end it.
        """
        self.record_time(now)
        known = self.entries.get(name)
        if known is None or not known.is_same(incarnation):
            return
        until = max(known.rests_until, now + seconds)
        self.entries[name] = dataclasses.replace(known, rests_until=until)
        self.live = None

    def expire(self, now: float) -> list[outcomes.Change]:
        """Report leases that ended since the last call, and remove old tombstones.

        ``list_live`` does not depend on this being called.
        """
        self.record_time(now)
        reported: list[outcomes.Change] = []
        for name, entry in list(self.entries.items()):
            if entry.is_removable(now, self.grace):
                self.remove(name)
            elif entry.has_newly_expired(now, self.grace):
                expired = dataclasses.replace(entry, expiry_reported=True)
                self.entries[name] = expired
                reported += self.report(expired, outcomes.Reason.LEASE_ENDED, now)
        return reported

    # Rows from peer routers.

    def merge(
        self, updates: abc.Iterable[rows.RowUpdate], now: float, reporter: str = ""
    ) -> list[outcomes.Change]:
        """Merge rows from a peer router (``reporter``); their order is irrelevant.

        Keys of renewals whose rows are not known here are stored for
        ``pop_missing_keys``.
        """
        self.record_time(now)
        reported: list[outcomes.Change] = []
        for row in updates:
            if isinstance(row, rows.Renewal):
                reported += self.merge_renewal(row, now, reporter)
            else:
                reported += self.merge_row(row, now, reporter)
        return reported

    def pop_missing_keys(self) -> tuple[bytes, ...]:
        """Return and clear the keys of renewals whose rows are not known here."""
        keys = tuple(self.missing)
        self.missing.clear()
        return keys

    # Rows for peer routers.

    def list_rows_since(
        self, mark: int, now: float | None = None, peer: str = "", urgent: bool = False
    ) -> batches.Batch:
        """Return the rows that changed after the mark, for this peer.

        Rows that the peer itself sent are left out, except with mark 0, which is for a
        peer that may have lost its state. A mark below 0 selects all other rows. Times
        in the rows are relative to ``now`` (by default the latest time the table was
        given); expired leases are left out. ``urgent`` leaves out renewals: the caller
        gets them by a later call with the same mark.
        """
        now = self.latest_time if now is None else now
        recent = (self.entries[name] for name in self.index.list_recent())
        chosen = batches.choose_rows(recent, mark, now, peer, urgent)
        return batches.Batch(self.mark, tuple(chosen))

    def reset_peer(self, peer: str) -> None:
        """Clear the record of what the peer knows, since it may have restarted."""
        for name, entry in self.entries.items():
            if peer in entry.known_by:
                self.entries[name] = entry.without_known_by(peer)

    def list_rows_by_key(
        self, keys: abc.Iterable[bytes], now: float
    ) -> tuple[rows.Row, ...]:
        """Return the whole rows that a peer requested by key."""
        found = self.index.names
        names = {found[key] for key in keys if key in found}
        known = [self.entries[name].fact for name in sorted(names)]
        return tuple(rows.make_row(fact, now) for fact in known if fact.until > now)

    # Queries by the router.

    def list_live(self, now: float) -> tuple[upstreams.Upstream, ...]:
        """Return this data centre's upstreams that may get new work, by name."""
        if self.live is None or not self.live.is_valid(now, self.grace):
            known = self.entries.values()
            self.live = live.find_live(known, self.data_centre, now, self.grace)
        return self.live.upstreams

    def list_entries(self) -> tuple[entries.Entry, ...]:
        """Return all entries ordered by name, for operators and metrics."""
        return tuple(self.entries[name] for name in sorted(self.entries))

    def find_state(self, name: str, now: float) -> outcomes.State | None:
        """Return the state of the upstream, or ``None`` if it isn't known."""
        entry = self.entries.get(name)
        return None if entry is None else entry.find_state(now, self.grace)

    # Internals.

    def record_time(self, now: float) -> None:
        """Record the latest time that the table was given, for ``list_rows_since``."""
        self.latest_time = max(self.latest_time, now)

    def refuse_announcement(
        self,
        upstream: upstreams.Upstream,
        known: entries.Entry | None,
        now: float,
    ) -> outcomes.Reason | None:
        """Return why the announcement is refused, or ``None`` if it is accepted."""
        if known is None:
            return None if self.ensure_capacity(now) else outcomes.Reason.TABLE_FULL
        if known.upstream.incarnation > upstream.incarnation:
            return outcomes.Reason.IGNORED_OLD
        if known.fact.left and known.is_same(upstream.incarnation):
            return outcomes.Reason.IGNORED_LEFT
        return None

    def merge_row(
        self, row: rows.Row, now: float, reporter: str
    ) -> list[outcomes.Change]:
        """Merge a whole row, unless its lease has expired or the table is full."""
        if row.remaining <= 0:
            return []
        if row.upstream.name not in self.entries and not self.ensure_capacity(now):
            return []
        return self.merge_fact(rows.make_fact(row, now), now, reporter)

    def merge_renewal(
        self, renewal: rows.Renewal, now: float, reporter: str
    ) -> list[outcomes.Change]:
        """Merge a renewal, or store its key if the row is missing here."""
        name = self.index.names.get(renewal.key)
        if name is None:
            if len(self.missing) < MISSING_KEY_LIMIT:
                self.missing[renewal.key] = None
            return []
        known = self.entries[name]
        if not rows.is_stale(renewal, known.fact, now):
            joined = rows.apply_renewal(renewal, known.fact, now)
            return self.advance(known, joined, now, reporter)
        if renewal.sequence == known.fact.sequence:
            self.record_known_by(known, reporter)
        return []

    def merge_fact(
        self, fact: facts.Fact, now: float, reporter: str | None
    ) -> list[outcomes.Change]:
        """Join the fact into the table.

        ``reporter`` is the peer that sent it, or ``None`` for the upstream itself.
        """
        known = self.entries.get(fact.upstream.name)
        if known is not None:
            joined = facts.join(known.fact, fact)
            if not facts.is_renewed(fact, joined):
                self.record_known_by(known, reporter)
            return self.advance(known, joined, now, reporter)
        self.mark += 1
        entry = transitions.start(fact, self.mark, now, reporter)
        return self.put(None, entry, now)

    def advance(
        self,
        known: entries.Entry,
        joined: facts.Fact,
        now: float,
        reporter: str | None,
    ) -> list[outcomes.Change]:
        """Replace the known fact by the joined one, if they differ."""
        if joined == known.fact:
            return []
        self.mark += 1
        entry = transitions.advance(
            known,
            joined,
            mark=self.mark,
            now=now,
            reporter=reporter,
            grace=self.grace,
            interval=self.interval,
        )
        return self.put(known, entry, now)

    def put(
        self, known: entries.Entry | None, entry: entries.Entry, now: float
    ) -> list[outcomes.Change]:
        """Store the entry in place of the known one, and return the change, if any."""
        self.entries[entry.upstream.name] = entry
        self.index.update(known, entry, is_relayed=entry.renewed_at == self.mark)
        self.live = None
        reason = transitions.find_reason(known, entry, now, self.grace)
        return [] if reason is None else self.report(entry, reason, now)

    def report(
        self, entry: entries.Entry, reason: outcomes.Reason, now: float
    ) -> list[outcomes.Change]:
        """Return the entry's change as a list of one."""
        return [changes.describe(entry, reason, now, self.grace)]

    def record_known_by(self, known: entries.Entry, reporter: str | None) -> None:
        """Record that this peer already has the latest renewal."""
        # None and the empty name mean that no peer sent the row.
        if reporter and reporter not in known.known_by:
            self.entries[known.upstream.name] = known.with_known_by(reporter)

    def remove(self, name: str) -> None:
        """Remove the entry from the table and its indexes."""
        self.index.remove(self.entries.pop(name))

    def ensure_capacity(self, now: float) -> bool:
        """Return whether one more upstream fits, removing an expired one if needed."""
        if len(self.entries) < UPSTREAM_LIMIT:
            return True
        expired = [
            (entry.find_end(self.grace), name)
            for name, entry in self.entries.items()
            if entry.find_state(now, self.grace) is outcomes.State.EXPIRED
        ]
        if expired:
            self.remove(min(expired)[1])
        return bool(expired)
