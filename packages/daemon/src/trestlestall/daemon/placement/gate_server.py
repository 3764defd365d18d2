"""The router's part of placement: the gate before the engines of its data centre.

server = GateServer(gate.Gate(identity), find_engine, clock, send, spawn)
if server.handles(message):
    server.handle(sender, message)
"""

import dataclasses
import typing
from collections import abc

from trestlestall.daemon import environment
from trestlestall.daemon.placement import engine_client, messages
from trestlestall.membership import upstreams
from trestlestall.placement import actions, gate as gates, model

UNKNOWN_ENGINE = "unknown_engine"
MALFORMED = "malformed_order"

Send = abc.Callable[[str, typing.Any], object]
Find = abc.Callable[[str], upstreams.Upstream | None]
Spawn = abc.Callable[..., object]


class GateServer:
    """Applies the gate to the messages of control processes, and calls the engines.

    ``find_engine(name)`` returns the newest announcement, ``send(peer, message)``
    queues a message, and ``spawn(function, *arguments)`` starts a greenlet. Only
    messages of control processes may be passed in: the caller checks the sender.
    """

    def __init__(
        self,
        gate: gates.Gate,
        find_engine: Find,
        clock: environment.Clock,
        send: Send,
        spawn: Spawn,
    ):
        self._gate = gate
        self._find_engine = find_engine
        self._clock = clock
        self._send = send
        self._spawn = spawn

    @staticmethod
    def handles(message: object) -> bool:
        """Return whether the message is for the gate server."""
        return type(message) in HANDLERS

    def handle(self, sender: str, message: typing.Any) -> None:
        """Handle a control process's message; the answer may be sent later."""
        HANDLERS[type(message)](self, sender, message)

    def _find(self, name: str) -> upstreams.Upstream | None:
        """Return the engine, and record its incarnation in the gate."""
        engine = self._find_engine(name)
        if engine is not None:
            self._gate.update_incarnation(name, engine.incarnation)
        return engine

    def _grant(self, sender: str, call: messages.PermitCall) -> None:
        self._find(call.engine)
        now = self._clock.monotonic()
        answer = self._gate.grant(call.engine, call.incarnation, call.fence, now)
        self._send(sender, messages.answer_permit(call, answer))

    def _admit(self, sender: str, call: messages.OrderCall) -> None:
        """Admit or refuse an order at once; write an admitted one in a greenlet."""
        engine = self._find(call.engine)
        order = read_order(call)
        if engine is None or order is None:
            reason = UNKNOWN_ENGINE if engine is None else MALFORMED
            self._answer(
                sender, call, engine_client.Delivery(actions.Result.NOT_SENT, reason)
            )
            return
        permit = messages.read_permit(call)
        answer = self._gate.admit(permit, self._clock.monotonic())
        if isinstance(answer, gates.Refused):
            delivery = engine_client.Delivery(actions.Result.NOT_SENT, answer.reason)
            self._answer(sender, call, delivery)
            return
        self._spawn(self._forward_order, sender, call, engine.address, order)

    def _forward_order(
        self, sender: str, call: messages.OrderCall, address: str, order: model.Order
    ) -> None:
        def may_write() -> bool:
            return self._gate.may_write(call.engine, self._clock.monotonic())

        try:
            delivery = engine_client.send_order(address, call.fence, order, may_write)
        finally:
            self._gate.finish(call.engine)
        self._answer(sender, call, delivery)

    def _answer(
        self, sender: str, call: messages.OrderCall, delivery: engine_client.Delivery
    ) -> None:
        answer = messages.OrderAnswer(
            call.fence, delivery.result.value, delivery.reason
        )
        self._send(sender, answer)

    def _query_engine(self, sender: str, call: messages.EngineCall) -> None:
        engine = self._find(call.engine)
        if engine is not None:
            self._spawn(self._forward_query, sender, call.engine, engine.address)

    def _forward_query(self, sender: str, engine: str, address: str) -> None:
        answer = messages.EngineAnswer(engine, engine_client.fetch_state(address))
        self._send(sender, answer)


def read_order(call: messages.OrderCall) -> model.Order | None:
    """Return the order of a call, None if it is malformed."""
    try:
        order = model.Order(**call.order)
    except TypeError:
        return None
    texts = dataclasses.astuple(order)
    known = order.kind in (model.LOAD, model.UNLOAD, model.ROLE)
    return order if known and all(isinstance(text, str) for text in texts) else None


HANDLERS: dict[type, abc.Callable[[GateServer, str, typing.Any], None]] = {
    messages.PermitCall: GateServer._grant,
    messages.OrderCall: GateServer._admit,
    messages.EngineCall: GateServer._query_engine,
}
