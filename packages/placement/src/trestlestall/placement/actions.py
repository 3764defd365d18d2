"""Inputs that the driver passes to the placement controller, and actions it returns."""

import dataclasses
import enum
from collections import abc

from trestlestall.placement import events, evidence, gate, model, orders, planner

# Inputs.


@dataclasses.dataclass(frozen=True)
class LeadershipGained:
    """This process leads in ``term``, and has applied all entries of earlier terms."""

    term: int


@dataclasses.dataclass(frozen=True)
class LeadershipLost:
    """This process no longer leads."""


@dataclasses.dataclass(frozen=True)
class StateApplied:
    """The agreed state after the newest applied entry."""

    state: orders.Orders


@dataclasses.dataclass(frozen=True)
class DesiredChanged:
    """What the newest configuration asks for."""

    desired: model.Desired


@dataclasses.dataclass(frozen=True)
class EnginesObserved:
    """The engines announced now, and the linked gates by data centre."""

    engines: tuple[model.Engine, ...]
    gates: abc.Mapping[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True)
class DemandObserved:
    """The recent demand."""

    demand: model.Demand


@dataclasses.dataclass(frozen=True)
class AnswersObserved:
    """Answers of an engine for a model since the last such input."""

    engine: str
    model: str
    answers: int
    on_time: int


@dataclasses.dataclass(frozen=True)
class Granted:
    """A gate answered a permit request, by granting or refusing it."""

    fence: int
    answer: gate.Permit | gate.Refused


@dataclasses.dataclass(frozen=True)
class LeadershipConfirmed:
    """A quorum confirmed that this process leads.

    The round began after the ``ConfirmLeadership`` action for this fencing number.
    """

    fence: int


class Result(enum.StrEnum):
    """The result of sending an order.

    ``NOT_SENT`` is used only when certainly nothing was written to the engine.
    """

    TAKEN = "taken"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The result of an order that was sent through a gate."""

    fence: int
    result: Result
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class EngineStateReceived:
    """The answer to ``QueryEngine``; ``state`` is None when the engine sent none."""

    engine: str
    state: evidence.EngineState | None


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


Input = (
    LeadershipGained
    | LeadershipLost
    | StateApplied
    | DesiredChanged
    | EnginesObserved
    | DemandObserved
    | AnswersObserved
    | Granted
    | LeadershipConfirmed
    | Delivered
    | EngineStateReceived
    | Tick
)

# Actions.


@dataclasses.dataclass(frozen=True)
class Propose:
    """Propose the event to the agreed log."""

    event: events.Event


@dataclasses.dataclass(frozen=True)
class RequestPermit:
    """QueryEngine a gate for a permit."""

    gate: str
    engine: str
    incarnation: int
    fence: int


@dataclasses.dataclass(frozen=True)
class ConfirmLeadership:
    """Begin a quorum round; pass ``LeadershipConfirmed`` in if it succeeds."""

    fence: int


@dataclasses.dataclass(frozen=True)
class Deliver:
    """Send the order with its permit to the gate, once, without retry."""

    gate: str
    permit: gate.Permit
    order: model.Order


@dataclasses.dataclass(frozen=True)
class QueryEngine:
    """Query the engine's state."""

    engine: str


@dataclasses.dataclass(frozen=True)
class Drain:
    """Have routers send the engine no new requests."""

    engine: str


@dataclasses.dataclass(frozen=True)
class Admit:
    """Let routers send the engine requests again."""

    engine: str


@dataclasses.dataclass(frozen=True)
class Decided:
    """Write to the process log that a change was chosen."""

    change: planner.Change


@dataclasses.dataclass(frozen=True)
class Withheld:
    """Write to the process log that something is not done now, and why."""

    engine: str
    target: str
    reason: str


Action = (
    Propose
    | RequestPermit
    | ConfirmLeadership
    | Deliver
    | QueryEngine
    | Drain
    | Admit
    | Decided
    | Withheld
)
