"""The outcomes of submitted commands. Outcomes are values, never exceptions."""

import dataclasses
import typing

from trestlestall.configuration import commands


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted command: the version that it created, its sender, time and content.

    ``at`` is the time at which the leader proposed it, in seconds since the epoch.
    """

    version: int
    operator: str
    at: float
    request_id: str
    command: commands.Command


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The command created this version."""

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The command changed nothing; ``field`` is the invalid field, if there is one."""

    code: str
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True)
class Beaten:
    """A version conflict: another command had already created version ``number``."""

    number: int
    winner: HistoryEntry


Outcome: typing.TypeAlias = Accepted | Rejected | Beaten
