"""Outcomes of applying an event of the log."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Intended:
    """The order is logged under the fencing number and may be sent."""

    fence: int


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The event is recorded, by this entry or an earlier one."""


@dataclasses.dataclass(frozen=True)
class Busy:
    """The engine has a task or an open order already, or the model a rollout."""


@dataclasses.dataclass(frozen=True)
class OldTerm:
    """A leader of a newer term has written; ``term`` is the newest one."""

    term: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """There is no such task, order or rollout, or no longer."""


Outcome = Intended | Recorded | Busy | OldTerm | Unknown
