"""Actions that a node returns, to be executed in order.

``Persist`` and ``PersistSnapshot`` must be durable before any later action is executed.
A process that cannot make them durable must stop.
"""

import dataclasses
import typing

from trestlestall.agreement import entries as entries_module, messages


@dataclasses.dataclass(frozen=True)
class Committed:
    """The entry is committed at ``index``."""

    index: int


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """The node isn't the leader and appended nothing; ``leader`` is a hint, or None."""

    leader: str | None


@dataclasses.dataclass(frozen=True)
class Lost:
    """The node lost its leadership before the commit; the outcome is unknown."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The node appended nothing, for the reason ``code`` (see ``codes``)."""

    code: str


Outcome = Committed | NotLeader | Lost | Refused


@dataclasses.dataclass(frozen=True)
class Persist:
    """Store the vote, delete entries from ``truncate_from`` on, append ``entries``."""

    vote: entries_module.Vote | None
    truncate_from: int | None
    entries: tuple[entries_module.Entry, ...]


@dataclasses.dataclass(frozen=True)
class PersistSnapshot:
    """Atomically replace the stored snapshot and the entire stored log.

    ``entries`` are all the entries after the snapshot.
    """

    snapshot: entries_module.Snapshot
    entries: tuple[entries_module.Entry, ...]


@dataclasses.dataclass(frozen=True)
class Send:
    """Send the message to the node ``to``; it may be lost, duplicated or delayed."""

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Apply:
    """Apply a committed entry; entries of every kind come in order, each once.

    After a restart all entries after the snapshot are applied again.
    """

    entry: entries_module.Entry


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the caller's state by the snapshot's; ``Apply`` continues after it.

    Also the first action after a start with a stored snapshot.
    """

    snapshot: entries_module.Snapshot


@dataclasses.dataclass(frozen=True)
class Proposed:
    """Result of ``events.Propose`` or ``events.ChangeVoters``."""

    token: typing.Hashable
    outcome: Outcome


@dataclasses.dataclass(frozen=True)
class ReadReady:
    """The caller's state is current enough for this read to be linearizable.

    Earlier ``Apply`` actions have returned all entries up to ``index``.
    """

    token: typing.Hashable
    index: int


@dataclasses.dataclass(frozen=True)
class ReadRefused:
    """The node is not, or no longer, the leader; ``leader`` is a hint or None."""

    token: typing.Hashable
    leader: str | None


@dataclasses.dataclass(frozen=True)
class BecameLeader:
    """The node won the election of ``term`` by the votes ``granted``.

    ``excluded`` are the voters that were known to have lost their disks.
    """

    term: int
    granted: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ElectionUndecided:
    """An election ended without a quorum; the other voters did not respond.

    ``excluded`` are the voters that were known to have lost their disks. A quorum was
    needed of each of the ``configurations``.
    """

    term: int
    granted: tuple[str, ...]
    denied: tuple[str, ...]
    excluded: tuple[str, ...]
    configurations: tuple[tuple[str, ...], ...]


@dataclasses.dataclass(frozen=True)
class VoterLost:
    """The voter is known to have lost its disk."""

    voter: str


@dataclasses.dataclass(frozen=True)
class Deposed:
    """The node stepped down as the leader of ``term``."""

    term: int


@dataclasses.dataclass(frozen=True)
class TimingAdapted:
    """The election timeout was adapted to the time of a sync, both in seconds."""

    sync: float
    election: float


Action = (
    Persist
    | PersistSnapshot
    | Send
    | Apply
    | Restore
    | Proposed
    | ReadReady
    | ReadRefused
    | BecameLeader
    | ElectionUndecided
    | VoterLost
    | Deposed
    | TimingAdapted
)
