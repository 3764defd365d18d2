"""Requests that crash upstreams, identified by their digest; pure.

A request may crash every upstream that begins to run it. Its caller sends it again,
under a new id and to any process that forwards requests, so the record is kept by
request digest (of caller, method, place and body) and sent to all processes that
forward or place requests.

    record = Record()
    record.record_crash("d1", "upstream-4", now)
    record.evaluate("d1", now)

A crash is an incarnation of an upstream that ended while the request ran there. Each
incarnation counts once, whichever process reports it. A crashing upstream takes all of
its requests with it, most of which did no harm, and upstreams also crash by themselves.
So the following exonerates a request:

- it got a complete answer: earlier crashes no longer count, and for a minute it is
  allowed more new crashes, and these in several clusters;
- another request is the culprit of the crash, as enough upstreams crashed under it;
- the upstream has not crashed after all.
"""

import collections
import enum
import heapq
import math
from collections import abc

from trestlestall.forwarding import crash_reports

#: The reason for not sending a request.
HARMFUL = "upstreams ended while they ran this request"
#: Crashes from which on a request is no longer sent: the users' bound.
CRASHES_LIMIT = 3
#: The same within ``ANSWERED_SECONDS`` after a complete answer, and in how many
#: clusters, each ``CLUSTER_GAP_SECONDS`` after the one before. A request that many
#: callers send at the same time runs on all upstreams at once, and one common cause may
#: crash any number of them.
ANSWERED_CRASHES_LIMIT = 6
ANSWERED_CLUSTERS_LIMIT = 3
ANSWERED_SECONDS = 60.0
CLUSTER_GAP_SECONDS = 1.0
#: Seconds of quarantine after the last crash, by the crashes beyond the limit. One
#: attempt is allowed after it, so that a request that was blamed wrongly, or that
#: upstreams now tolerate, is served again, while a harmful one crashes two more
#: upstreams in a day.
QUARANTINE_SECONDS = (600.0, 3600.0, 86_400.0)
#: The same while all crashes fall into one cluster, which may have a common cause.
FIRST_QUARANTINE_SECONDS = 10.0
#: Seconds between finding a request harmful and taking it for the culprit of its
#: crashes. By then all processes have reported a crash, so that two requests that ran
#: together are both quarantined.
ATTRIBUTION_DELAY_SECONDS = 0.5
#: Seconds until a digest with fewer crashes than ``CRASHES_LIMIT`` may be evicted.
EXPIRY_SECONDS = 600.0
#: Seconds by which exonerating evidence must be later than what is known to be sent on
#: to others. It exceeds the transit time of messages, which makes evidence look later.
UPDATE_STEP_SECONDS = 1.0
#: Stands for the culprit of a crash that no request alone is to blame for.
EXPLAINED = ""
#: Capacity in digests with crashes, digests with answers, and incarnations. A crashing
#: upstream adds as many digests as ran there: 64 crashes fill the first.
DIGESTS_LIMIT = 4096
ANSWERS_LIMIT = 4096
INCARNATIONS_LIMIT = 1024
#: Digests that are evicted together when there is no capacity left, so that a flood of
#: crashes does not scan all digests for each of them.
EVICTION_BATCH = 128


class Verdict(enum.Enum):
    """The result of evaluating the crashes under a request."""

    HARMLESS = enum.auto()
    #: One more crash makes it harmful.
    DOUBTFUL = enum.auto()
    #: It must not be sent: it is quarantined.
    HARMFUL = enum.auto()
    #: Its quarantine is over: one attempt may show whether it still crashes upstreams.
    ON_TRIAL = enum.auto()


class BoundedDict(collections.OrderedDict):
    """A mapping that retains the ``limit`` keys that were set last."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def __setitem__(self, key: str, value: object) -> None:
        """Set a key, and evict the one that was set longest ago beyond the limit."""
        super().__setitem__(key, value)
        self.move_to_end(key)
        if len(self) > self._limit:
            self.popitem(last=False)


class Record:
    """Crashes, answers and verdicts by digest; times are of one process's clock."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, float]] = {}
        self._answered_at = BoundedDict(ANSWERS_LIMIT)
        self._crashed_at = BoundedDict(INCARNATIONS_LIMIT)
        self._alive_at = BoundedDict(INCARNATIONS_LIMIT)
        self._culprits = BoundedDict(INCARNATIONS_LIMIT)
        #: When a digest was found harmful, until it is taken for the culprit.
        self._unresolved: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of digests with crashes."""
        return len(self._crashes)

    # Recording.

    def record_crash(self, digest: str, incarnation: str, at: float) -> bool:
        """Record that an incarnation crashed under the request; true if it is new."""
        self._resolve(at)
        exonerated_at = max(
            self._alive_at.get(incarnation, -math.inf),
            self._answered_at.get(digest, -math.inf),
        )
        if at <= exonerated_at or self._culprits.get(incarnation, digest) != digest:
            return False
        crashes = self._crashes.get(digest, {})
        if incarnation in crashes:
            return False
        if not crashes:
            self._evict(at)
        crashes = self._crashes.setdefault(digest, {})
        crashes[incarnation] = at
        self._crashed_at.setdefault(incarnation, at)
        if len(crashes) == self._get_crashes_limit(digest):
            self._unresolved[digest] = at
        return True

    def record_answer(self, digest: str, at: float) -> bool:
        """Record a complete answer; return whether other processes must be notified."""
        known = self._answered_at.get(digest, -math.inf)
        self._answered_at[digest] = max(at, known)
        crashes = self._crashes.get(digest)
        if crashes is None:
            return False
        exonerated = [
            incarnation
            for incarnation, crashed_at in crashes.items()
            if crashed_at <= at
        ]
        for incarnation in exonerated:
            self._remove_crash(digest, incarnation)
        return bool(exonerated) or at > known + UPDATE_STEP_SECONDS

    def record_success(self, incarnation: str, sent_at: float) -> bool:
        """Record that an incarnation answered a request that was sent at a time.

        Return whether others must be notified that it had not crashed by then.
        """
        if sent_at <= self._crashed_at.get(incarnation, math.inf):
            return False
        return self.record_alive(incarnation, sent_at)

    def record_alive(self, incarnation: str, at: float) -> bool:
        """Record that an incarnation had not crashed at a time; true if that is new."""
        if at <= self._alive_at.get(incarnation, -math.inf) + UPDATE_STEP_SECONDS:
            return False
        self._alive_at[incarnation] = at
        self._crashed_at.pop(incarnation, None)
        exonerated = [
            digest
            for digest, crashes in self._crashes.items()
            if crashes.get(incarnation, math.inf) <= at
        ]
        for digest in exonerated:
            self._remove_crash(digest, incarnation)
        return True

    def record_explained(self, incarnations: abc.Iterable[str]) -> None:
        """Record that these crashes are due to something else than one request."""
        for incarnation in incarnations:
            if self._culprits.get(incarnation) == EXPLAINED:
                continue
            self._culprits[incarnation] = EXPLAINED
            blamed = [
                digest
                for digest, crashes in self._crashes.items()
                if incarnation in crashes
            ]
            for digest in blamed:
                self._remove_crash(digest, incarnation)

    # Evaluation.

    def evaluate(self, digest: str, now: float) -> Verdict:
        """Return the verdict on a request."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return Verdict.HARMLESS
        beyond = len(crashes) - self._get_crashes_limit(digest)
        if beyond < 0:
            return Verdict.DOUBTFUL if beyond == -1 else Verdict.HARMLESS
        clusters = count_clusters(crashes.values())
        if self._was_answered(digest) and clusters < ANSWERED_CLUSTERS_LIMIT:
            return Verdict.DOUBTFUL
        seconds = QUARANTINE_SECONDS[min(beyond, len(QUARANTINE_SECONDS) - 1)]
        if clusters == 1:
            seconds = FIRST_QUARANTINE_SECONDS
        quarantined_until = max(crashes.values()) + seconds
        return Verdict.HARMFUL if now < quarantined_until else Verdict.ON_TRIAL

    def list_crashes(self, digest: str, now: float) -> list[tuple[str, float]]:
        """Return the incarnations that crashed under a request, and ages in seconds."""
        crashes = self._crashes.get(digest, {})
        return [
            (incarnation, round(max(0.0, now - at), 3))
            for incarnation, at in crashes.items()
        ]

    # Exchange between records.

    def report(
        self, now: float, digests: abc.Iterable[str] | None = None
    ) -> crash_reports.Report:
        """Return what is known of these requests, or of all if no digests are given."""
        wanted = tuple(self._crashes if digests is None else digests)
        crashes = tuple(
            (digest, *crash)
            for digest in wanted
            for crash in self.list_crashes(digest, now)
        )
        alive = self._list_alive(now) if digests is None else ()
        return crash_reports.Report(crashes, self._list_answers(wanted, now), alive)

    def _list_answers(
        self, digests: abc.Iterable[str], now: float
    ) -> tuple[tuple[str, float], ...]:
        return tuple(
            (digest, round(max(0.0, now - self._answered_at[digest]), 3))
            for digest in digests
            if digest in self._answered_at
        )

    def _list_alive(self, now: float) -> tuple[tuple[str, float], ...]:
        return tuple(
            (one, round(max(0.0, now - at), 3)) for one, at in self._alive_at.items()
        )

    def list_quarantined(self, now: float) -> list[str]:
        """Return the digests that are quarantined or may make one attempt after it."""
        quarantined = (Verdict.HARMFUL, Verdict.ON_TRIAL)
        return [one for one in self._crashes if self.evaluate(one, now) in quarantined]

    def list_exonerations(
        self, report: crash_reports.Report, now: float
    ) -> crash_reports.Report:
        """Return what exonerates requests for which another record reports crashes.

        That record may lack this evidence: a process that was not linked when the
        evidence was sent did not receive it.
        """
        answered = {
            digest
            for digest, _, age in report.ends
            if self._answered_at.get(digest, -math.inf) >= now - age
        }
        alive = {
            incarnation
            for _, incarnation, age in report.ends
            if self._alive_at.get(incarnation, -math.inf) >= now - age
        }
        return crash_reports.Report(
            (),
            self._list_answers(sorted(answered), now),
            tuple(one for one in self._list_alive(now) if one[0] in alive),
        )

    def merge(self, report: crash_reports.Report, now: float) -> crash_reports.Report:
        """Merge another record's report; return what others must be notified of."""
        alive = tuple(
            one for one in report.alive if self.record_alive(one[0], now - one[1])
        )
        # Answers first: an answer that came before a crash raises its limit.
        answered = {
            digest
            for digest, age in report.answers
            if self.record_answer(digest, now - age)
        }
        crashes = tuple(
            crash
            for crash in report.ends
            if self.record_crash(*crash[:2], now - crash[2])
        )
        answered.update(digest for digest, _, _ in crashes)
        answers = self._list_answers(sorted(answered), now)
        return crash_reports.Report(crashes, answers, alive)

    # Internals.

    def _get_crashes_limit(self, digest: str) -> int:
        """Return the number of crashes that makes the request harmful."""
        return ANSWERED_CRASHES_LIMIT if self._was_answered(digest) else CRASHES_LIMIT

    def _was_answered(self, digest: str) -> bool:
        """Return whether it got a complete answer shortly before its first crash."""
        answered_at = self._answered_at.get(digest)
        crashes = self._crashes.get(digest)
        if answered_at is None or not crashes:
            return False
        return min(crashes.values()) - answered_at <= ANSWERED_SECONDS

    def _remove_crash(self, digest: str, incarnation: str) -> None:
        crashes = self._crashes[digest]
        del crashes[incarnation]
        if len(crashes) < self._get_crashes_limit(digest):
            self._unresolved.pop(digest, None)
        if not crashes:
            del self._crashes[digest]

    def _resolve(self, now: float) -> None:
        """Take harmful requests for culprits; exonerate those that ran beside them."""
        due = [
            digest
            for digest, at in self._unresolved.items()
            if now - at >= ATTRIBUTION_DELAY_SECONDS
        ]
        for digest in due:
            # An answer received later, or the digest before, may have exonerated it.
            was_pending = self._unresolved.pop(digest, None) is not None
            if not was_pending or len(self._crashes[digest]) < self._get_crashes_limit(
                digest
            ):
                continue
            for incarnation in self._crashes[digest]:
                self._culprits[incarnation] = digest
                self._exonerate_others(incarnation, digest)

    def _exonerate_others(self, incarnation: str, harmful: str) -> None:
        others = [
            digest
            for digest, crashes in self._crashes.items()
            if incarnation in crashes
            and digest != harmful
            and len(crashes) < self._get_crashes_limit(digest)
        ]
        for digest in others:
            self._remove_crash(digest, incarnation)

    def _evict(self, now: float) -> None:
        """Evict expired digests below the limit, else those with the fewest crashes."""
        if len(self._crashes) < DIGESTS_LIMIT:
            return
        due = [
            digest
            for digest, crashes in self._crashes.items()
            if len(crashes) < CRASHES_LIMIT
            and now - max(crashes.values()) > EXPIRY_SECONDS
        ]
        if not due:
            due = heapq.nsmallest(
                EVICTION_BATCH, self._crashes, self._rank_for_eviction
            )
        for digest in due:
            del self._crashes[digest]
            self._unresolved.pop(digest, None)

    def _rank_for_eviction(self, digest: str) -> tuple[int, float]:
        """Return the sort key: digests with many and with late crashes stay longest."""
        crashes = self._crashes[digest]
        return len(crashes), max(crashes.values())


def count_clusters(
    moments: abc.Iterable[float], gap: float = CLUSTER_GAP_SECONDS
) -> int:
    """Return the number of clusters of times that lie ``gap`` seconds apart.

    >>> count_clusters([5.0, 5.4, 7.0, 7.9, 8.1])
    3
    """
    counted, latest = 0, -math.inf
    for moment in sorted(moments):
        if moment - latest >= gap:
            counted, latest = counted + 1, moment
    return counted
