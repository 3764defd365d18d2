"""Actions that a node returns, to be carried out in order.

``Persist`` and ``PersistSnapshot`` must be durable before any later action is carried
out. A process that cannot make them durable must stop.
"""

import dataclasses
import typing

from trestlestall.agreement import entries as entries_module, messages


@dataclasses.dataclass(frozen=True)
class Committed:
    """The entry stands at ``index`` for ever."""

    index: int


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """Nothing was appended here; ``leader`` is a hint, or None."""

    leader: str | None


@dataclasses.dataclass(frozen=True)
class Lost:
    """The node lost its leadership first: the entry may or may not be committed."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """Nothing was appended, for the reason ``code`` (see ``codes``)."""

    code: str


Outcome = Committed | NotLeader | Lost | Refused


@dataclasses.dataclass(frozen=True)
class Persist:
    """Save the vote, delete entries from ``truncate_from`` on, append ``entries``."""

    vote: entries_module.Vote | None
    truncate_from: int | None
    entries: tuple[entries_module.Entry, ...]


@dataclasses.dataclass(frozen=True)
class PersistSnapshot:
    """Replace the stored snapshot and the whole stored log, in one step.

    ``entries`` are all entries that stay behind the snapshot.
    """

    snapshot: entries_module.Snapshot
    entries: tuple[entries_module.Entry, ...]


@dataclasses.dataclass(frozen=True)
class Send:
    """Send the message to the node ``to``; it may be lost, doubled or late."""

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Apply:
    """The entry is committed; entries come in order, of every kind, each once.

    After a restart they come again from the snapshot on.
    """

    entry: entries_module.Entry


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the caller's state by the snapshot's; ``Apply`` goes on behind it.

    Also the first action after a start that found a snapshot.
    """

    snapshot: entries_module.Snapshot


@dataclasses.dataclass(frozen=True)
class Proposed:
    """Answer to ``events.Propose`` and ``events.ChangeVoters``."""

    token: typing.Hashable
    outcome: Outcome


@dataclasses.dataclass(frozen=True)
class ReadReady:
    """The caller's state is current for this read.

    All entries up to ``index`` have been handed out by earlier ``Apply`` actions.
    """

    token: typing.Hashable
    index: int


@dataclasses.dataclass(frozen=True)
class ReadRefused:
    """The node is not, or no longer, the leader; ``leader`` is a hint, or None."""

    token: typing.Hashable
    leader: str | None


@dataclasses.dataclass(frozen=True)
class BecameLeader:
    """The node won the election of ``term``."""

    term: int


@dataclasses.dataclass(frozen=True)
class Deposed:
    """The node is no longer the leader of ``term``."""

    term: int


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
    | Deposed
)
