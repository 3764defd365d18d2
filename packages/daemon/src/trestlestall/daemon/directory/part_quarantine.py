"""The parts of prompts that are held because upstreams crash on them, at a directory.

Gateways report which parts were present at a crash to all directories, and directories
forward to each other what was new to them. The directory that places requests hears of
all answers, so it alone judges parts; it tells all others what it holds and clears.
"""

import dataclasses
import math
from collections import abc

from trestlestall.daemon import events, logs, part_messages
from trestlestall.daemon.directory import (
    links as directory_links,
    quarantine_file,
    request_trials,
)
from trestlestall.forwarding import (
    brittleness,
    descriptors,
    harmful_parts,
    part_evidence,
    part_reports,
)
from trestlestall.wire import clocks, directory_messages

#: Seconds for which a gateway may ask another directory without being taken for one
#: whose answers were not heard of: a directory that was slow once is asked again soon.
MISSED_SECONDS = 2.0
Verdict = harmful_parts.Verdict


class PartQuarantine:
    """The record of one directory; ``wake`` requests a turn.

    ``brittle`` tells which upstreams end if they reject too many requests.
    """

    def __init__(
        self,
        links: directory_links.Links,
        log: logs.Log,
        file: quarantine_file.QuarantineFile[part_reports.Report],
        brittle: brittleness.Brittleness,
        wake: abc.Callable[[], object],
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.record = harmful_parts.Record()
        self._links = links
        self._log = log
        self._file = file
        self._brittle = brittle
        self._wake = wake
        self._clock = clock
        self._updates: list[part_reports.Report] = []
        self._held: set[harmful_parts.Key] = set()
        #: Where requests with a part in doubt are kept, by part.
        self._kept_at: dict[harmful_parts.Key, str] = {}
        #: The request that tries each part now, and when the last trial failed.
        self._trials: dict[harmful_parts.Key, str] = {}
        self._failed_at: dict[harmful_parts.Key, float] = {}
        #: Since when each gateway asks this directory for places, and when it last did.
        self._asked_since: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self.record.merge(file.load(), clock())
        self._list_held()

    # Requests.

    def record_state(self, gateway: str) -> None:
        """Record that a gateway asks this directory from now on, or does so again."""
        now = self._clock()
        if now - self._asked_at.get(gateway, -math.inf) > MISSED_SECONDS:
            self._asked_since[gateway] = now
        self._asked_at[gateway] = now

    def evaluate(
        self, gateway: str, descriptor: descriptors.Descriptor
    ) -> harmful_parts.Finding:
        """Return the verdict on a request; harmless if its trial begins now."""
        now = self._clock()
        self._asked_since.setdefault(gateway, now)
        self._asked_at[gateway] = now
        if not len(self.record):
            return harmful_parts.HARMLESS
        held = self.record.list_held()
        keys = part_evidence.list_keys(descriptor)
        found = self.record.evaluate(keys, now, judges_since=self._find_judged_since())
        if self.record.list_held() != held:
            self._queue_update(self.record.report_held(now))
        if found.verdict is Verdict.ON_TRIAL:
            return self._evaluate_trial(descriptor, found, now)
        return found

    def _find_judged_since(self) -> float:
        """Return since when most of the linked gateways ask this directory.

        Otherwise it does not hear of most answers, and can't tell what speaks for a
        part.
        """
        asked = sorted(
            self._asked_since.get(gateway, math.inf)
            for gateway in self._links.list_gateways()
        )
        return asked[len(asked) // 2] if asked else math.inf

    def _evaluate_trial(
        self,
        descriptor: descriptors.Descriptor,
        found: harmful_parts.Finding,
        now: float,
    ) -> harmful_parts.Finding:
        """Let a request be tried if no other one is, or was a moment ago."""
        failed_at = self._failed_at.get(found.key, -math.inf)
        if (
            found.key in self._trials
            or now < failed_at + request_trials.TRIAL_INTERVAL_SECONDS
        ):
            return found
        self._trials[found.key] = descriptor.request_id
        return harmful_parts.HARMLESS

    def list_left_out(
        self, key: harmful_parts.Key, serving: abc.Collection[str]
    ) -> list[set[str]]:
        """Return the upstreams to leave out for a request with a part in doubt.

        The request is kept where others with this part are, away from those with other
        parts; the choices are in order of preference, the last one being to leave out
        none.
        """
        kept_at = self._kept_at.get(key)
        others = {one for part, one in self._kept_at.items() if part != key}
        choices = [others, set()]
        if kept_at in serving:
            choices.insert(0, set(serving) - {kept_at})
        return choices

    def keep(self, key: harmful_parts.Key, upstream: str) -> None:
        """Keep requests with a part in doubt at an upstream from now on."""
        self._kept_at[key] = upstream

    def record_answering(
        self, descriptor: descriptors.Descriptor, sent_at: float
    ) -> None:
        """Record the first event of a request."""
        keys = part_evidence.list_keys(descriptor)
        self.record.evidence.record_answering(
            descriptor.request_id, keys, sent_at, self._clock()
        )

    def cancel_trial(self, descriptor: descriptors.Descriptor) -> None:
        """Record that a request was not sent after all."""
        for key, request in list(self._trials.items()):
            if request == descriptor.request_id:
                del self._trials[key]

    def record_outcome(
        self,
        descriptor: descriptors.Descriptor,
        sent_at: float,
        failed: bool | None,
    ) -> None:
        """Record that a request has left its upstream; None says nothing of it."""
        keys = part_evidence.list_keys(descriptor)
        now = self._clock()
        if failed:
            for key, request in self._trials.items():
                if request == descriptor.request_id:
                    self._failed_at[key] = now
        self.cancel_trial(descriptor)
        self._queue_update(
            self.record.record_outcome(
                descriptor.request_id, keys, sent_at, failed is False, now
            )
        )

    # Reports.

    def handle(self, peer: str, message: directory_messages.PartsCrashed) -> None:
        """Merge a report of a gateway or another directory."""
        try:
            report = part_messages.decode(message)
        except ValueError as error:
            reason = str(error)
            self._log.write(events.directory.REPORT_REFUSED, source=peer, reason=reason)
            return
        now = self._clock()
        report = self._exclude_brittle(report, now)
        self._queue_update(self.record.merge(report, now))
        self._send(peer, self.record.evidence.list_exonerations(report, now))

    def _exclude_brittle(
        self, report: part_reports.Report, now: float
    ) -> part_reports.Report:
        """Leave out upstreams that ended for the requests that they rejected."""
        ends = tuple(
            end for end in report.ends if not self._brittle.has_rejected(end[2], now)
        )
        return dataclasses.replace(report, ends=ends)

    def remove_gateway(self, gateway: str) -> None:
        """Forget a gateway that is no longer linked."""
        self._asked_since.pop(gateway, None)
        self._asked_at.pop(gateway, None)

    def sync_peer(self, peer: str) -> None:
        """Send the record to a newly linked process."""
        now = self._clock()
        if self._links.is_directory(peer):
            self._send(peer, self.record.report(now))
        else:
            self._send(peer, self.record.report_held(now))

    def turn(self) -> None:
        """Store and send what is new since the last turn."""
        if not self._updates:
            return
        update, self._updates = part_reports.merge_reports(self._updates), []
        now = self._clock()
        self._list_held()
        self._forget_settled(now)
        self._file.save(self.record.report_held(now, self._kept_at))
        for peer in self._links.list_directories():
            self._send(peer, update)
        held = self.record.report_held(now)
        for_gateways = part_reports.Report((), held.ends, update.answers, held.held)
        for gateway in self._links.list_gateways():
            self._send(gateway, for_gateways)

    def _list_held(self) -> None:
        """Log the parts that are held, or held no longer, since the last call."""
        held = {key for group in self.record.list_held() for key in group}
        now = self._clock()
        for key in held - self._held:
            self._log.write(
                events.directory.PART_HELD,
                context=key.context,
                part=key.part,
                ends=self.record.evidence.list_crashes(key, now),
                evidence=self.record.describe(key, now),
            )
        for key in self._held - held:
            self._log.write(
                events.directory.PART_RELEASED, context=key.context, part=key.part
            )
        self._held = held

    def _forget_settled(self, now: float) -> None:
        """Forget where requests were kept, and what failed, once it says nothing."""
        self._kept_at = {
            key: upstream
            for key, upstream in self._kept_at.items()
            if self.record.evidence.list_crashes(key, now)
        }
        earliest = now - request_trials.TRIAL_INTERVAL_SECONDS
        self._failed_at = {
            key: at for key, at in self._failed_at.items() if at > earliest
        }

    def _queue_update(self, update: part_reports.Report) -> None:
        if update:
            self._updates.append(update)
            self._wake()

    def _send(self, peer: str, report: part_reports.Report) -> None:
        if report:
            self._links.send(peer, part_messages.encode(report))
