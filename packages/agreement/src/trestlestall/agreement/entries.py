"""The persistent state of a voter: log entries, its vote and snapshots."""

import dataclasses
import json

COMMAND = "command"
NO_OP = "no_op"
VOTERS = "voters"
SETTLED = "settled"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of the log.

    ``kind`` is ``COMMAND`` (the payload is the caller's), ``NO_OP`` (empty, appended
    by each new leader), ``VOTERS`` (the payload lists the group's voters, effective
    from this entry on) or ``SETTLED`` (empty; see ``settlement``).
    """

    index: int
    term: int
    kind: str
    payload: bytes = b""


@dataclasses.dataclass(frozen=True)
class Vote:
    """The latest term that a voter has seen, and its vote in that term, if any."""

    term: int
    voted_for: str | None = None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The caller's state as of the entry ``index``; replaces the log up to that entry.

    ``term`` is the term of that entry, and ``voters`` are the voters as of it.
    """

    index: int
    term: int
    voters: tuple[str, ...]
    state: bytes = b""


@dataclasses.dataclass(frozen=True)
class Restored:
    """The persisted state that a voter loads from its data folder at start."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def encode_voters(voters: tuple[str, ...]) -> bytes:
    """Return the payload of a ``VOTERS`` entry."""
    return json.dumps(voters).encode()


def decode_voters(payload: bytes) -> tuple[str, ...]:
    """Return the names in the payload of a ``VOTERS`` entry."""
    return tuple(json.loads(payload))
