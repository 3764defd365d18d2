"""Budgets of retries for each service, so that retries never pile up.

In any window the attempts beyond the first of each request stay below a ratio of the
callers' requests for the service plus a fixed slack, whatever happens to the processes
that forward them. A forwarding process may be killed and restarted within the window in
which it consumed retries, so it keeps no budget: the directory that places requests
also grants retries, and each directory sends its counts to the others.

    ledger = Ledger("directory-1#5f", now)
    ledger.record_request("engines", now)
    ledger.consume("engines", bound, Coverage.COMPLETE, now)

A directory may grant only a small part of the bound before a majority has acknowledged
it, and then waits: otherwise a directory behind a network partition could consume what
its successor, which does not know of it, grants again.

A ledger is the sum of slot counts, one for each source, service and slot of time. A
slot count only grows, so ledgers that merged the same counts are equal, in whatever
order and however often the counts arrived.
"""

import collections
import dataclasses
import enum
import math

from trestlestall.forwarding import slot_counts

#: The reason for not retrying a request.
EXHAUSTED = "no repeated send is left"
#: The longest window of a bound, in seconds; counts are retained that long if unread.
LONGEST_WINDOW = 60.0
#: Seconds between two calls of ``update_coverage`` after which the process was stalled
#: and others may have consumed retries meanwhile: twenty turns of a directory.
STALL_SECONDS = 1.0
#: Seconds within which a requested snapshot must arrive: several turns of two
#: directories. A later one does not cover what was consumed since it was taken.
SNAPSHOT_TIMEOUT_SECONDS = 0.5
#: Seconds for which a snapshot of another directory is valid without a quorum: two
#: elections, and the links of a directory that is back.
SNAPSHOT_VALID_SECONDS = 3.0


class Coverage(enum.Enum):
    """How much of the consumed retries the process that decides can know."""

    #: A directory that is linked to a quorum and covers the last window.
    COMPLETE = "whole"
    #: A directory that started or was stalled recently, or has no quorum.
    PARTIAL = "part"
    #: A forwarding process that gets no answer from a directory.
    ALONE = "alone"


class Verdict(enum.Enum):
    """A ledger's decision on one more retry."""

    GRANTED = enum.auto()
    DENIED = enum.auto()
    #: Not before others have acknowledged what was granted so far.
    LATER = enum.auto()


#: The share of the bound that each coverage may consume. With ``UNACKNOWLEDGED_SHARE``
#: they add up to 1: within one window a directory may consume its share, another one
#: may replace it, and processes may go on alone. Each request is counted at one place,
#: so neither a second kill nor a third gains anything. Random schedules of a fleet in
#: virtual time (``tests/fleet.py``) check that the bound holds; their figures are in
#: docs/incidents/respent.md.
SHARES = {Coverage.COMPLETE: 0.77, Coverage.PARTIAL: 0.1, Coverage.ALONE: 0.08}
#: The share of the bound that may be granted before a majority has acknowledged it: ten
#: retries of a fleet with 77 requests a second. An acknowledgement takes milliseconds.
UNACKNOWLEDGED_SHARE = 0.05


@dataclasses.dataclass(frozen=True)
class Bound:
    """``ratio`` of the requests plus ``slack``, in each ``window`` of seconds."""

    ratio: float
    slack: float
    window: float

    def find_limit(self, requests: int, coverage: Coverage) -> float:
        """Return how many retries the window allows a process with the coverage.

        Only a process with complete coverage may use the slack.
        """
        slack = self.slack if coverage is Coverage.COMPLETE else 0.0
        return SHARES[coverage] * (self.ratio * requests + slack)


class Ledger:
    """Requests and retries of all sources; times are monotonic seconds.

    ``source`` identifies this process and its start uniquely. ``granted`` is how many
    retries it has granted, ``acknowledged`` how many of them each peer has received.
    """

    def __init__(self, source: str, now: float) -> None:
        self.source = source
        self._since = now
        self._checked_at = now
        self._snapshot_at = -math.inf
        self._is_founding = False
        self._counts: dict[tuple[str, str, int], slot_counts.SlotCount] = {}
        self._pending: dict[tuple[str, int], slot_counts.SlotCount] = {}
        self.granted = 0
        self._sent_granted = 0
        self.acknowledged: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of slot counts."""
        return len(self._counts)

    def record_first_start(self) -> None:
        """Record that the whole deployment starts now: nothing was consumed before."""
        self._since = -math.inf
        self._is_founding = True

    def update_coverage(self, now: float, has_quorum: bool = True) -> None:
        """Update since when this ledger covers what all directories consumed.

        Others may have consumed retries unknown to this ledger while the process was
        stalled since the last call, and while it has no quorum, until it has merged a
        snapshot of the whole window from one of them. A deployment that has just been
        founded has no quorum at first, and consumes nothing.
        """
        self._is_founding = self._is_founding and not has_quorum
        has_snapshot = (
            self._is_founding or now - self._snapshot_at <= SNAPSHOT_VALID_SECONDS
        )
        cut_off = not has_quorum and not has_snapshot
        if cut_off or now - self._checked_at > STALL_SECONDS:
            self._since = now
        self._checked_at = now

    def covers(self, window: float, now: float) -> bool:
        """Return whether all counts of the last window are known."""
        return now - self._since >= window

    # Counts of this process.

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._get_slot_count(service, now).requests += 1

    def evaluate(
        self,
        service: str,
        bound: Bound,
        coverage: Coverage,
        now: float,
        majority: int = 0,
    ) -> Verdict:
        """Return whether one more retry is left.

        ``majority`` is how many others must have acknowledged what was granted here.
        """
        requests, retries = self.count(service, bound, now)
        limit = bound.find_limit(requests, coverage)
        if retries + 1 > limit:
            return Verdict.DENIED
        if coverage is Coverage.COMPLETE and self._count_unacknowledged(majority) > (
            UNACKNOWLEDGED_SHARE * limit
        ):
            return Verdict.LATER
        return Verdict.GRANTED

    def consume(
        self,
        service: str,
        bound: Bound,
        coverage: Coverage,
        now: float,
        majority: int = 0,
    ) -> Verdict:
        """Consume one retry of the budget if ``evaluate`` grants it."""
        verdict = self.evaluate(service, bound, coverage, now, majority)
        if verdict is Verdict.GRANTED:
            self.record_retry(service, now)
        return verdict

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry that ``evaluate`` has granted."""
        self._get_slot_count(service, now).repeats += 1
        self.granted += 1

    def record_acknowledgement(self, peer: str, granted: int) -> None:
        """Record that a peer has received all of the first ``granted`` retries."""
        self.acknowledged[peer] = max(granted, self.acknowledged.get(peer, 0))

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that is no longer linked."""
        self.acknowledged.pop(peer, None)

    def _count_unacknowledged(self, majority: int) -> int:
        """Return how many retries granted here a majority has not acknowledged."""
        if majority == 0:
            return 0
        seen = sorted(self.acknowledged.values(), reverse=True)
        return self.granted - (seen[majority - 1] if len(seen) >= majority else 0)

    def count(self, service: str, bound: Bound, now: float) -> tuple[int, int]:
        """Return the requests and the retries of the window."""
        self._expire_before(now - bound.window - slot_counts.SLOT_SECONDS)
        found = [
            slot_count
            for (_, name, _), slot_count in self._counts.items()
            if name == service
        ]
        requests = sum(slot_count.requests for slot_count in found)
        return requests, sum(slot_count.repeats for slot_count in found)

    def count_by_source(self, service: str, bound: Bound, now: float) -> dict[str, int]:
        """Return the retries of the window by the process that granted them."""
        self._expire_before(now - bound.window - slot_counts.SLOT_SECONDS)
        found = collections.Counter()
        for (source, name, _), slot_count in self._counts.items():
            if name == service and slot_count.repeats:
                found[source] += slot_count.repeats
        return dict(found)

    def _get_slot_count(self, service: str, now: float) -> slot_counts.SlotCount:
        number = int(now / slot_counts.SLOT_SECONDS)
        key = self.source, service, number
        slot_count = self._counts.get(key)
        if slot_count is None:
            self._expire_before(now - LONGEST_WINDOW)
            slot_count = slot_counts.SlotCount(number * slot_counts.SLOT_SECONDS)
            self._counts[key] = slot_count
        self._pending[service, number] = slot_count
        return slot_count

    def _expire_before(self, limit: float) -> None:
        for stored in (self._counts, self._pending):
            for key in [
                key for key, slot_count in stored.items() if slot_count.at < limit
            ]:
                del stored[key]

    # Exchange between ledgers.

    def collect_update(self, now: float) -> slot_counts.Update | None:
        """Return what was counted here since the last call, if others must know.

        Retries are sent at once; requests alone, which only allow more retries, are
        sent once their slot is over.
        """
        current = int(now / slot_counts.SLOT_SECONDS)
        due = {
            key: slot_count
            for key, slot_count in self._pending.items()
            if self.granted > self._sent_granted or key[1] < current
        }
        if not due:
            return None
        self._sent_granted = self.granted
        for key in due:
            del self._pending[key]
        plain = ((*key, slot_count) for key, slot_count in due.items())
        return slot_counts.Update(
            self.source, 0.0, slot_counts.encode_counts(plain, now), self.granted
        )

    def list_snapshot(self, window: float, now: float) -> list[slot_counts.Update]:
        """Return all counts of the window, for a ledger that may know less."""
        self._expire_before(now - window - slot_counts.SLOT_SECONDS)
        sources = collections.defaultdict(list)
        for (source, service, number), slot_count in self._counts.items():
            sources[source].append((service, number, slot_count))
        sources.setdefault(self.source, [])
        known = window if self.covers(window, now) else 0.0
        *others, last = sources.items()
        # Only the last update confirms that the snapshot is complete.
        updates = [
            slot_counts.Update(source, 0.0, slot_counts.encode_counts(own, now))
            for source, own in others
        ]
        return [
            *updates,
            slot_counts.Update(last[0], known, slot_counts.encode_counts(last[1], now)),
        ]

    def merge(
        self, update: slot_counts.Update, now: float, asked_at: float = -math.inf
    ) -> None:
        """Merge an update; ``asked_at`` is when this process requested it."""
        for service, number, age, requests, retries in update.tallies:
            key = update.source, service, number
            slot_count = self._counts.setdefault(key, slot_counts.SlotCount(now - age))
            # Transit time makes a count look younger than it is, never older.
            slot_count.at = min(slot_count.at, now - age)
            slot_count.requests = max(slot_count.requests, requests)
            slot_count.repeats = max(slot_count.repeats, retries)
        if update.known and now - asked_at <= SNAPSHOT_TIMEOUT_SECONDS:
            self._since = min(self._since, now - update.known)
            self._snapshot_at = now
