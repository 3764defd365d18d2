"""The router's table of upstreams, fed by upstreams and by peer routers."""

import typing
from collections import abc

from trestlestall.daemon import environment, events
from trestlestall.daemon.http import answers, errors
from trestlestall.daemon.router import journal, views
from trestlestall.membership import documents, exchange, outcomes, table, upstreams
from trestlestall.wire import messages

Send = abc.Callable[[str, object], bool]

CHANGE_EVENTS = {
    outcomes.Reason.ANNOUNCED: events.upstreams.ANNOUNCED,
    outcomes.Reason.RESTARTED: events.upstreams.ANNOUNCED,
    outcomes.Reason.CHANGED: events.upstreams.ANNOUNCED,
    outcomes.Reason.LEASE_ENDED: events.upstreams.EXPIRED,
    outcomes.Reason.LEFT: events.upstreams.LEFT,
}


class Members:
    """Updates the table, and sends changes to the peer routers of the data centre."""

    def __init__(
        self,
        router: str,
        members: table.Table,
        shown: views.Views,
        clock: environment.Clock,
        log: journal.Journal,
        send: Send,
    ):
        self.table = members
        self._router = router
        self._views = shown
        self._clock = clock
        self._journal = log
        self._send = send
        self._exchange = exchange.Exchange(router, members)

    # Announcements of upstreams.

    def announce(self, upstream: upstreams.Upstream) -> answers.Answer:
        """Add or update an upstream, and answer with its lease."""
        changes = self.table.announce(upstream, self._clock.monotonic())
        refused = [change for change in changes if not change.taken]
        self._record_changes(changes)
        if refused:
            reason = refused[0].reason.value
            failure = errors.Failure("invalid_request", f"Not taken in: {reason}.")
            return answers.build_failure(failure)
        return answers.build_json({"lease_seconds": table.LEASE})

    def renew(
        self, name: str, incarnation: int, report: upstreams.Report
    ) -> answers.Answer:
        """Renew a lease."""
        now = self._clock.monotonic()
        outcome = self.table.renew(name, incarnation, report, now)
        if isinstance(outcome, outcomes.UnknownUpstream):
            message = f"{name!r} is not known here: announce it again."
            return answers.build_failure(errors.Failure("unknown_upstream", message))
        return answers.build_json({"lease_seconds": outcome.lease})

    def leave(self, name: str, incarnation: int) -> answers.Answer:
        """End a lease; peers receive the change with the next updates."""
        self._record_changes(
            self.table.leave(name, incarnation, self._clock.monotonic())
        )
        return answers.build_json({"left": True})

    # Observations of this router.

    def suspect(self, upstream: upstreams.Upstream) -> None:
        """Suspect an upstream after a refused connection; a renewal clears this."""
        now = self._clock.monotonic()
        self._record_changes(self.table.fail(upstream.name, upstream.incarnation, now))

    def back_off(self, upstream: upstreams.Upstream, seconds: float) -> None:
        """Send an upstream no new work for the seconds of backoff that it asked for."""
        now = self._clock.monotonic()
        self.table.rest(upstream.name, upstream.incarnation, seconds, now)
        self._views.invalidate()
        self._journal.write(
            events.upstreams.RESTS,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            seconds=seconds,
        )

    def expire(self) -> None:
        """Record the leases that have expired."""
        self._record_changes(self.table.expire(self._clock.monotonic()))

    # Exchange with peer routers.

    def merge(self, peer: str, message: messages.UpstreamRows) -> None:
        """Merge a peer's rows, and request those that are missing here."""
        rows = documents.decode_rows(message.rows)
        if isinstance(rows, outcomes.Malformed):
            return
        received = self._exchange.receive(peer, rows, self._clock.monotonic())
        self._record_changes(received.changes)
        if received.missing:
            self._send(peer, messages.UpstreamPull(self._router, received.missing))

    def answer_pull(self, peer: str, message: messages.UpstreamPull) -> None:
        """Send a peer the full rows that it requested."""
        found = self._exchange.answer(message.keys, self._clock.monotonic())
        self._send_rows(peer, found)

    def send_updates(self, peers: abc.Collection[str]) -> None:
        """Send the neighbours among the linked peers the rows that they lack."""
        for parcel in self._exchange.poll(peers, self._clock.monotonic()):
            if not self._send_rows(parcel.neighbour, parcel.rows):
                self._exchange.restart(parcel.neighbour)

    def set_peers(self, peers: abc.Collection[str]) -> None:
        """Plan the neighbours and interval of updates for the data centre's peers."""
        self._exchange.set_routers(peers, len(self.table.list_entries()))

    def resync_peer(self, peer: str) -> None:
        """Send a peer all rows again: the link to it is new."""
        self._exchange.restart(peer)

    # For operators.

    def list_rows(self, drained: abc.Set[str]) -> list[dict[str, typing.Any]]:
        """Return a row for each upstream, for ``show upstreams``."""
        now = self._clock.monotonic()
        rows = []
        for entry in self.table.list_entries():
            upstream, report = entry.upstream, entry.upstream.report
            state = entry.find_state(now, self.table.grace)
            rows.append(
                {
                    "name": upstream.name,
                    "state": state.value,
                    "drained": upstream.name in drained,
                    "data_centre": upstream.data_centre,
                    "address": upstream.address,
                    "kind": upstream.kind,
                    "models": list(upstream.models),
                    "running": report.running,
                    "waiting": report.waiting,
                    "load": round(report.running / max(1, upstream.slots), 3),
                    "tokens_per_second": report.tokens_per_second,
                    "incarnation": upstream.incarnation,
                }
            )
        return rows

    def _send_rows(self, peer: str, rows: abc.Iterable[object]) -> bool:
        forms = documents.encode_rows(rows)
        return self._send(peer, messages.UpstreamRows(self._router, forms))

    def _record_changes(self, changes: abc.Iterable[outcomes.Change]) -> None:
        for change in changes:
            self._views.invalidate()
            self._log_change(change)

    def _log_change(self, change: outcomes.Change) -> None:
        common = {"upstream": change.name, "incarnation": change.incarnation}
        if not change.taken:
            reason = change.reason.value
            event = events.upstreams.ANNOUNCEMENT_REFUSED
            self._journal.write(event, **common, reason=reason)
        elif change.state is outcomes.State.SUSPECT:
            reason = change.reason.value
            self._journal.write(events.upstreams.SUSPECT, **common, reason=reason)
        elif change.reason in CHANGE_EVENTS:
            self._journal.write(CHANGE_EVENTS[change.reason], **common)
