"""What a voter keeps: entries of the log, its vote, and snapshots."""

import dataclasses
import json

COMMAND = "command"
NO_OP = "no_op"
VOTERS = "voters"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of the log.

    ``kind`` is ``COMMAND`` (the payload is the caller's), ``NO_OP`` (the first entry
    of each leader, empty) or ``VOTERS`` (the payload names the group's voters from
    this entry on).
    """

    index: int
    term: int
    kind: str
    payload: bytes = b""


@dataclasses.dataclass(frozen=True)
class Vote:
    """The newest term a voter has seen, and whom it voted for in that term."""

    term: int
    voted_for: str | None = None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The caller's state after the entry ``index``, which replaces the log up to it.

    ``voters`` are the voters as of that entry.
    """

    index: int
    term: int
    voters: tuple[str, ...]
    state: bytes = b""


@dataclasses.dataclass(frozen=True)
class Restored:
    """What a voter finds in its data folder at start, as it was last persisted."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def encode_voters(voters: tuple[str, ...]) -> bytes:
    """Return the payload of a ``VOTERS`` entry."""
    return json.dumps(voters).encode()


def decode_voters(payload: bytes) -> tuple[str, ...]:
    """Return the names in the payload of a ``VOTERS`` entry."""
    return tuple(json.loads(payload))
