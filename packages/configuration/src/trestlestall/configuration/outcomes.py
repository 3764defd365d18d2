"""What becomes of a submitted command. Outcomes are values, never exceptions."""

import dataclasses
import typing

from trestlestall.configuration import commands


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted command: which version it made, who sent it, when, and what.

    ``at`` is in seconds since the epoch, as the leader stamped the command.
    """

    version: int
    operator: str
    at: float
    request_id: str
    command: commands.Command


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The command made this version."""

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The command changed nothing; ``field`` names the part at fault, if one is."""

    code: str
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True)
class Beaten:
    """Another command had already made the version that this one was numbered for."""

    number: int
    winner: HistoryEntry


Outcome: typing.TypeAlias = Accepted | Rejected | Beaten
