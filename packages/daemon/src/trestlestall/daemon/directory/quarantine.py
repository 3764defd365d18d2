"""The quarantine of requests under which upstreams crashed, at a directory.

Gateways report crashes to all directories, and directories forward to each other what
was new to them, so that the record survives the loss of any of them. Gateways receive
only the quarantined requests: these are few, and the others matter only to the
directory that places requests.
"""

import dataclasses
from collections import abc

from trestlestall.daemon import events, logs
from trestlestall.daemon.directory import links as directory_links, quarantine_file
from trestlestall.forwarding import crash_reports, crashes
from trestlestall.wire import clocks, directory_messages


class Quarantine:
    """The crash record of one directory; ``wake`` requests a turn.

    ``is_brittle`` returns whether an upstream ends if it rejects too many requests;
    ``on_alive`` is called with one that has not crashed after all.
    """

    def __init__(
        self,
        links: directory_links.Links,
        log: logs.Log,
        file: quarantine_file.QuarantineFile,
        wake: abc.Callable[[], object],
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.record = crashes.Record()
        self.is_brittle: abc.Callable[[str], bool] = lambda upstream: False
        self.on_alive: abc.Callable[[str], object] = lambda upstream: None
        self._file = file
        self._links = links
        self._log = log
        self._wake = wake
        self._clock = clock
        self._updates: list[crash_reports.Report] = []
        self._quarantined: set[str] = set()
        self.record.merge(file.load(), clock())

    def evaluate(self, digest: str) -> crashes.Verdict:
        """Return the verdict on a request, by the crashes that it was present at."""
        return self.record.evaluate(digest, self._clock())

    def handle_crashes(self, peer: str, message: directory_messages.Crashed) -> None:
        """Merge a crash report of a gateway or another directory."""
        try:
            report = crash_reports.decode_report(
                message.ends, message.answers, message.alive
            )
        except ValueError as error:
            reason = str(error)
            self._log.write(events.directory.REPORT_REFUSED, source=peer, reason=reason)
            return
        report = self._exclude_brittle(report)
        now = self._clock()
        self._queue_update(self.record.merge(report, now))
        for incarnation, _ in report.alive:
            self.on_alive(incarnation)
        self._send(peer, self.record.list_exonerations(report, now))

    def _exclude_brittle(self, report: crash_reports.Report) -> crash_reports.Report:
        """Leave out upstreams that end for lack of room, not for what requests do."""
        ends = tuple(end for end in report.ends if not self.is_brittle(end[1]))
        return dataclasses.replace(report, ends=ends)

    def record_success(self, digest: str, start: str, sent_at: float) -> None:
        """Record the answer to a request sent to the incarnation ``start``."""
        now = self._clock()
        if self.record.record_answer(digest, now):
            self._queue_update(crash_reports.Report(answers=((digest, 0.0),)))
        if self.record.record_success(start, sent_at):
            self.on_alive(start)
            alive = (start, max(0.0, now - sent_at))
            self._queue_update(crash_reports.Report(alive=(alive,)))

    def sync_peer(self, peer: str) -> None:
        """Send the record to a newly linked process."""
        now = self._clock()
        digests = (
            None if self._links.is_directory(peer) else self._list_quarantined(now)
        )
        self._send(peer, self.record.report(now, digests))

    def turn(self) -> None:
        """Store and send what is new since the last turn."""
        if not self._updates:
            return
        update, self._updates = merge_reports(self._updates), []
        now = self._clock()
        self._file.save(self.record.report(now, self._list_quarantined(now)))
        for peer in self._links.list_directories():
            self._send(peer, update)
        for_gateways = self._choose_for_gateways(update, now)
        for gateway in self._links.list_gateways():
            self._send(gateway, for_gateways)

    def _choose_for_gateways(
        self, update: crash_reports.Report, now: float
    ) -> crash_reports.Report:
        """Return what gateways need: all crashes of affected quarantined requests."""
        affected = {digest for digest, _, _ in update.ends}
        held = affected.intersection(self._list_quarantined(now))
        complete = self.record.report(now, sorted(held))
        answers = dict((*complete.answers, *update.answers))
        return crash_reports.Report(complete.ends, tuple(answers.items()), update.alive)

    def _list_quarantined(self, now: float) -> list[str]:
        """Return the quarantined requests; log additions and removals."""
        held = self.record.list_quarantined(now)
        for digest in set(held) - self._quarantined:
            self._log.write(
                events.directory.HARMFUL,
                digest=digest,
                ends=self.record.list_crashes(digest, now),
            )
        for digest in self._quarantined.difference(held):
            self._log.write(events.directory.QUARANTINE_LIFTED, digest=digest)
        self._quarantined = set(held)
        return held

    def _queue_update(self, update: crash_reports.Report) -> None:
        if update:
            self._updates.append(update)
            self._wake()

    def _send(self, peer: str, report: crash_reports.Report) -> None:
        if report:
            message = directory_messages.Crashed(
                report.ends, report.answers, report.alive
            )
            self._links.send(peer, message)


def merge_reports(reports: abc.Iterable[crash_reports.Report]) -> crash_reports.Report:
    """Merge reports from a moment ago into one; their ages are not adjusted."""
    reports = tuple(reports)
    return crash_reports.Report(
        tuple(end for report in reports for end in report.ends),
        tuple(answer for report in reports for answer in report.answers),
        tuple(start for report in reports for start in report.alive),
    )
