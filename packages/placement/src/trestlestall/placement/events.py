"""Events of the agreed log that concern placement; each is proposed by the leader.

``term`` is the leader's. An event of an older term than the newest one seen is refused,
so that a leader that has been replaced changes nothing. An event that is proposed again
after a lost answer has no second effect.
"""

import dataclasses

from trestlestall.placement import model


@dataclasses.dataclass(frozen=True)
class Assign:
    """Give an engine a task: orders to be carried out one after the other.

    ``drain`` says that the engine gets no new work meanwhile.
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
    """End an engine's task, done or not."""

    term: int
    engine: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Intend:
    """Log the intent to give the engine the next order of its task."""

    term: int
    engine: str
    incarnation: int
    step: int
    order: model.Order


@dataclasses.dataclass(frozen=True)
class Sent:
    """The engine was seen to have taken the order."""

    term: int
    fence: int


@dataclasses.dataclass(frozen=True)
class Settled:
    """What became of an order; ``done`` when the engine carried it out."""

    term: int
    fence: int
    done: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """Give the order again under a new number: nobody knows whether it arrived."""

    term: int
    fence: int


@dataclasses.dataclass(frozen=True)
class BeginRollout:
    """Take a model to another version, engine by engine."""

    term: int
    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class RollEngine:
    """The rollout goes on with this engine, or with none."""

    term: int
    model: str
    engine: str


@dataclasses.dataclass(frozen=True)
class StopRollout:
    """The new version is given up; engines that have it go back."""

    term: int
    model: str
    reason: str


@dataclasses.dataclass(frozen=True)
class EndRollout:
    """Every engine has the version that the rollout now aims at."""

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
