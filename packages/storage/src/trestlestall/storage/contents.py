"""What the frames of a log file mean: a base, then changes to it.

The first frame is the base: identity, generation, snapshot, vote and the records after
the snapshot. Each later frame is a change: a new vote, how many records are kept, and
records added after these. Nothing acknowledged is ever overwritten; a snapshot writes a
new file, whose generation is one higher, and renames it over the old one.
"""

import dataclasses
import typing

import cbor2

from trestlestall.storage import frames

Vote = dict[str, typing.Any]


class Snapshot(typing.NamedTuple):
    """A state and what its owner says of it, such as the index that it reaches."""

    meta: dict[str, typing.Any]
    state: bytes


@dataclasses.dataclass(frozen=True)
class Loaded:
    """What the folder held when it was opened."""

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
    """One later frame; ``kept`` of nothing keeps all records that stood before."""

    vote: Vote | None = None
    kept: int | None = None
    records: tuple[bytes, ...] = ()


def encode_base(base: Base) -> bytes:
    """Return the payload of a log file's first frame."""
    fields = [base.identity, base.generation, base.vote, base.snapshot, base.records]
    return cbor2.dumps(fields)


def decode_base(payload: bytes) -> Base:
    """Read the payload of a log file's first frame, whose checksum was right."""
    identity, generation, vote, snapshot, records = cbor2.loads(payload)
    whole = Snapshot(*snapshot) if snapshot is not None else None
    return Base(identity, generation, vote, whole, tuple(records))


def encode_change(change: Change) -> bytes:
    """Return the payload of a later frame."""
    return cbor2.dumps([change.vote, change.kept, change.records])


def replay(base: Base, changes: typing.Iterable[frames.Frame]) -> Loaded:
    """Return what the base and the changes after it amount to."""
    vote = base.vote
    records = list(base.records)
    for frame in changes:
        new_vote, kept, added = cbor2.loads(frame.payload)
        vote = vote if new_vote is None else new_vote
        if kept is not None:
            del records[kept:]
        records += added
    return Loaded(vote, base.snapshot, records)
