"""Registers upstreams' announcements and distributes them.

An ordinary announcement is acknowledged at once. One that takes an upstream out of
service is acknowledged once a majority of the directories has it and has sent it on, so
that every gateway linked to one of them knows. One that brings a version which is new
to its service is distributed once a majority has heard of that version.
"""

import dataclasses
import typing
from collections import abc

import eventlet.event

from trestlestall.daemon import announcements, events, logs
from trestlestall.daemon.directory import links as directory_links
from trestlestall.forwarding import upstreams, version_history
from trestlestall.wire import (
    clocks,
    directory_messages,
    registry,
    stream_messages,
)

#: Seconds to wait for a majority; below the second after which upstreams try another
#: directory.
MAJORITY_TIMEOUT_SECONDS = 0.8


Confirmable = directory_messages.Announced | directory_messages.VersionProposed


@dataclasses.dataclass
class PendingAnnouncement:
    """A message that waits for confirmations of other directories."""

    message: Confirmable
    needed: int
    confirmed: set[str]
    done: eventlet.event.Event

    @property
    def is_proposal(self) -> bool:
        """Whether it proposes a version."""
        return isinstance(self.message, directory_messages.VersionProposed)


class Registrations:
    """One directory's table of upstreams.

    ``count_voters`` returns how many directories vote; ``on_rows_changed`` is called
    when merged rows changed the table.
    """

    def __init__(
        self,
        links: directory_links.Links,
        log: logs.Log,
        count_voters: abc.Callable[[], int],
        on_rows_changed: abc.Callable[[], object],
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.table = upstreams.Table()
        self.history = version_history.VersionHistory()
        self._links = links
        self._log = log
        self._count_voters = count_voters
        self._on_rows_changed = on_rows_changed
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._pending: dict[int, PendingAnnouncement] = {}
        self._last_token = 0

    def announce(self, row: upstreams.Row, is_present: bool = True) -> bool:
        """Register an announcement; false if too few directories confirmed it.

        ``is_present`` is whether its sender still waits for the answer.
        """
        heard_at = self._clock()
        if not self._introduce(row):
            return False
        merged = self._merge(row, self._clock())
        self.table.expire_tombstones(self._clock())
        if is_present:
            self._record_heard(row, heard_at)
        if merged is not None:
            self._notify_gateways((merged,))
            self._send_versions(self._links.list_directories(), (merged,))
        latest = self.table.find_latest(row.announced_name)
        if latest is None or latest.born > row.born > 0:
            # An incarnation that was replaced gets no requests anyway.
            return True
        self._end_replaced(row)
        if row.state is not upstreams.State.SERVING:
            return self._notify_majority(latest)
        self._send_directories(announcements.encode((row,)))
        return True

    def _merge(self, row: upstreams.Row, now: float) -> upstreams.Row | None:
        """Merge a row into the table; return the result if it changed.

        The version that the upstream had until now is recorded as seen: the row may be
        of its next incarnation, and then replaces the one with that version.
        """
        known = self.table.find_latest(row.announced_name)
        if known is not None and known.state is not upstreams.State.GONE:
            self.history.record((known,), now)
        return self.table.merge(row, now)

    def answer_heard(self, peer: str, call: stream_messages.HeardCall) -> None:
        """Tell a gateway when an upstream last announced itself here.

        What other directories heard does not count: its age is not known.
        """
        heard_at = self._heard_at.get(call.upstream)
        seconds = None if heard_at is None else round(self._clock() - heard_at, 4)
        self._links.send(peer, stream_messages.HeardAnswer(call.token, seconds))

    def _record_heard(self, row: upstreams.Row, heard_at: float) -> None:
        """Record when an upstream announced itself that was alive then.

        The announcement of a process that has ended may have waited, and says nothing
        of the process that has its identity and address since.
        """
        known = self.table.rows.get(row.identity)
        if known is not None and row.sequence >= known.sequence:
            self._heard_at[row.identity] = heard_at
        if len(self._heard_at) > len(self.table.rows):
            for identity in self._heard_at.keys() - self.table.rows.keys():
                del self._heard_at[identity]

    def _introduce(self, row: upstreams.Row) -> bool:
        """Tell a majority of a version that is new to its service.

        Return whether the version may serve.
        """
        serves = row.state is upstreams.State.SERVING and row.version is not None
        if not serves:
            return True
        if not self.history.is_new(row):
            self.history.record((row,), self._clock())
            return True
        self.history.record_proposed(row.service, row.version, self._clock())
        proposal = directory_messages.VersionProposed(0, row.service, row.version)
        return self._ask_majority(proposal)

    def handle_proposed(
        self, peer: str, message: directory_messages.VersionProposed
    ) -> None:
        """Record a version that another directory is about to let serve."""
        service, version = message.service, message.version
        self.history.record_proposed(service, version, self._clock())
        self._links.send(peer, directory_messages.AnnouncedAnswer(message.token))

    def handle_not_understood(self, peer: str, name: str) -> None:
        """Count a directory of an earlier build for all versions that are proposed.

        It is never asked for the only version, so nothing relies on what it knows.
        """
        if name != registry.NAMES[directory_messages.VersionProposed]:
            return
        for token, pending in list(self._pending.items()):
            if pending.is_proposal:
                self.handle_answer(peer, directory_messages.AnnouncedAnswer(token))

    def _end_replaced(self, row: upstreams.Row) -> None:
        """End the incarnations whose address the upstream has taken over."""
        if row.state is upstreams.State.GONE:
            return
        now = self._clock()
        for replaced in self.table.list_replaced(row, now):
            ended = upstreams.make_tombstone(replaced)
            merged = self.table.merge(ended, now)
            self._notify_gateways((merged,))
            self._send_directories(announcements.encode((merged,)))

    def handle_replaced(self, report: directory_messages.Replaced) -> None:
        """Handle a gateway's report that another incarnation answers at an address.

        The report is ignored while the reported incarnation still announces itself.
        """
        now = self._clock()
        known = self.table.rows.get(report.upstream)
        if known is None or known.state is upstreams.State.GONE:
            return
        silent = now - self.table.last_received.get(report.upstream, now)
        if silent > upstreams.REPLACED_SECONDS:
            ended = upstreams.make_tombstone(known)
            self._notify_gateways((self.table.merge(ended, now),))

    def handle_announced(
        self, peer: str, message: directory_messages.Announced
    ) -> None:
        """Merge another directory's rows, send gateways what is new, and confirm."""
        now = self._clock()
        rows = announcements.decode_rows(message.rows, self._log_refused_row)
        merged = [one for row in rows if (one := self._merge(row, now))]
        if merged:
            self._notify_gateways(merged)
        if message.token:
            self._links.send(peer, directory_messages.AnnouncedAnswer(message.token))

    def handle_versions(self, message: directory_messages.UpstreamVersions) -> None:
        """Merge the versions of upstreams that another directory knows."""
        pairs = announcements.decode_versions(message.pairs, self._log_refused_row)
        changed = self.table.merge_versions(pairs)
        if changed:
            self._notify_gateways(changed)

    def _log_refused_row(self, identity: str, reason: str) -> None:
        self._log.write(
            events.directory.ANNOUNCEMENT_REFUSED, upstream=identity, reason=reason
        )

    def handle_answer(
        self, peer: str, message: directory_messages.AnnouncedAnswer
    ) -> None:
        """Count the confirmation of a directory."""
        pending = self._pending.get(message.token)
        if pending is None:
            return
        pending.confirmed.add(peer)
        if len(pending.confirmed) >= pending.needed and not pending.done.ready():
            pending.done.send(True)

    def send_all(self, peer: str) -> None:
        """Send a newly linked process the table, and what it has yet to confirm."""
        rows = list(self.table.rows.values())
        self._send_versions((peer,), rows)
        self._links.send(peer, announcements.encode(rows, 0))
        if self._links.is_directory(peer):
            for pending in self._pending.values():
                self._links.send(peer, pending.message)

    def _send_versions(
        self, peers: abc.Iterable[str], rows: abc.Sequence[upstreams.Row]
    ) -> None:
        message = announcements.encode_versions(rows)
        if message.pairs:
            for peer in peers:
                self._links.send(peer, message)

    def _notify_majority(self, row: upstreams.Row) -> bool:
        return self._ask_majority(announcements.encode((row,)))

    def _ask_majority(self, message: Confirmable) -> bool:
        """Send a message to all directories; return whether a majority confirms it."""
        needed = self._count_voters() // 2
        if needed == 0:
            return True
        self._last_token += 1
        token = self._last_token
        message = dataclasses.replace(message, token=token)
        pending = PendingAnnouncement(message, needed, set(), eventlet.event.Event())
        self._pending[token] = pending
        try:
            self._send_directories(message)
            with eventlet.Timeout(MAJORITY_TIMEOUT_SECONDS, False):
                return pending.done.wait()
            return False
        finally:
            del self._pending[token]

    def _send_directories(self, message: typing.Any) -> None:
        for peer in self._links.list_directories():
            self._links.send(peer, message)

    def _notify_gateways(self, rows: abc.Sequence[upstreams.Row]) -> None:
        self._on_rows_changed()
        self.history.record(rows, self._clock())
        message = announcements.encode(rows, 0)
        gateways = self._links.list_gateways()
        self._send_versions(gateways, rows)
        for gateway in gateways:
            self._links.send(gateway, message)
        for row in rows:
            self._log.write(
                events.directory.ANNOUNCED,
                upstream=row.identity,
                service=row.service,
                address=row.address,
                state=row.state.name.lower(),
                version=row.version,
                sequence=row.sequence,
                told=len(gateways),
            )
