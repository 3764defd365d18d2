"""Durable state of one voter of the agreement, stored in its data folder."""

import cbor2

from trestlestall.agreement import actions, entries
from trestlestall.storage import folder as folders

GROUP = "group"
INDEX = "index"
TERM = "term"
VOTERS = "voters"


def encode_entry(entry: entries.Entry) -> bytes:
    """Return the folder's record of a log entry."""
    return cbor2.dumps([entry.index, entry.term, entry.kind, entry.payload])


def decode_entry(record: bytes) -> entries.Entry:
    """Return the log entry of a record."""
    return entries.Entry(*cbor2.loads(record))


class Journal:
    """Stores one voter's vote, log and snapshot in its folder.

    Each method returns once its arguments are durable. ``group`` has the initial
    voters, or None before the group was formed.
    """

    def __init__(self, folder: folders.Folder):
        self._folder = folder
        loaded = folder.load()
        meta, self._state = loaded.snapshot or ({}, b"")
        first = meta.get(GROUP)
        self.group = tuple(first) if first is not None else None
        self._index = meta.get(INDEX, 0)
        self.restored = entries.Restored(
            entries.Vote(**loaded.vote) if loaded.vote else None,
            self._read_snapshot(meta),
            tuple(decode_entry(record) for record in loaded.records),
        )

    @property
    def sync_seconds(self) -> float:
        """How long a sync of the folder takes, as a moving average."""
        return self._folder.sync_seconds

    def save_group(self, voters: tuple[str, ...]) -> None:
        """Store the group of the initial voters."""
        self.group = voters
        self._folder.save_snapshot({GROUP: voters}, b"", [])

    def persist(self, action: actions.Persist) -> None:
        """Store a vote, truncate the log and append entries, all with one sync."""
        vote = None
        if action.vote is not None:
            vote = {"term": action.vote.term, "voted_for": action.vote.voted_for}
        retained_records = None
        if action.truncate_from is not None:
            retained_records = action.truncate_from - self._index - 1
        records = [encode_entry(entry) for entry in action.entries]
        self._folder.persist(vote, retained_records, records)

    def persist_snapshot(self, action: actions.PersistSnapshot) -> None:
        """Replace the snapshot and the entries, atomically."""
        snapshot = action.snapshot
        meta = {
            GROUP: self.group,
            INDEX: snapshot.index,
            TERM: snapshot.term,
            VOTERS: snapshot.voters,
        }
        records = [encode_entry(entry) for entry in action.entries]
        self._folder.save_snapshot(meta, snapshot.state, records)
        self._index = snapshot.index

    def _read_snapshot(self, meta: dict) -> entries.Snapshot | None:
        if INDEX not in meta:
            return None
        voters = tuple(meta[VOTERS])
        return entries.Snapshot(meta[INDEX], meta[TERM], voters, self._state)
