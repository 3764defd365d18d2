"""The in-memory log of one node, which tracks its unsaved changes."""

import dataclasses

from trestlestall.agreement import entries as entries_module, exceptions


@dataclasses.dataclass(frozen=True)
class VotersAt:
    """The voters as of the entry ``index``.

    ``marks`` are the indexes of their ``SETTLED`` entries. Those before a snapshot that
    was installed or restored are unknown: then ``has_all_marks`` is false.
    """

    index: int
    voters: tuple[str, ...]
    marks: tuple[int, ...] = ()
    has_all_marks: bool = True

    @property
    def may_be_settled(self) -> bool:
        """Whether there may be a ``SETTLED`` entry of these voters."""
        return bool(self.marks) or not self.has_all_marks


@dataclasses.dataclass(frozen=True)
class Unsaved:
    """The changes of the log since the last ``Log.drain_unsaved``."""

    snapshot: entries_module.Snapshot | None
    truncate_from: int | None
    entries: tuple[entries_module.Entry, ...]


def make_first_point(snapshot: entries_module.Snapshot) -> VotersAt:
    """Return the voters of a snapshot; index 0 stands for an empty log."""
    has_all_marks = snapshot.index == 0
    return VotersAt(snapshot.index, snapshot.voters, has_all_marks=has_all_marks)


def cut_marks(point: VotersAt, index: int) -> VotersAt:
    """Return the voters without the marks from the index on."""
    kept = tuple(mark for mark in point.marks if mark < index)
    return dataclasses.replace(point, marks=kept)


class Log:
    """A snapshot and the entries after it.

    ``bootstrap`` are the voters of an empty log. The latest ``VOTERS`` entry takes
    effect when it is appended, committed or not; when it is truncated, the previous
    voters take effect again.
    """

    def __init__(
        self,
        bootstrap: tuple[str, ...],
        snapshot: entries_module.Snapshot | None = None,
        entries: tuple[entries_module.Entry, ...] = (),
    ) -> None:
        self.snapshot = snapshot or entries_module.Snapshot(0, 0, bootstrap)
        self._entries: list[entries_module.Entry] = []
        self._voters = [make_first_point(self.snapshot)]
        newer = tuple(entry for entry in entries if entry.index > self.snapshot.index)
        self.append(newer)
        self._saved = self.last_index
        self._truncate_from: int | None = None
        self._snapshot_saved = True

    @property
    def first_index(self) -> int:
        """Index of the first entry after the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def configuration(self) -> VotersAt:
        """The latest voters, committed or not."""
        return self._voters[-1]

    @property
    def previous_configuration(self) -> VotersAt | None:
        """The voters before the latest ones; None if a snapshot has replaced them."""
        return self._voters[-2] if len(self._voters) > 1 else None

    @property
    def voters(self) -> tuple[str, ...]:
        """The latest voters, committed or not."""
        return self.configuration.voters

    @property
    def voters_index(self) -> int:
        """Index of the entry that defined the latest voters."""
        return self.configuration.index

    def get_entry(self, index: int) -> entries_module.Entry:
        """Return the entry at the index, which must not be compacted."""
        return self._entries[index - self.first_index]

    def get_term(self, index: int) -> int | None:
        """Return the term of the entry at the index, or None if it isn't in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.get_entry(index).term
        return None

    def slice_entries(
        self, start: int, max_entries: int, max_bytes: int
    ) -> tuple[entries_module.Entry, ...]:
        """Return entries from ``start`` on within both limits, but at least one."""
        offset = start - self.first_index
        batch = self._entries[offset : offset + max_entries]
        size = 0
        for count, entry in enumerate(batch):
            size += len(entry.payload)
            if size > max_bytes and count:
                return tuple(batch[:count])
        return tuple(batch)

    def append(self, entries: tuple[entries_module.Entry, ...]) -> None:
        """Append entries; the first must follow the last entry without a gap."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise exceptions.BrokenInvariantError(
                    f"entry {entry.index} does not follow entry {self.last_index}"
                )
            self._entries.append(entry)
            if entry.kind == entries_module.VOTERS:
                voters = entries_module.decode_voters(entry.payload)
                self._voters.append(VotersAt(entry.index, voters))
            elif entry.kind == entries_module.SETTLED:
                marks = (*self.configuration.marks, entry.index)
                self._voters[-1] = dataclasses.replace(self.configuration, marks=marks)

    def truncate(self, index: int) -> None:
        """Remove the entries from the index on."""
        del self._entries[index - self.first_index :]
        self._voters = [
            cut_marks(point, index) for point in self._voters if point.index < index
        ]
        if index <= self._saved:
            self._truncate_from = min(index, self._truncate_from or index)
            self._saved = index - 1

    def compact(self, index: int, state: bytes) -> None:
        """Replace the entries up to the index by a snapshot."""
        term = self.get_term(index)
        if term is None:
            raise exceptions.MisuseError(f"entry {index} is not in the log")
        points = [point for point in self._voters if point.index <= index]
        snapshot = entries_module.Snapshot(index, term, points[-1].voters, state)
        tail = self._entries[index - self.first_index + 1 :]
        first = dataclasses.replace(points[-1], index=index)
        self._replace(snapshot, tail, first)

    def install(self, snapshot: entries_module.Snapshot) -> None:
        """Install a leader's snapshot; entries after it stay if they continue it."""
        tail: list[entries_module.Entry] = []
        if self.get_term(snapshot.index) == snapshot.term:
            tail = self._entries[snapshot.index - self.first_index + 1 :]
        self._replace(snapshot, tail, make_first_point(snapshot))

    def find_common(self, index: int, term: int) -> int:
        """Return the largest index up to ``index`` whose term is at most ``term``.

        Terms of entries before the snapshot are unknown: any index there is returned.
        """
        index = min(index, self.last_index)
        while index >= self.snapshot.index and self.get_term(index) > term:
            index -= 1
        return index

    def has_unsaved(self) -> bool:
        """Return whether anything changed since the last ``drain_unsaved``."""
        if not self._snapshot_saved or self._truncate_from is not None:
            return True
        return self._saved < self.last_index

    def drain_unsaved(self) -> Unsaved:
        """Return the changes since the last call and mark them as saved."""
        if self._snapshot_saved:
            entries = tuple(self._entries[self._saved + 1 - self.first_index :])
            unsaved = Unsaved(None, self._truncate_from, entries)
        else:
            unsaved = Unsaved(self.snapshot, None, tuple(self._entries))
        self._saved = self.last_index
        self._truncate_from = None
        self._snapshot_saved = True
        return unsaved

    def _replace(
        self,
        snapshot: entries_module.Snapshot,
        tail: list[entries_module.Entry],
        first: VotersAt,
    ) -> None:
        """Replace the entire log by the snapshot, whose voters are the first ones."""
        kept = [point for point in self._voters if point.index > snapshot.index]
        self.snapshot = snapshot
        self._entries = tail
        self._voters = [first]
        if tail:
            self._voters += kept
        self._saved = self.last_index
        self._truncate_from = None
        self._snapshot_saved = False
