"""The delivery of each open order, from its intent in the log to its end.

For an order that this leader logged, a permit is requested from a gate, then the
leadership is confirmed, and then the order is sent, once. When its outcome is unknown
(the answer was lost, or a former leader logged it), the engine's state is queried. The
engine's answer counts once no copy of the order can still be in flight: at once for an
engine that checks fencing, since it refuses the order after the next number; at once
when the engine lists the order's number; else after ``Sending.max_in_flight``.
"""

import dataclasses
import enum

from trestlestall.placement import (
    actions,
    events,
    evidence,
    gate,
    model,
    orders,
    settings as placement_settings,
)

RESTARTED = "engine_restarted"
GONE = "engine_gone"
FORGOTTEN = "engine_forgot"
UNSAFE = "no_other_home"


class Phase(enum.Enum):
    """The phase of an order's delivery; nothing was written before ``SENT``."""

    PERMIT = "permit"
    CONFIRM = "confirm"
    SENT = "sent"
    UNKNOWN = "unknown"
    TAKEN = "taken"
    ENDED = "ended"


UNWRITTEN_PHASES = (Phase.PERMIT, Phase.CONFIRM)


@dataclasses.dataclass(frozen=True)
class Delivery:
    """One order's delivery.

    ``at`` is when the phase began, ``tries`` counts permit requests. Since
    ``absent_since`` the engine shows no trace of an order that it had accepted, since
    ``missing_since`` it is not announced.
    """

    phase: Phase
    at: float
    tries: int = 0
    gate_name: str = ""
    permit: gate.Permit | None = None
    reason: str = ""
    absent_since: float | None = None
    missing_since: float | None = None


@dataclasses.dataclass(frozen=True)
class Context:
    """What an order's next step depends on.

    ``engine`` is its newest announcement, None while there is none. ``gates`` are those
    of its data centre. ``safe`` says whether the order may be carried out now.
    """

    engine: model.Engine | None
    gates: tuple[str, ...]
    safe: bool


class Deliveries:
    """The deliveries of open orders, by fencing number, of one leader in one term."""

    def __init__(self, times: placement_settings.Sending):
        self._times = times
        self._deliveries: dict[int, Delivery] = {}
        self._term = 0
        self._led_at = 0.0

    def begin_term(self, term: int, now: float) -> None:
        """Remove all deliveries: what former leaders sent is not known here."""
        self._deliveries.clear()
        self._term = term
        self._led_at = now

    def retain(self, fences: set[int]) -> None:
        """Remove deliveries whose number isn't given: their orders have ended."""
        for fence in self._deliveries.keys() - fences:
            del self._deliveries[fence]

    def advance(
        self, open_order: orders.Open, context: Context, now: float
    ) -> list[actions.Action]:
        """Do what is due for an open order."""
        delivery = self._find(open_order, now)
        engine = context.engine
        if delivery.phase is Phase.ENDED:
            return self._end(open_order, delivery.reason, now)
        if engine is None:
            return self._handle_missing_engine(open_order, delivery, now)
        if engine.incarnation > open_order.incarnation:
            return self._end_restarted(open_order, delivery, now)
        if delivery.missing_since is not None:
            delivery = dataclasses.replace(delivery, missing_since=None)
            self._put(open_order, delivery)
        if delivery.phase is Phase.SENT and now - delivery.at >= self._times.answer:
            # ``at`` remains the time of sending, the last at which it could set out.
            self._put(open_order, dataclasses.replace(delivery, phase=Phase.UNKNOWN))
        if delivery.phase in (Phase.PERMIT, Phase.CONFIRM) and not context.safe:
            return self._end(open_order, UNSAFE, now)
        if delivery.phase in (Phase.PERMIT, Phase.CONFIRM):
            return self._request_permit(open_order, delivery, context, now)
        return []

    def needs_query(self, open_order: orders.Open, now: float) -> bool:
        """Return whether the engine's state should be queried for the order."""
        return self._find(open_order, now).phase in (Phase.UNKNOWN, Phase.TAKEN)

    # Answers.

    def handle_permit_answer(
        self, open_order: orders.Open, answer: gate.Permit | gate.Refused, now: float
    ) -> list[actions.Action]:
        """Record a granted permit, and have the leadership confirmed after it."""
        delivery = self._deliveries.get(open_order.fence)
        if delivery is None or delivery.phase is not Phase.PERMIT:
            return []
        if isinstance(answer, gate.Permit):
            permitted = dataclasses.replace(
                delivery, phase=Phase.CONFIRM, at=now, permit=answer
            )
            self._put(open_order, permitted)
            return [actions.ConfirmLeadership(open_order.fence)]
        if answer.reason == gate.OLD_NUMBER:
            return [actions.Propose(events.Superseded(self._term, open_order.fence))]
        return [
            actions.Withheld(open_order.engine, open_order.order.target, answer.reason)
        ]

    def handle_confirmation(
        self, open_order: orders.Open, context: Context, now: float
    ) -> list[actions.Action]:
        """Send the order: a quorum confirmed the leadership after the permit."""
        delivery = self._deliveries.get(open_order.fence)
        if delivery is None or delivery.phase is not Phase.CONFIRM:
            return []
        engine = context.engine
        if engine is None or engine.incarnation != open_order.incarnation:
            # The engine was removed or restarted; ``advance`` ends the order.
            return []
        if not context.safe:
            return self._end(open_order, UNSAFE, now)
        self._put(open_order, dataclasses.replace(delivery, phase=Phase.SENT, at=now))
        return [actions.Deliver(delivery.gate_name, delivery.permit, open_order.order)]

    def handle_result(
        self, open_order: orders.Open, result: actions.Result, reason: str, now: float
    ) -> list[actions.Action]:
        """Handle the result of sending the order."""
        delivery = self._deliveries.get(open_order.fence)
        if delivery is None or delivery.phase not in (Phase.SENT, Phase.UNKNOWN):
            return []
        if result is actions.Result.UNKNOWN:
            self._put(open_order, dataclasses.replace(delivery, phase=Phase.UNKNOWN))
            return []
        if result is actions.Result.TAKEN:
            self._put(
                open_order, dataclasses.replace(delivery, phase=Phase.TAKEN, at=now)
            )
            return [actions.Propose(events.Sent(self._term, open_order.fence))]
        return self._end(open_order, reason or result.value, now)

    def handle_engine_state(
        self,
        open_order: orders.Open,
        context: Context,
        state: evidence.EngineState,
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Evaluate an order by the engine's state, queried at ``asked_at``."""
        delivery = self._find(open_order, now)
        if delivery.phase not in (Phase.UNKNOWN, Phase.TAKEN) or asked_at < delivery.at:
            return []
        finding = evidence.evaluate(open_order, state)
        if finding.verdict is evidence.Verdict.ABSENT:
            return self._handle_absent(open_order, delivery, context, asked_at, now)
        if not self._is_conclusive(open_order, delivery, context, state, asked_at):
            return []
        if finding.verdict is evidence.Verdict.UNDER_WAY:
            if open_order.taken:
                return []
            return [actions.Propose(events.Sent(self._term, open_order.fence))]
        done = finding.verdict is evidence.Verdict.DONE
        settled = events.Settled(self._term, open_order.fence, done, finding.reason)
        return [actions.Propose(settled)]

    # Next steps.

    def _is_conclusive(
        self,
        open_order: orders.Open,
        delivery: Delivery,
        context: Context,
        state: evidence.EngineState,
        asked_at: float,
    ) -> bool:
        """Return whether no copy of the order can still be in flight unnoticed."""
        if delivery.phase is Phase.TAKEN:
            return True
        if state.fences is not None and open_order.fence in state.fences:
            return True
        return self._checks_fencing(context) or self._cannot_be_in_flight(
            delivery, asked_at
        )

    def _handle_absent(
        self,
        open_order: orders.Open,
        delivery: Delivery,
        context: Context,
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Reissue or end an order of which the engine shows no trace."""
        if delivery.phase is Phase.TAKEN:
            return self._handle_forgotten(open_order, delivery, now)
        if not context.safe:
            if self._cannot_be_in_flight(delivery, asked_at):
                return self._end(open_order, UNSAFE, now)
            return []
        if self._checks_fencing(context) or self._cannot_be_in_flight(
            delivery, asked_at
        ):
            return [actions.Propose(events.Superseded(self._term, open_order.fence))]
        return []

    def _handle_forgotten(
        self, open_order: orders.Open, delivery: Delivery, now: float
    ) -> list[actions.Action]:
        """End an order that the engine accepted, if it shows no trace of it for long.

        The order is not ended at once: an unload may be under way, and the engine may
        have just restarted.
        """
        if delivery.absent_since is None:
            self._put(open_order, dataclasses.replace(delivery, absent_since=now))
            return []
        if now - delivery.absent_since < self._times.forget:
            return []
        return self._end(open_order, FORGOTTEN, now)

    def _end_restarted(
        self, open_order: orders.Open, delivery: Delivery, now: float
    ) -> list[actions.Action]:
        """End the order of a restarted engine once it can't reach the new process.

        A restarted engine has lost the fencing numbers that it saw, so that even one
        that checks them does not refuse an order for its previous incarnation.
        """
        unwritten = delivery.phase in UNWRITTEN_PHASES
        arrived = delivery.phase is Phase.TAKEN
        if unwritten or arrived or self._cannot_be_in_flight(delivery, now):
            return self._end(open_order, RESTARTED, now)
        return []

    def _handle_missing_engine(
        self, open_order: orders.Open, delivery: Delivery, now: float
    ) -> list[actions.Action]:
        """End the order of an engine that stays unannounced."""
        if delivery.missing_since is None:
            delivery = dataclasses.replace(delivery, missing_since=now)
            self._put(open_order, delivery)
        timeout = max(self._times.forget, self._times.max_in_flight)
        if now - delivery.missing_since < timeout:
            return []
        return self._end(open_order, GONE, now)

    def _request_permit(
        self, open_order: orders.Open, delivery: Delivery, context: Context, now: float
    ) -> list[actions.Action]:
        """Request a permit from a gate, and from the next one after a timeout."""
        timeout = self._times.retry if delivery.phase is Phase.PERMIT else 0.0
        timeout = timeout or self._times.permit
        if delivery.tries and now - delivery.at < timeout:
            return []
        if not context.gates:
            return []
        chosen = context.gates[delivery.tries % len(context.gates)]
        requested = Delivery(Phase.PERMIT, now, delivery.tries + 1, chosen)
        self._put(open_order, requested)
        request = actions.RequestPermit(
            chosen, open_order.engine, open_order.incarnation, open_order.fence
        )
        return [request]

    def _end(
        self, open_order: orders.Open, reason: str, now: float
    ) -> list[actions.Action]:
        """End the order as not carried out; it is not sent from now on."""
        self._put(open_order, Delivery(Phase.ENDED, now, reason=reason))
        settled = events.Settled(self._term, open_order.fence, False, reason)
        return [actions.Propose(settled)]

    def _checks_fencing(self, context: Context) -> bool:
        return context.engine is not None and context.engine.checks_fencing

    def _cannot_be_in_flight(self, delivery: Delivery, asked_at: float) -> bool:
        return asked_at - delivery.at >= self._times.max_in_flight

    def _find(self, open_order: orders.Open, now: float) -> Delivery:
        """Return the order's delivery; begin one if this leader has none.

        The outcome of an order that a former leader logged is unknown.
        """
        delivery = self._deliveries.get(open_order.fence)
        if delivery is None:
            delivery = self._begin(open_order, now)
            self._put(open_order, delivery)
        return delivery

    def _begin(self, open_order: orders.Open, now: float) -> Delivery:
        if open_order.taken:
            return Delivery(Phase.TAKEN, now)
        if open_order.term < self._term:
            return Delivery(Phase.UNKNOWN, self._led_at)
        return Delivery(Phase.PERMIT, now)

    def _put(self, open_order: orders.Open, delivery: Delivery) -> None:
        self._deliveries[open_order.fence] = delivery
