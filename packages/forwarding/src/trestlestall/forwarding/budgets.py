"""Budgets of retries for each service, so that retries never pile up.

In any window the attempts beyond the first of each request stay below a ratio of the
callers' requests for the service plus a fixed slack, whatever happens to the processes
that forward them. A forwarding process may be killed and restarted within the window in
which it consumed retries, so it keeps no budget: the directory that places requests
also grants retries.

    ledger = Ledger("directory-1#5f", now)
    ledger.record_request("engines", now)
    ledger.consume("engines", bound, Coverage.COMPLETE, now, voters)

Two directories may grant at the same time, or one after the other, and need not reach
each other. So a directory writes its grants to a majority of the voters, and reads in
the same exchange: who acknowledges a grant answers with all counts that it holds. Two
majorities share a voter, and the second directory to reach it learns there what the
first one has granted. Before the answers a directory grants only a small part of the
bound, and then waits.

A voter that restarts has forgotten what it acknowledged. It counts as incomplete until
a window has passed, or until so many other voters have answered it that no majority
without one of them can have acknowledged anything.
"""

import dataclasses
import enum

from trestlestall.forwarding import slot_counts

#: The reason for not retrying a request.
EXHAUSTED = "no repeated send is left"
#: The longest window of a bound, in seconds; counts are retained that long if unread.
LONGEST_WINDOW = 60.0


class Coverage(enum.Enum):
    """How much of the consumed retries the process that decides can know."""

    #: A directory that knows the window, and whose grants a majority can acknowledge.
    COMPLETE = "whole"
    #: A directory that started recently, or reaches no majority.
    PARTIAL = "part"
    #: A forwarding process that gets no answer from a directory.
    ALONE = "alone"


class Verdict(enum.Enum):
    """A ledger's decision on one more retry."""

    GRANTED = enum.auto()
    DENIED = enum.auto()
    #: Not before others have acknowledged what was granted so far.
    LATER = enum.auto()


#: The share of the bound that each coverage may consume. With what others may grant
#: unseen they add up to 1, for the ratio's part and for the slack: within one window a
#: directory may consume its share, another one may replace it, and processes may go on
#: alone. Each request is counted at one place, so neither a second kill nor a third
#: gains anything. Random schedules of a fleet in virtual time (``tests/fleet.py``)
#: check that the bound holds; figures: docs/incidents/unread-counts.md.
SHARES = {Coverage.COMPLETE: 0.77, Coverage.PARTIAL: 0.1, Coverage.ALONE: 0.08}
#: The share of the ratio's part that all other directories may have granted unseen,
#: each an equal part, as no majority has acknowledged it yet.
UNACKNOWLEDGED_SHARE = 0.05
#: The same of the slack, which only directories with complete coverage use.
UNACKNOWLEDGED_SLACK_SHARE = 0.23


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

    def find_unseen(self, requests: int) -> float:
        """Return how many retries of all other directories may be unknown to one."""
        by_ratio = UNACKNOWLEDGED_SHARE * self.ratio * requests
        return by_ratio + UNACKNOWLEDGED_SLACK_SHARE * self.slack


@dataclasses.dataclass(frozen=True)
class Voters:
    """The other directories that vote, by name, and whether this one votes too."""

    others: frozenset[str] = frozenset()
    includes_own: bool = True

    @property
    def count(self) -> int:
        """How many vote."""
        return len(self.others) + self.includes_own

    @property
    def acknowledgements(self) -> int:
        """How many others make a majority, with this one if it votes."""
        return self.count // 2 + 1 - self.includes_own

    @property
    def readers(self) -> int:
        """The least number of others of which each majority with this one has one."""
        return self.count - self.count // 2


#: A directory that votes alone.
SOLE = Voters()


@dataclasses.dataclass
class Peer:
    """What is known of another directory's ledger, and what it knows of this one.

    ``source`` identifies its process; everything in its table up to the version
    ``heard`` is known here. It has acknowledged the own counts up to the version
    ``confirmed`` of the table here, with the first ``granted`` retries. ``sent`` is the
    version up to which own counts were last sent to it, in the slot ``sent_in``.
    ``is_earlier`` is whether it runs an earlier build.
    """

    source: str = ""
    heard: int = 0
    confirmed: int = 0
    granted: int = 0
    is_complete: bool = False
    sent: int = 0
    sent_in: int = -1
    is_earlier: bool = False


@dataclasses.dataclass(frozen=True)
class Counts:
    """A directory's own counts up to ``version``, sent to another one.

    ``granted`` is how many retries it has granted in total. ``heard`` is up to which
    version of the receiver's table, of the process ``heard_of``, it knows everything.
    """

    source: str
    version: int
    granted: int
    heard_of: str
    heard: int
    rows: tuple[slot_counts.Row, ...]


@dataclasses.dataclass(frozen=True)
class Acknowledgement:
    """The answer to ``Counts``: all that the sender holds and the receiver may lack.

    ``asked_by``, ``confirmed`` and ``granted`` are the first three fields of the counts
    that are acknowledged. ``is_complete`` is whether the sender knows of all retries of
    the window that a majority with it has acknowledged.
    """

    source: str
    version: int
    is_complete: bool
    asked_by: str
    confirmed: int
    granted: int
    rows: tuple[slot_counts.Row, ...]


class Ledger:
    """Requests and retries of all sources; times are monotonic seconds.

    ``source`` identifies this process and its start uniquely, and ``granted`` is how
    many retries it has granted.
    """

    def __init__(self, source: str, now: float) -> None:
        self.source = source
        self.granted = 0
        self.table = slot_counts.Table()
        self._started_at = now
        self._is_complete = False
        self._own_version = 0
        self._retry_version = 0
        self._peers: dict[str, Peer] = {}

    def record_first_start(self) -> None:
        """Record that the whole deployment starts now: nothing was consumed before."""
        self._is_complete = True

    def is_complete(self, window: float, now: float, voters: Voters = SOLE) -> bool:
        """Return whether all retries of the window acknowledged here are known.

        Those are the ones that this process, or the one before it, acknowledged.
        """
        if not self._is_complete:
            read = len(self._list_complete(voters))
            has_read = bool(voters.others) and read >= voters.readers
            self._is_complete = has_read or now - self._started_at >= window
        return self._is_complete

    def find_coverage(self, bound: Bound, now: float, voters: Voters) -> Coverage:
        """Return how much a directory can know of what was consumed."""
        can_be_acknowledged = (
            len(self._list_complete(voters)) >= voters.acknowledgements
        )
        if can_be_acknowledged and self.is_complete(bound.window, now, voters):
            return Coverage.COMPLETE
        return Coverage.PARTIAL

    def _list_complete(self, voters: Voters) -> list[Peer]:
        """Return the linked voters that know the window."""
        return [
            peer
            for name, peer in self._peers.items()
            if name in voters.others and peer.is_complete
        ]

    # Counts of this process.

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._record(service, now, 1, 0)

    def evaluate(
        self,
        service: str,
        bound: Bound,
        coverage: Coverage,
        now: float,
        voters: Voters = SOLE,
    ) -> Verdict:
        """Return whether one more retry is left.

        A majority of the voters must have acknowledged most of what was granted here.
        """
        requests, retries = self.count(service, bound, now)
        limit = bound.find_limit(requests, coverage)
        if retries + 1 > limit:
            return Verdict.DENIED
        if coverage is Coverage.COMPLETE:
            unseen = bound.find_unseen(requests) / max(1, len(voters.others))
            if self._count_unacknowledged(voters) > unseen:
                return Verdict.LATER
        return Verdict.GRANTED

    def consume(
        self,
        service: str,
        bound: Bound,
        coverage: Coverage,
        now: float,
        voters: Voters = SOLE,
    ) -> Verdict:
        """Consume one retry of the budget if ``evaluate`` grants it."""
        verdict = self.evaluate(service, bound, coverage, now, voters)
        if verdict is Verdict.GRANTED:
            self.record_retry(service, now)
        return verdict

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry that ``evaluate`` has granted."""
        self._record(service, now, 0, 1)
        self._retry_version = self._own_version
        self.granted += 1

    def _record(self, service: str, now: float, requests: int, retries: int) -> None:
        if self.table.record(self.source, service, now, requests, retries):
            self.table.expire_before(now - LONGEST_WINDOW)
        self._own_version = self.table.version

    def _count_unacknowledged(self, voters: Voters) -> int:
        """Return how many retries granted here a majority has not acknowledged."""
        needed = voters.acknowledgements
        if needed == 0:
            return 0
        complete = self._list_complete(voters)
        seen = sorted((peer.granted for peer in complete), reverse=True)
        return self.granted - (seen[needed - 1] if len(seen) >= needed else 0)

    def count(self, service: str, bound: Bound, now: float) -> tuple[int, int]:
        """Return the requests and the retries of the window."""
        self._expire(bound.window, now)
        return self.table.count(service)

    def count_retries_by_source(
        self, service: str, bound: Bound, now: float
    ) -> dict[str, int]:
        """Return the retries of the window by the process that granted them."""
        self._expire(bound.window, now)
        return self.table.count_retries_by_source(service)

    def _expire(self, window: float, now: float) -> None:
        self.table.expire_before(now - window - slot_counts.SLOT_SECONDS)

    # Exchange between ledgers.

    def list_acknowledged(self) -> dict[str, int]:
        """Return how many of the retries granted here each linked peer has."""
        return {name: peer.granted for name, peer in self._peers.items()}

    def remove_peer(self, name: str) -> None:
        """Remove a peer that is no longer linked."""
        self._peers.pop(name, None)

    def is_due(self, name: str, now: float) -> bool:
        """Return whether a peer must be sent own counts now.

        Retries are sent at once; requests alone, which only allow more retries, once a
        slot, like what has not been acknowledged.
        """
        peer = self._peers.get(name, Peer())
        if self._retry_version > peer.sent:
            return True
        is_later_slot = int(now / slot_counts.SLOT_SECONDS) > peer.sent_in
        return is_later_slot and self._own_version > peer.confirmed

    def collect_counts(self, name: str, now: float) -> Counts:
        """Return the own counts that a peer has not acknowledged."""
        peer = self._peers.setdefault(name, Peer())
        peer.sent = self._own_version
        peer.sent_in = int(now / slot_counts.SLOT_SECONDS)
        rows = self.table.list_rows(now, peer.confirmed, of=self.source)
        return Counts(
            self.source, peer.sent, self.granted, peer.source, peer.heard, rows
        )

    def handle_counts(
        self, counts: Counts, window: float, now: float, voters: Voters = SOLE
    ) -> Acknowledgement:
        """Merge another directory's counts; return all that it may lack.

        Counts for the process that was here before lack what that one had confirmed,
        so they are not acknowledged.
        """
        self.table.merge(counts.rows, now)
        self._expire(window, now)
        has_all = counts.heard_of in ("", self.source)
        heard = counts.heard if counts.heard_of == self.source else 0
        return Acknowledgement(
            self.source,
            self.table.version,
            self.is_complete(window, now, voters),
            counts.source,
            counts.version if has_all else 0,
            counts.granted if has_all else 0,
            self.table.list_rows(now, heard, but=counts.source),
        )

    def handle_acknowledgement(
        self, name: str, answer: Acknowledgement, now: float
    ) -> None:
        """Merge what a peer holds, and record what it has acknowledged."""
        if answer.asked_by != self.source:
            return
        self.table.merge(answer.rows, now)
        peer = self._peers.setdefault(name, Peer())
        if answer.source != peer.source:
            peer = self._peers[name] = Peer(answer.source, sent_in=peer.sent_in)
        peer.heard = max(peer.heard, answer.version)
        peer.confirmed = max(peer.confirmed, answer.confirmed)
        peer.is_complete = answer.is_complete
        if answer.is_complete:
            peer.granted = max(peer.granted, answer.granted)

    # Exchange with earlier builds, which acknowledge without their own counts.

    def record_earlier_build(self, name: str) -> None:
        """Record that a peer does not understand ``Counts``."""
        self._peers[name] = Peer(is_earlier=True)

    def is_earlier_build(self, name: str) -> bool:
        """Return whether a peer does not understand ``Counts``."""
        return self._peers.get(name, Peer()).is_earlier

    def collect_update(self, name: str, now: float) -> slot_counts.Update:
        """Return the own counts for a peer of an earlier build."""
        counts = self.collect_counts(name, now)
        tallies = tuple(row[1:] for row in counts.rows)
        return slot_counts.Update(self.source, 0.0, tallies, self.granted)

    def merge_update(self, name: str, update: slot_counts.Update, now: float) -> None:
        """Merge the counts of a peer of an earlier build."""
        self.table.merge(((update.source, *each) for each in update.tallies), now)
        if update.known:
            self._peers.setdefault(name, Peer()).is_complete = True

    def record_acknowledgement(self, name: str, granted: int) -> None:
        """Record that a peer of an earlier build has the first ``granted`` retries."""
        peer = self._peers.setdefault(name, Peer())
        peer.is_complete = True
        peer.granted = max(peer.granted, granted)

    def list_snapshot(self, window: float, now: float) -> list[slot_counts.Update]:
        """Return all counts of the window, for a peer of an earlier build."""
        self._expire(window, now)
        known = window if self.is_complete(window, now) else 0.0
        sources: dict[str, list] = {self.source: []}
        for source, *row in self.table.list_rows(now):
            sources.setdefault(source, []).append(tuple(row))
        # Only the last update confirms that the snapshot is complete.
        own, *others = (
            slot_counts.Update(source, 0.0, tuple(rows))
            for source, rows in sources.items()
        )
        return [*others, dataclasses.replace(own, known=known)]
