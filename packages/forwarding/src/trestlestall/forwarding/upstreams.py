"""The table of announced upstreams and their incarnations.

Rows travel from the process that received an announcement to every other. They may
arrive late, twice and in any order, and merging them gives the same table in any order:

- an incarnation that has left never comes back;
- a row with a lower sequence than the known one changes nothing;
- an incarnation that drains keeps draining;
- of each name only the incarnation that was born last is known; it replaces earlier
  ones together with all cached state of them.
"""

import dataclasses
import enum
import math
from collections import abc

from trestlestall.forwarding import versions


class State(enum.IntEnum):
    """The life cycle of an incarnation; it never goes back."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True)
class Row:
    """The known state of one incarnation.

    ``identity`` identifies the incarnation. ``name`` is that under which the upstream
    announces itself, which a later incarnation may reuse. ``born`` is the start time in
    milliseconds of the Unix time, 0 if not announced (``format_identity``).
    ``sequence`` counts the incarnation's own announcements. ``warm_seconds`` is how
    long it is still slow after its start. A row of state ``GONE`` may hold nothing but
    its identity. A ``reclaimable`` incarnation may be taken back by the platform.
    ``version`` is that of its software, empty if it announces none; None if it is not
    known here.
    """

    identity: str
    sequence: int
    state: State
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    warm_seconds: float = 0.0
    name: str = ""
    born: int = 0
    reclaimable: bool = False
    version: str | None = None

    @property
    def announced_name(self) -> str:
        """The name under which the upstream announces itself and answers."""
        return self.name or self.identity


#: Values of an encoded row: all fields but the version.
ENCODED_VALUES = 11
#: Seconds for which rows of upstreams that left are retained, against late rows.
TOMBSTONE_SECONDS = 120.0
#: Approximate interval of announcements; their number gives the time of the start.
ANNOUNCEMENT_INTERVAL_SECONDS = 1.0
#: Seconds of silence, a little over one announcement, after which an incarnation is
#: removed once another one announces itself at its address.
REPLACED_SECONDS = 1.5


class Table:
    """Merged rows by identity; ``now`` is in seconds of one monotonic clock."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.last_received: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._latest: dict[str, Row] = {}
        self._versions = versions.Versions()

    def merge(self, row: Row, now: float) -> Row | None:
        """Merge a row; return the result if it changed in more than its sequence."""
        row = self._resolve_incarnation(row)
        if not self._accept_incarnation(row):
            return None
        existing = self.rows.get(row.identity)
        if existing is not None and not is_same_incarnation(existing, row):
            return None
        if existing is not None and existing.state is State.GONE:
            return None
        if existing is None or row.sequence >= existing.sequence:
            self._record_receipt(row, now)
        merged = row if existing is None else merge_rows(existing, row)
        version = self._versions.record(row.identity, row.version)
        if merged.version != version:
            merged = dataclasses.replace(merged, version=version)
        if merged == existing:
            return None
        self.rows[row.identity] = self._latest[row.announced_name] = merged
        changed = existing is None or not is_equivalent(existing, merged)
        return merged if changed else None

    def merge_versions(self, pairs: abc.Iterable[tuple[str, str]]) -> list[Row]:
        """Merge the versions of incarnations, whose rows may follow.

        Return the rows that changed.
        """
        changed = []
        for identity, announced in pairs:
            version = self._versions.record(identity, announced)
            existing = self.rows.get(identity)
            if existing is not None and existing.version != version:
                merged = dataclasses.replace(existing, version=version)
                self.rows[identity] = self._latest[existing.announced_name] = merged
                changed.append(merged)
        return changed

    def find_latest(self, name: str) -> Row | None:
        """Return the latest incarnation that announced itself under the name."""
        return self._latest.get(name)

    def _resolve_incarnation(self, row: Row) -> Row:
        """Return the row of the incarnation that is meant.

        A leave that doesn't name an incarnation means the latest one.
        """
        latest = self._latest.get(row.announced_name)
        if latest is None or row.born or row.state is not State.GONE:
            return row
        return make_tombstone(latest)

    def _accept_incarnation(self, row: Row) -> bool:
        """Replace an earlier incarnation; return false if a later one is known."""
        latest = self._latest.get(row.announced_name)
        if latest is None or latest.identity == row.identity:
            return True
        if row.born <= latest.born:
            return False
        self._remove(latest.identity)
        return True

    def _remove(self, identity: str) -> None:
        row = self.rows.pop(identity)
        self._latest.pop(row.announced_name, None)
        self.last_received.pop(identity, None)
        self._started_at.pop(identity, None)
        self._versions.drop(identity)

    def _record_receipt(self, row: Row, now: float) -> None:
        """Record when a row was received, and about when the incarnation started.

        A late row is no evidence for an incarnation that has a successor by now.
        """
        started_at = now - row.sequence * ANNOUNCEMENT_INTERVAL_SECONDS
        existing = self._started_at.get(row.identity, started_at)
        self._started_at[row.identity] = min(existing, started_at)
        if not self._has_successor(row):
            self.last_received[row.identity] = now
        else:
            self.last_received.setdefault(row.identity, -math.inf)

    def _has_successor(self, row: Row) -> bool:
        """Return whether an incarnation that started later has the row's address."""
        started_at = self._started_at[row.identity]
        return any(
            other.address == row.address
            and other.state is not State.GONE
            and self._started_at.get(other.identity, started_at) > started_at
            for other in self.rows.values()
        )

    def list_replaced(self, row: Row, now: float) -> list[Row]:
        """Return the incarnations that another one at their address has replaced.

        ``row`` was just announced. An incarnation that started later, or whose row was
        received recently, is left alone: then ``row`` came late.
        """
        started_at = self._started_at.get(row.identity, now)
        return [
            other
            for other in self.rows.values()
            if other.address == row.address
            and other.identity != row.identity
            and other.state is not State.GONE
            and self._started_at.get(other.identity, now) < started_at
            and now - self.last_received.get(other.identity, now) > REPLACED_SECONDS
        ]

    def list_serving(self, service: str) -> list[Row]:
        """Return the upstreams of the service that accept requests."""
        return [
            row
            for row in self.rows.values()
            if row.service == service and row.state is State.SERVING
        ]

    def expire_tombstones(self, now: float) -> list[str]:
        """Remove rows of upstreams that left long ago; return their identities."""
        expired = [
            identity
            for identity, row in self.rows.items()
            if row.state is State.GONE
            and now - self.last_received.get(identity, now) > TOMBSTONE_SECONDS
        ]
        for identity in expired:
            self._remove(identity)
        return expired


def format_identity(name: str, born: int) -> str:
    """Return an incarnation's identity; ``born`` is 0 if it is unknown.

    >>> format_identity("u1", 1790000000000)
    'u1@1790000000000'
    """
    return f"{name}@{born}" if born else name


def make_tombstone(row: Row) -> Row:
    """Return a row that records only that the incarnation is gone."""
    return Row(row.identity, 0, State.GONE, name=row.name, born=row.born)


def is_same_incarnation(existing: Row, row: Row) -> bool:
    """Return whether a row may be of the known incarnation.

    An incarnation never changes service or address; a row with others comes from
    another writer, and would remove a healthy upstream.
    """
    if row.state is State.GONE or not existing.service:
        return True
    return (row.service, row.address) == (existing.service, existing.address)


def merge_rows(existing: Row, row: Row) -> Row:
    """Return the merged state of two rows of one incarnation."""
    if row.state is State.GONE:
        return dataclasses.replace(existing, state=State.GONE)
    newer = row if row.sequence > existing.sequence else existing
    state = max(existing.state, row.state)
    return dataclasses.replace(newer, state=state)


def is_equivalent(one: Row, other: Row) -> bool:
    """Return whether two rows are equal in all that a choice depends on."""
    return dataclasses.replace(one, sequence=0, warm_seconds=0.0) == (
        dataclasses.replace(other, sequence=0, warm_seconds=0.0)
    )


def encode_row(row: Row) -> list[str | int | float | bool]:
    """Return the row as a list of plain values, for a message.

    It lacks the version, which travels apart (``UpstreamVersions``): processes of
    earlier builds refuse a row with more values.
    """
    return [
        row.identity,
        row.sequence,
        int(row.state),
        row.service,
        row.address,
        row.data_centre,
        row.slots,
        row.warm_seconds,
        row.name,
        row.born,
        row.reclaimable,
    ]


def decode_row(encoded: list) -> Row:
    """Return the row of a message; raise ``ValueError`` if it is invalid."""
    try:
        identity, sequence, state, *rest = encoded
        if len(encoded) > ENCODED_VALUES:
            raise ValueError("too many values")
        return Row(identity, sequence, State(state), *rest)
    except (TypeError, ValueError) as error:
        raise ValueError(f"invalid row of an upstream: {encoded!r}") from error
