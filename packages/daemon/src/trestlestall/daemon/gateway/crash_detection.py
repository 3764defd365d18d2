"""Detects upstreams that crash while they serve requests from this gateway.

A closed connection alone proves no crash: it may have been reset, released or dropped
after an invalid response, and a partitioned host doesn't reply at all. A crashed
process is identified by its host, which refuses new connections at once. Where another
process holds the address, it is identified by a new incarnation that replaces the
upstream soon after, without a drain notice of the old one.

The requests that ran there are blamed for the crash, and the parts of their prompts;
what is blamed for several may be quarantined (``forwarding.crashes``,
``forwarding.harmful_parts``).
"""

import dataclasses
from collections import abc

import eventlet
import eventlet.event

from trestlestall.daemon import events, part_messages
from trestlestall.daemon.gateway import (
    cached_view,
    metrics as gateway_metrics,
    reachability,
)
from trestlestall.forwarding import (
    crash_reports,
    part_evidence,
    part_reports,
    suspects,
    upstreams,
)
from trestlestall.wire import directory_messages

#: Seconds within which a new incarnation replaces a crashed one. Restarts after a crash
#: took 3 to 4 s.
REPLACEMENT_SECONDS = 6.0
#: Interval at which the upstream's state is checked meanwhile.
POLL_SECONDS = 0.1
CRASHED = "crashed while serving requests"

Message = directory_messages.Crashed | directory_messages.PartsCrashed
Broadcast = abc.Callable[[Message], object]


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that an upstream may have crashed on.

    ``keys`` are the parts of its prompt that others share, ``workspace`` that of its
    caller, and ``sent_at`` when it was sent, in seconds of this process's clock.
    """

    digest: str
    keys: tuple[part_reports.Key, ...] = ()
    workspace: str = ""
    sent_at: float = 0.0


class SuspectedCrash:
    """An upstream that closed connections; ``broken`` holds when, by request.

    ``refused`` is sent whether its host then refused a connection.
    """

    def __init__(self, row: upstreams.Row) -> None:
        self.row = row
        self.broken: dict[Request, float] = {}
        self.refused = eventlet.event.Event()

    def add(self, request: Request, now: float) -> None:
        """Add a request whose connection the upstream closed."""
        self.broken[request] = now

    def list_since(self, moment: float) -> list[Request]:
        """Return the requests that broke off at ``moment`` or later."""
        return [request for request, at in self.broken.items() if at >= moment]


class CrashDetector:
    """Detects and reports crashes; ``broadcast`` is set once the gateway has links."""

    def __init__(
        self,
        view: cached_view.CachedView,
        prober: reachability.Prober,
        metrics: gateway_metrics.Metrics,
    ) -> None:
        self.broadcast: Broadcast = drop_message
        self._view = view
        self._prober = prober
        self._metrics = metrics
        self._probing: dict[str, SuspectedCrash] = {}
        self._watched: dict[str, SuspectedCrash] = {}

    def record_broken(self, row: upstreams.Row, request: Request) -> bool:
        """Return whether an upstream that closed a connection has certainly crashed.

        Blocks until its host has been probed, so that the result is known before the
        request is retried: one round trip, or several where peers are asked as well.
        """
        suspected = self._probing.get(row.identity)
        if suspected is None:
            suspected = self._probing[row.identity] = SuspectedCrash(row)
            eventlet.spawn(self._probe_host, suspected)
        suspected.add(request, self._view.clock())
        return suspected.refused.wait()

    def record_answered(self, digest: str) -> None:
        """Record that a request got a complete response."""
        if self._view.crashes.record_answer(digest, self._view.clock()):
            self._send_report(crash_reports.Report(answers=((digest, 0.0),)))

    def handle(self, message: directory_messages.Crashed) -> None:
        """Merge a directory's report; raises ``ValueError`` if it is malformed."""
        report = decode(message)
        self._view.crashes.merge(report, self._view.clock())
        for incarnation, _ in report.alive:
            self._view.parts.record_alive(incarnation)

    def handle_parts(self, message: directory_messages.PartsCrashed) -> None:
        """Merge a directory's report of parts; raises ``ValueError`` if malformed."""
        report = part_messages.decode(message)
        self._view.parts.merge(report, self._view.clock())
        self._view.crashes.record_explained(self._view.parts.list_attributed())

    def report(self) -> tuple[Message, ...]:
        """Return full reports, for a directory that was just linked."""
        now = self._view.clock()
        return (
            encode(self._view.crashes.report(now)),
            part_messages.encode(self._view.parts.report(now)),
        )

    # Detection.

    def _probe_host(self, suspected: SuspectedCrash) -> None:
        row = suspected.row
        refused = self._prober.is_refused(row)
        del self._probing[row.identity]
        draining = self._get_state(row) is not upstreams.State.SERVING
        if refused:
            self._prober.mark_unreachable(row, CRASHED)
            self._record_crash(suspected, () if draining else suspected.broken)
        suspected.refused.send(refused)
        if not refused and not draining:
            self._watch_for_replacement(suspected)

    def _watch_for_replacement(self, suspected: SuspectedCrash) -> None:
        """Wait for a new incarnation of an upstream that is not being watched yet."""
        watched = self._watched.get(suspected.row.identity)
        if watched is not None:
            watched.broken.update(suspected.broken)
            return
        self._watched[suspected.row.identity] = suspected
        replaced = self._is_replaced(suspected)
        del self._watched[suspected.row.identity]
        if replaced:
            latest = self._view.clock() - REPLACEMENT_SECONDS
            self._record_crash(suspected, suspected.list_since(latest))

    def _is_replaced(self, suspected: SuspectedCrash) -> bool:
        """Return whether the upstream is removed in time, without a drain notice."""
        while self._view.clock() < max(suspected.broken.values()) + REPLACEMENT_SECONDS:
            eventlet.sleep(POLL_SECONDS)
            state = self._get_state(suspected.row)
            if state is not upstreams.State.SERVING:
                return state is upstreams.State.GONE
        return False

    def _get_state(self, row: upstreams.Row) -> upstreams.State:
        """Return the upstream's state; a replaced one counts as removed."""
        known = self._view.table.rows.get(row.identity)
        return upstreams.State.GONE if known is None else known.state

    # Reports.

    def _record_crash(
        self, suspected: SuspectedCrash, blamed: abc.Collection[Request]
    ) -> None:
        """Blame the crash on the requests that ran there, and report it."""
        row, now = suspected.row, self._view.clock()
        self._report_parts(row, blamed, now)
        if self._view.is_brittle(row):
            blamed = ()  # it ends for lack of room, not for what a request does
        self._metrics.crashed_upstreams.inc()
        self._view.log.write(
            events.forwarding.UPSTREAM_CRASHED,
            upstream=row.identity,
            address=row.address,
            broken=len(suspected.broken),
            blamed=len(blamed),
            seconds=round(now - min(suspected.broken.values()), 4),
        )
        record = self._view.crashes
        digests = dict.fromkeys(request.digest for request in blamed)
        fresh = [one for one in digests if record.record_crash(one, row.identity, now)]
        ends = tuple((digest, row.identity, 0.0) for digest in fresh)
        answers = record.report(now, fresh).answers
        self._send_report(crash_reports.Report(ends, answers))

    def _report_parts(
        self, row: upstreams.Row, blamed: abc.Collection[Request], now: float
    ) -> None:
        """Report the parts that were present; directories judge brittle upstreams."""
        rows = tuple(
            part_evidence.encode_end(key, row.identity, presence, now)
            for key, presence in list_presences(blamed, now).items()
        )
        report = part_reports.Report(((row.identity, 0.0),), rows)
        is_own = not self._view.is_brittle(row)
        self._view.parts.merge(
            report if is_own else part_reports.Report(report.crashed), now
        )
        self.broadcast(part_messages.encode(report))

    def _send_report(self, report: crash_reports.Report) -> None:
        if report:
            self.broadcast(encode(report))


def list_presences(
    requests: abc.Iterable[Request], now: float
) -> dict[part_reports.Key, suspects.Presence]:
    """Return the presence of each part at a crash of now."""
    found: dict[part_reports.Key, list[Request]] = {}
    for request in requests:
        for key in request.keys:
            found.setdefault(key, []).append(request)
    return {
        key: suspects.Presence(
            min(one.sent_at for one in some),
            now,
            frozenset(one.workspace for one in some),
        )
        for key, some in found.items()
    }


def encode(report: crash_reports.Report) -> directory_messages.Crashed:
    """Return the message that carries a report."""
    return directory_messages.Crashed(report.ends, report.answers, report.alive)


def decode(message: directory_messages.Crashed) -> crash_reports.Report:
    """Return the report in a message; raises ``ValueError`` if it is malformed."""
    return crash_reports.decode_report(message.ends, message.answers, message.alive)


def drop_message(message: Message) -> None:
    """Drop a message because there are no links yet."""
