"""What an event of the log came to."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Intended:
    """The order is logged under the fencing number and may be sent."""

    fence: int


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The event is recorded, now or before."""


@dataclasses.dataclass(frozen=True)
class Busy:
    """The engine has a task or an open order already."""


@dataclasses.dataclass(frozen=True)
class OldTerm:
    """A newer leader has written; ``term`` is the newest."""

    term: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """There is no such task, order or rollout (any more)."""


Outcome = Intended | Recorded | Busy | OldTerm | Unknown
