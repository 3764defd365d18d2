"""How an attempt ended, as the router observed it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Completed:
    """The complete answer arrived."""


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The attempt certainly did not run: connection or request was refused."""


@dataclasses.dataclass(frozen=True)
class Broken:
    """The attempt ended early; whether and how far it ran is unknown."""


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The attempt was cancelled by this router."""


Outcome: typing.TypeAlias = Completed | NotSent | Broken | Cancelled
