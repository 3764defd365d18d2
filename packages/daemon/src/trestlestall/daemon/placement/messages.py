"""The messages between a control process and a router about orders.

Importing this module registers the messages with the wire's codec. ``serial``
identifies the permit, ``life`` the incarnation of the gate's process that granted it.
"""

import dataclasses

from trestlestall.placement import gate, model
from trestlestall.wire import messages as wire_messages, registry


@registry.register("permit_call")
@dataclasses.dataclass(frozen=True)
class PermitCall:
    """The leader requests a permit."""

    engine: str
    incarnation: int
    fence: int


@registry.register("permit_answer")
@dataclasses.dataclass(frozen=True)
class PermitAnswer:
    """The permit; if ``reason`` is set, it was refused and ``reason`` says why."""

    engine: str
    incarnation: int
    fence: int
    life: str = ""
    serial: int = 0
    reason: str = ""
    highest: int = 0


@registry.register("order_call")
@dataclasses.dataclass(frozen=True)
class OrderCall:
    """The order with its permit; ``order`` holds the fields of ``model.Order``."""

    engine: str
    incarnation: int
    fence: int
    life: str
    serial: int
    order: wire_messages.Fields


@registry.register("order_answer")
@dataclasses.dataclass(frozen=True)
class OrderAnswer:
    """The result of an order: a value of ``placement.actions.Result``."""

    fence: int
    result: str
    reason: str = ""


@registry.register("engine_call")
@dataclasses.dataclass(frozen=True)
class EngineCall:
    """The leader queries an engine's state."""

    engine: str


@registry.register("engine_answer")
@dataclasses.dataclass(frozen=True)
class EngineAnswer:
    """The engine's answer to ``GET /v1/state``; empty when there was none."""

    engine: str
    document: wire_messages.Fields


def answer_permit(call: PermitCall, answer: gate.Permit | gate.Refused) -> PermitAnswer:
    """Return the message that answers a permit call."""
    names = call.engine, call.incarnation, call.fence
    if isinstance(answer, gate.Permit):
        return PermitAnswer(*names, life=answer.gate, serial=answer.serial)
    return PermitAnswer(*names, reason=answer.reason, highest=answer.highest)


def read_answer(message: PermitAnswer) -> gate.Permit | gate.Refused:
    """Return the gate's answer that a message carries."""
    if message.reason:
        return gate.Refused(message.reason, message.highest)
    return read_permit(message)


def read_permit(message: PermitAnswer | OrderCall) -> gate.Permit:
    """Return the permit that a message carries."""
    return gate.Permit(
        message.life,
        message.engine,
        message.incarnation,
        message.fence,
        message.serial,
    )


def call_order(permit: gate.Permit, order: model.Order) -> OrderCall:
    """Return the message that sends an order."""
    return OrderCall(
        permit.engine,
        permit.incarnation,
        permit.fence,
        permit.gate,
        permit.serial,
        dataclasses.asdict(order),
    )
