"""Events of the agreed log that concern placement; the leader proposes them.

``term`` is the leader's. An event of an older term than the newest applied one is
refused, so that a leader that has been replaced changes nothing. Events are idempotent:
one that is proposed again after a lost answer has no second effect.
"""

import dataclasses

from trestlestall.placement import model


@dataclasses.dataclass(frozen=True)
class Assign:
    """Assign a task to an engine: orders that are carried out one after the other.

    With ``drain`` the engine gets no new requests while the task runs.
    """

    term: int
    engine: str
    incarnation: int
    steps: tuple[model.Order, ...]
    drain: bool
    reason: str
    urgency: int = 0


@dataclasses.dataclass(frozen=True)
class Drop:
    """End an engine's task, whether it was completed or not."""

    term: int
    engine: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Intend:
    """Log the intent to send the engine the next order of its task."""

    term: int
    engine: str
    incarnation: int
    step: int
    order: model.Order


@dataclasses.dataclass(frozen=True)
class Sent:
    """The engine has confirmed that it accepted the order."""

    term: int
    fence: int


@dataclasses.dataclass(frozen=True)
class Settled:
    """An order has ended; ``done`` says whether the engine carried it out."""

    term: int
    fence: int
    done: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """Reissue an order under a new fencing number: it is unknown whether it arrived."""

    term: int
    fence: int


@dataclasses.dataclass(frozen=True)
class BeginRollout:
    """Begin to change a model's version, engine by engine."""

    term: int
    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class RollEngine:
    """The rollout continues with this engine; an empty name means with none now."""

    term: int
    model: str
    engine: str


@dataclasses.dataclass(frozen=True)
class StopRollout:
    """Abort a rollout: engines that have the new version are rolled back."""

    term: int
    model: str
    reason: str


@dataclasses.dataclass(frozen=True)
class EndRollout:
    """Every engine has the rollout's current target version."""

    term: int
    model: str


Event = (
    Assign
    | Drop
    | Intend
    | Sent
    | Settled
    | Superseded
    | BeginRollout
    | RollEngine
    | StopRollout
    | EndRollout
)
