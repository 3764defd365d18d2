"""Upstreams that ended while requests ran there, and requests that are held for it.

A connection also ends with a reset, a release or a spoiled answer, and a host that is
cut off answers nothing. A process that has ended is told from these by its host: it
refuses connections at once.
"""

import errno
import socket
from collections import abc

import eventlet
import eventlet.event

from trestlestall.daemon import events
from trestlestall.daemon.gateway import (
    knowledge as knowledges,
    metrics as gateway_metrics,
    reaching,
)
from trestlestall.forwarding import crash_reports, upstreams
from trestlestall.wire import addresses, messages

#: Seconds within which a host answers a connection: many round trips of a region.
REFUSAL_SECONDS = 0.1
ENDED = "ended while requests ran there"

Tell = abc.Callable[[messages.Crashed], object]


class Doubt:
    """An upstream that closed connections, and the requests that ran there."""

    def __init__(self, started: float) -> None:
        self.started = started
        self.digests: list[str] = []
        self.cleared = eventlet.event.Event()


class Endings:
    """What this gateway sees of ends; ``tell`` is set once it has links."""

    def __init__(
        self,
        knowledge: knowledges.Knowledge,
        reach: reaching.Reaching,
        metrics: gateway_metrics.Metrics,
    ) -> None:
        self.tell: Tell = tell_nobody
        self._knowledge = knowledge
        self._reaching = reach
        self._metrics = metrics
        self._doubts: dict[str, Doubt] = {}

    def note_broken(self, row: upstreams.Row, digest: str) -> bool:
        """Return whether an upstream that closed a connection has ended.

        Returns once that is known, so that the request's next send can be judged by it:
        after a round trip, at the latest after ``REFUSAL_SECONDS``.
        """
        doubt = self._doubts.get(row.identity)
        if doubt is None:
            doubt = self._doubts[row.identity] = Doubt(self._knowledge.clock())
            eventlet.spawn(self._look, row, doubt)
        doubt.digests.append(digest)
        return doubt.cleared.wait()

    def note_answered(self, digest: str) -> None:
        """Note that a request got a whole answer."""
        record = self._knowledge.crashes
        now = self._knowledge.clock()
        if record.note_answer(digest, now):
            self._tell(crash_reports.Report(answers=((digest, 0.0),)))

    def take(self, message: messages.Crashed) -> None:
        """Take in what a directory tells; raises ``ValueError`` if it can't be so."""
        told = decode(message)
        self._knowledge.crashes.take(told, self._knowledge.clock())

    def report(self) -> messages.Crashed:
        """Return all that is known here, for a directory that was just linked."""
        return encode(self._knowledge.crashes.report(self._knowledge.clock()))

    def _look(self, row: upstreams.Row, doubt: Doubt) -> None:
        ended = is_refused(row.address)
        del self._doubts[row.identity]
        if ended:
            self._note_ended(row, doubt)
        doubt.cleared.send(ended)

    def _note_ended(self, row: upstreams.Row, doubt: Doubt) -> None:
        now = self._knowledge.clock()
        self._reaching.note_unreachable(row, ENDED)
        self._metrics.ended_upstreams.inc()
        self._knowledge.log.write(
            events.forwarding.ENDED_UNDER,
            upstream=row.identity,
            address=row.address,
            broken=len(doubt.digests),
            seconds=round(now - doubt.started, 4),
        )
        if self._is_leaving(row):
            return
        record = self._knowledge.crashes
        fresh = [
            digest
            for digest in dict.fromkeys(doubt.digests)
            if record.note_end(digest, row.identity, now)
        ]
        told = tuple((digest, row.identity, 0.0) for digest in fresh)
        answers = record.report(now, fresh).answers
        self._tell(crash_reports.Report(told, answers))

    def _is_leaving(self, row: upstreams.Row) -> bool:
        """Return whether the upstream announced its end: no request is to blame."""
        known = self._knowledge.table.rows.get(row.identity, row)
        return known.state is not upstreams.State.SERVING

    def _tell(self, report: crash_reports.Report) -> None:
        if report:
            self.tell(encode(report))


def encode(report: crash_reports.Report) -> messages.Crashed:
    """Return the message that carries a report."""
    return messages.Crashed(report.ends, report.answers, report.alive)


def decode(message: messages.Crashed) -> crash_reports.Report:
    """Return what a message tells; raises ``ValueError`` when it can't be so."""
    return crash_reports.decode_report(message.ends, message.answers, message.alive)


def tell_nobody(message: messages.Crashed) -> None:
    """Tell nobody: there are no links yet."""


def is_refused(address: str) -> bool:
    """Return whether the host of ``IP:port`` says that nobody listens there."""
    pair = addresses.parse(address)
    try:
        socket.create_connection(pair, timeout=REFUSAL_SECONDS).close()
    except OSError as error:
        return error.errno == errno.ECONNREFUSED
    return False
