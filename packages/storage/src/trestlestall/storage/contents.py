"""Encoding of the frames of a log file: a base frame, followed by change frames.

The first frame is the base: identity, generation, vote, snapshot and the records after
the snapshot. Each later frame is a change: a new vote, the number of leading records
that are retained, and the records appended after them. Acknowledged data is never
overwritten in place: a snapshot is written to a new file, whose generation is one
higher, and that file is renamed over the old one.
"""

import dataclasses
import typing

import cbor2

from trestlestall.storage import frames

Vote = dict[str, typing.Any]


class Snapshot(typing.NamedTuple):
    """A serialized state and its metadata, such as the last index that it includes."""

    meta: dict[str, typing.Any]
    state: bytes


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The vote, snapshot and records in the folder when it was opened."""

    vote: Vote | None
    snapshot: Snapshot | None
    records: list[bytes]


@dataclasses.dataclass(frozen=True)
class Base:
    """The first frame of a log file."""

    identity: str
    generation: int
    vote: Vote | None = None
    snapshot: Snapshot | None = None
    records: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True)
class Change:
    """A change frame; with ``keep_count`` None all existing records are retained."""

    vote: Vote | None = None
    keep_count: int | None = None
    records: tuple[bytes, ...] = ()


def encode_base(base: Base) -> bytes:
    """Return the payload of a log file's base frame."""
    fields = [base.identity, base.generation, base.vote, base.snapshot, base.records]
    return cbor2.dumps(fields)


def decode_base(payload: bytes) -> Base:
    """Decode the payload of a log file's base frame; its checksum must be verified."""
    identity, generation, vote, snapshot, records = cbor2.loads(payload)
    whole = Snapshot(*snapshot) if snapshot is not None else None
    return Base(identity, generation, vote, whole, tuple(records))


def encode_change(change: Change) -> bytes:
    """Return the payload of a change frame."""
    return cbor2.dumps([change.vote, change.keep_count, change.records])


def replay(base: Base, changes: typing.Iterable[frames.Frame]) -> Loaded:
    """Return the contents that result from applying the changes to the base."""
    vote = base.vote
    records = list(base.records)
    for frame in changes:
        new_vote, keep_count, added = cbor2.loads(frame.payload)
        vote = vote if new_vote is None else new_vote
        if keep_count is not None:
            del records[keep_count:]
        records += added
    return Loaded(vote, base.snapshot, records)
