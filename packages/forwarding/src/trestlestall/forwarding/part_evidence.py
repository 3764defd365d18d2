"""The evidence of all parts of prompts that were present at crashes; pure.

What one part is blamed for, and what speaks for it, is in ``suspects``.
"""

import heapq
import math
from collections import abc

from trestlestall.forwarding import crashes, descriptors, part_reports, suspects

#: Seconds over which the usual rate of crashes is measured, and the crashes that are
#: added to it, so that it is never 0.
RATE_SECONDS = 30.0
PRIOR_CRASHES = 0.5
#: Seconds before a part's first crash in which an answer counts in its favour.
ANSWERED_SECONDS = 60.0
#: Seconds until crashes under a part that is not held are forgotten.
EXPIRY_SECONDS = 600.0
#: Parts of one prompt that are looked at, the first ones.
PARTS_LIMIT = 64
#: Parts with crashes, and those evicted together: the ones with fewest crashes first.
SUSPECTS_LIMIT = 4096
EVICTION_BATCH = 128
#: The incarnations, and the parts with answers, of which the last ones are kept.
INCARNATIONS_LIMIT = 1024
ANSWERS_LIMIT = 4096

Key = part_reports.Key


class Evidence:
    """Crashes, and for each part where it was present and when it was answered.

    Times are of one process's clock, in seconds.
    """

    def __init__(self) -> None:
        self.suspects: dict[Key, suspects.Suspect] = {}
        self._serving_count = 1
        self._counted_at = -math.inf
        self._crashed_at = crashes.BoundedDict(INCARNATIONS_LIMIT)
        #: When the last request was sent that is known to be answered whole.
        self._answered = crashes.BoundedDict(ANSWERS_LIMIT)
        self._answering: dict[Key, dict[str, suspects.Answering]] = {}

    def record_serving(self, count: int, now: float) -> None:
        """Record how many upstreams serve; the most of the last time is used.

        Those that have just crashed belong to the usual number.
        """
        is_outdated = now > self._counted_at + RATE_SECONDS
        if count >= self._serving_count or is_outdated:
            self._serving_count, self._counted_at = max(1, count), now

    def record_crash(self, incarnation: str, at: float) -> bool:
        """Record that an incarnation crashed, whatever ran there; true if it is new."""
        if incarnation in self._crashed_at:
            return False
        self._crashed_at[incarnation] = at
        return True

    def record_alive(self, incarnation: str) -> None:
        """Record that an incarnation had not crashed after all."""
        self._crashed_at.pop(incarnation, None)

    def add(
        self,
        key: Key,
        incarnation: str,
        presence: suspects.Presence,
        held: abc.Container[Key],
    ) -> bool:
        """Add requests with a part that ended; return whether they change anything.

        Requests that were sent before one that was answered are no evidence. Parts that
        are ``held`` are not evicted.
        """
        if presence.sent_at <= self._answered.get(key, -math.inf):
            return False
        suspect = self.suspects.get(key) or self._add_suspect(key, presence, held)
        return suspect.add(incarnation, presence)

    def _add_suspect(
        self, key: Key, presence: suspects.Presence, held: abc.Container[Key]
    ) -> suspects.Suspect:
        self._evict(presence.at, held)
        since = presence.sent_at - ANSWERED_SECONDS
        was_answered = self._answered.get(key, -math.inf) > since
        answering = self._answering.setdefault(key, {})
        self.suspects[key] = suspects.Suspect(answering, was_answered)
        return self.suspects[key]

    def record_answer(self, key: Key, sent_at: float) -> bool:
        """Record a whole answer; return whether it clears the part of any crash."""
        self._answered[key] = max(sent_at, self._answered.get(key, sent_at))
        suspect = self.suspects.get(key)
        return suspect is not None and suspect.remove_sent_until(sent_at)

    def record_answering(
        self, request: str, keys: abc.Iterable[Key], sent_at: float, now: float
    ) -> None:
        """Record the first event of a request."""
        for key in keys:
            answering = self._answering.setdefault(key, {})
            answering[request] = suspects.Answering(sent_at, now)

    def record_left(self, request: str, keys: abc.Iterable[Key], now: float) -> None:
        """Record that a request has left its upstream."""
        for key in keys:
            answering = self._answering.get(key, {})
            left = answering.pop(request, None)
            suspect = self.suspects.get(key)
            if suspect is not None and left is not None:
                suspect.record_left(left, now)
            if not answering and suspect is None:
                self._answering.pop(key, None)

    def compute_score(
        self, key: Key, now: float, explained: abc.Container[str]
    ) -> float:
        """Return the score of a part (``suspects``).

        The usual rate of crashes is that of those which are not ``explained``.
        """
        suspect = self.suspects[key]
        others = sum(
            at > now - RATE_SECONDS
            and incarnation not in suspect.presences
            and incarnation not in explained
            for incarnation, at in self._crashed_at.items()
        )
        upstream_seconds = self._serving_count * RATE_SECONDS
        return suspect.compute_score((others + PRIOR_CRASHES) / upstream_seconds, now)

    def list_rivals(self, key: Key) -> list[Key]:
        """Return the other parts that were present at all but one of its crashes.

        What ran at the last one may not be reported yet.
        """
        wanted = self.suspects[key].presences.keys()
        return [
            other
            for other, suspect in self.suspects.items()
            if other != key
            and len(wanted & suspect.presences.keys()) >= len(wanted) - 1
        ]

    def list_crashes(self, key: Key, now: float) -> list[tuple[str, float]]:
        """Return the incarnations that crashed under a part, and ages in seconds."""
        suspect = self.suspects.get(key)
        if suspect is None:
            return []
        return [
            (incarnation, round(max(0.0, now - one.at), 3))
            for incarnation, one in suspect.presences.items()
        ]

    def list_exonerations(
        self, report: part_reports.Report, now: float
    ) -> part_reports.Report:
        """Return the answers that clear parts of crashes that another record reports.

        A process that was not linked when they were sent did not receive them.
        """
        cleared = {
            key
            for context, part, _, _, sent_age, _ in report.ends
            if self._answered.get(key := Key(context, part), -math.inf)
            >= now - sent_age
        }
        return part_reports.Report(answers=self.list_answers(cleared, now))

    def list_answers(
        self, keys: abc.Iterable[Key], now: float
    ) -> tuple[tuple[str, str, float], ...]:
        return tuple(
            (key.context, key.part, round(max(0.0, now - self._answered[key]), 4))
            for key in keys
        )

    def list_ends(self, keys: abc.Iterable[Key], now: float) -> tuple:
        """Return the rows of ``part_reports.Report.ends`` of some parts."""
        return tuple(
            encode_end(key, incarnation, presence, now)
            for key in keys
            if key in self.suspects
            for incarnation, presence in self.suspects[key].presences.items()
        )

    def list_crashed(self, now: float) -> tuple[tuple[str, float], ...]:
        return tuple(
            (incarnation, round(max(0.0, now - at), 3))
            for incarnation, at in self._crashed_at.items()
            if now - at < RATE_SECONDS
        )

    def _evict(self, now: float, held: abc.Container[Key]) -> None:
        """Evict expired parts, else those with the fewest crashes."""
        if len(self.suspects) < SUSPECTS_LIMIT:
            return
        free = [key for key in self.suspects if key not in held]
        due = [key for key in free if now - self.suspects[key].latest > EXPIRY_SECONDS]
        for key in due or heapq.nsmallest(EVICTION_BATCH, free, self._rank):
            del self.suspects[key]

    def _rank(self, key: Key) -> tuple[int, float]:
        """Return the sort key: parts with many and with late crashes stay longest."""
        suspect = self.suspects[key]
        return len(suspect.presences), suspect.latest


def list_keys(descriptor: descriptors.Descriptor) -> tuple[Key, ...]:
    """Return the parts of a prompt that may be held: all but its last.

    The last one belongs to the request itself.
    """
    context = f"{descriptor.service}/{descriptor.model}"
    shared = dict.fromkeys(part.identity for part in descriptor.parts[:-1])
    return tuple(
        Key(context, part)
        for part in list(shared)[:PARTS_LIMIT]
        if 0 < len(part) <= part_reports.NAME_LENGTH
    )


def encode_end(
    key: Key, incarnation: str, presence: suspects.Presence, now: float
) -> tuple[str, str, str, tuple[str, ...], float, float]:
    """Return the row of ``part_reports.Report.ends`` of requests at a crash."""
    return (
        key.context,
        key.part,
        incarnation,
        tuple(sorted(presence.workspaces)),
        round(max(0.0, now - presence.sent_at), 4),
        round(max(0.0, now - presence.at), 4),
    )
