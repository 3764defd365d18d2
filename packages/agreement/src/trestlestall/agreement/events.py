"""Events that are the input of a node."""

import dataclasses
import typing

from trestlestall.agreement import messages


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed; the caller sends it at least twice per heartbeat interval."""


@dataclasses.dataclass(frozen=True)
class Receive:
    """A message was received from the node named ``sender``.

    The name, which includes the disk's identity, must come from the authenticated link.
    """

    sender: str
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Propose:
    """Append a command; ``actions.Proposed`` with the same token is the result."""

    token: typing.Hashable
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Read:
    """Request a linearizable read of the caller's state.

    The result is ``actions.ReadReady`` or ``actions.ReadRefused``.
    """

    token: typing.Hashable


@dataclasses.dataclass(frozen=True)
class ChangeVoters:
    """Add or remove one voter; ``actions.Proposed`` is the result."""

    token: typing.Hashable
    add: str | None = None
    remove: str | None = None


@dataclasses.dataclass(frozen=True)
class Compact:
    """Replace the log up to the applied entry ``index`` by a snapshot of the state."""

    index: int
    state: bytes


@dataclasses.dataclass(frozen=True)
class TransferLeader:
    """Transfer the leadership to another voter, before a planned stop.

    Meanwhile the node appends nothing and answers proposals with ``NotLeader``. If no
    voter takes over within the election timeout, it continues as the leader. See
    ``Node.is_handing_over``.
    """


Event = Tick | Receive | Propose | Read | ChangeVoters | Compact | TransferLeader
