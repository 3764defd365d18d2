"""The control process's part: feeds the controller and carries out its actions.

Every control process has one and passes all inputs to it; only that of the leader
decides. A turn of the control's loop calls ``handle_state``, ``handle_leadership`` and
``turn``; messages of routers are passed to ``handle``.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import commands, model as configuration_model
from trestlestall.daemon import environment, logs
from trestlestall.daemon.placement import event_logging, messages
from trestlestall.membership import upstreams
from trestlestall.placement import (
    actions,
    controller as controllers,
    documents,
    evidence,
    model,
    orders,
    settings as placement_settings,
)


@dataclasses.dataclass(frozen=True)
class Sighting:
    """An upstream as observed by routers, and whether it is live (not suspect)."""

    upstream: upstreams.Upstream
    live: bool = True


@dataclasses.dataclass(frozen=True)
class Effects:
    """The functions of the control process that the leader calls.

    ``propose(document)`` proposes an entry to the agreed log, if this process leads;
    ``confirm(done)`` begins a quorum round *after* the call, and calls ``done`` if the
    round confirms the leadership; ``submit(command)`` submits a drain or an admission
    as an operator would; ``send(router, message)`` queues a message. ``list_sightings``
    returns the upstreams that routers observe, ``list_gates`` the linked routers by
    data centre.
    """

    propose: abc.Callable[[dict[str, typing.Any]], object]
    confirm: abc.Callable[[abc.Callable[[], object]], object]
    submit: abc.Callable[[commands.Command], object]
    send: abc.Callable[[str, typing.Any], object]
    list_sightings: abc.Callable[[], abc.Iterable[Sighting]]
    list_gates: abc.Callable[[], abc.Mapping[str, tuple[str, ...]]]


class Leader:
    """The placement of one control process."""

    def __init__(
        self,
        settings: placement_settings.Settings,
        seed: int,
        effects: Effects,
        clock: environment.Clock,
        log: logs.Log,
    ):
        self._controller = controllers.Controller(settings, seed)
        self._effects = effects
        self._clock = clock
        self._event_logger = event_logging.EventLogger(log)
        self._query_count = 0
        self._configuration: configuration_model.Configuration | None = None

    def handle_leadership(self, term: int | None) -> None:
        """Set the term that this process leads in, None when it no longer leads.

        Call it only once every entry of former terms has been applied.
        """
        if term == self._controller.term:
            return
        event = (
            actions.LeadershipLost() if term is None else actions.LeadershipGained(term)
        )
        self._handle_input(event)

    def handle_state(
        self, state: orders.Orders, configuration: configuration_model.Configuration
    ) -> None:
        """Handle the agreed state and configuration after newly applied entries."""
        if self._controller.term is None:
            self._event_logger.skip_changes(state)
        else:
            self._event_logger.write_changes(state)
        if (
            configuration is not self._configuration
            or state is not self._controller.state
        ):
            self._configuration = configuration
            desired = model.derive_desired(configuration, state.versions)
            self._handle_input(actions.DesiredChanged(desired))
        self._handle_input(actions.StateApplied(state))

    def handle_demand(self, demand: model.Demand) -> None:
        """Handle the recent demand."""
        self._handle_input(actions.DemandObserved(demand))

    def handle_answers(
        self, engine: str, name: str, answers: int, on_time: int
    ) -> None:
        """Handle how many requests an engine answered since the last call."""
        self._handle_input(actions.AnswersObserved(engine, name, answers, on_time))

    def turn(self) -> None:
        """Pass in the observed engines and the time, and carry out what is due."""
        engines = tuple(
            model.make_engine(one.upstream, {}, one.live)
            for one in self._effects.list_sightings()
            if one.upstream.kind == upstreams.ENGINE
        )
        self._handle_input(actions.EnginesObserved(engines, self._effects.list_gates()))
        self._handle_input(actions.Tick())

    @staticmethod
    def handles(message: object) -> bool:
        """Return whether the message is for placement."""
        return type(message) in HANDLERS

    def handle(self, message: typing.Any) -> None:
        """Handle a router's answer."""
        self._handle_input(HANDLERS[type(message)](self, message))

    def _handle_input(self, event: actions.Input) -> None:
        for action in self._controller.handle(event, self._clock.monotonic()):
            EXECUTORS[type(action)](self, action)

    # Answers of routers.

    def _convert_permit_answer(self, message: messages.PermitAnswer) -> actions.Input:
        return actions.Granted(message.fence, messages.read_answer(message))

    def _convert_order_answer(self, message: messages.OrderAnswer) -> actions.Input:
        try:
            result = actions.Result(message.result)
        except ValueError:
            # A newer router may send a result that this version does not know.
            result = actions.Result.UNKNOWN
        event = actions.Delivered(message.fence, result, message.reason)
        open_order = self._controller.state.find_open(message.fence)
        if open_order is not None:
            self._event_logger.write_unsettled(open_order, event)
        return event

    def _convert_engine_answer(self, message: messages.EngineAnswer) -> actions.Input:
        return actions.EngineStateReceived(
            message.engine, evidence.read_state(message.document)
        )

    # Actions.

    def _propose(self, action: actions.Propose) -> None:
        self._effects.propose(documents.encode_event(action.event))

    def _request_permit(self, action: actions.RequestPermit) -> None:
        call = messages.PermitCall(action.engine, action.incarnation, action.fence)
        self._effects.send(action.gate, call)

    def _confirm(self, action: actions.ConfirmLeadership) -> None:
        confirmed = actions.LeadershipConfirmed(action.fence)
        self._effects.confirm(lambda: self._handle_input(confirmed))

    def _deliver(self, action: actions.Deliver) -> None:
        open_order = self._controller.state.find_open(action.permit.fence)
        if open_order is not None:
            self._event_logger.write_sent(open_order)
        call = messages.call_order(action.permit, action.order)
        self._effects.send(action.gate, call)

    def _query_engine(self, action: actions.QueryEngine) -> None:
        """Query an engine through the routers of its data centre, round robin."""
        view = self._controller.cluster_view
        gates = view.find_gates(view.engines.get(action.engine))
        if gates:
            self._query_count += 1
            gate = gates[self._query_count % len(gates)]
            self._effects.send(gate, messages.EngineCall(action.engine))

    def _drain(self, action: actions.Drain) -> None:
        self._effects.submit(commands.Drain(action.engine))

    def _admit(self, action: actions.Admit) -> None:
        self._effects.submit(commands.Admit(action.engine))

    def _write_decided(self, action: actions.Decided) -> None:
        self._event_logger.write_decided(action)

    def _write_withheld(self, action: actions.Withheld) -> None:
        self._event_logger.write_withheld(action)


HANDLERS: dict[type, abc.Callable[[Leader, typing.Any], actions.Input]] = {
    messages.PermitAnswer: Leader._convert_permit_answer,
    messages.OrderAnswer: Leader._convert_order_answer,
    messages.EngineAnswer: Leader._convert_engine_answer,
}
EXECUTORS: dict[type, abc.Callable[[Leader, typing.Any], None]] = {
    actions.Propose: Leader._propose,
    actions.RequestPermit: Leader._request_permit,
    actions.ConfirmLeadership: Leader._confirm,
    actions.Deliver: Leader._deliver,
    actions.QueryEngine: Leader._query_engine,
    actions.Drain: Leader._drain,
    actions.Admit: Leader._admit,
    actions.Decided: Leader._write_decided,
    actions.Withheld: Leader._write_withheld,
}
