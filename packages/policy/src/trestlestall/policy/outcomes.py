"""How an attempt ended, as the router saw it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Completed:
    """The whole answer arrived."""


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The attempt surely did not run: a refused connection, or a refusal to take it."""


@dataclasses.dataclass(frozen=True)
class Broken:
    """The attempt ended early; whether, and how far, it ran is unknown."""


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The attempt was cancelled by this router."""


Outcome: typing.TypeAlias = Completed | NotSent | Broken | Cancelled
