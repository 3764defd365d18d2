"""The way of each open order from its intent in the log to its end.

An order that this leader logged gets a permit from a gate, then a confirmation of the
leadership, and is then handed over, once. When its fate is not known (the answer was
lost, or a former leader logged it), the engine is asked. What the engine says counts
once nothing of the order can still be on its way: at once for an engine that checks
fencing, since the next number shuts it out; at once when the engine lists its number;
else after ``Sending.outlive``.
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
    """Where an order is on its way; nothing was written before ``HANDED``."""

    PERMIT = "permit"
    CONFIRM = "confirm"
    HANDED = "handed"
    UNKNOWN = "unknown"
    TAKEN = "taken"
    ENDED = "ended"


UNWRITTEN = (Phase.PERMIT, Phase.CONFIRM)


@dataclasses.dataclass(frozen=True)
class Flight:
    """One order's way; ``at`` is when the phase began, ``tries`` counts permits."""

    phase: Phase
    at: float
    tries: int = 0
    gate_name: str = ""
    permit: gate.Permit | None = None
    reason: str = ""
    absent_since: float | None = None
    gone_since: float | None = None


@dataclasses.dataclass(frozen=True)
class Here:
    """What an order's next step depends on.

    ``engine`` is its newest announcement, None while there is none; ``gates`` those of
    its data centre; ``safe`` whether the order may be carried out as things are.
    """

    engine: model.Engine | None
    gates: tuple[str, ...]
    safe: bool


class Flights:
    """The open orders' ways, by fencing number, of one leader in one term."""

    def __init__(self, times: placement_settings.Sending):
        self._times = times
        self._flights: dict[int, Flight] = {}
        self._term = 0
        self._led_at = 0.0

    def begin_term(self, term: int, now: float) -> None:
        """Forget everything: what former leaders sent is not known here."""
        self._flights.clear()
        self._term = term
        self._led_at = now

    def keep(self, fences: set[int]) -> None:
        """Forget the ways of orders that have ended."""
        for fence in self._flights.keys() - fences:
            del self._flights[fence]

    def advance(
        self, held: orders.Open, here: Here, now: float
    ) -> list[actions.Action]:
        """Do what is due for an open order."""
        flight = self._find(held, now)
        engine = here.engine
        if flight.phase is Phase.ENDED:
            return self._end(held, flight.reason, now)
        if engine is None:
            return self._note_gone(held, flight, now)
        if engine.incarnation > held.incarnation:
            return self._end_restarted(held, flight, now)
        if flight.gone_since is not None:
            flight = dataclasses.replace(flight, gone_since=None)
            self._put(held, flight)
        if flight.phase is Phase.HANDED and now - flight.at >= self._times.answer:
            # Counted from the handing over: that was the last chance to be on its way.
            self._put(held, dataclasses.replace(flight, phase=Phase.UNKNOWN))
        if flight.phase in (Phase.PERMIT, Phase.CONFIRM) and not here.safe:
            return self._end(held, UNSAFE, now)
        if flight.phase in (Phase.PERMIT, Phase.CONFIRM):
            return self._request_permit(held, flight, here, now)
        return []

    def needs_answer(self, held: orders.Open, now: float) -> bool:
        """Return whether the engine should be asked about the order."""
        return self._find(held, now).phase in (Phase.UNKNOWN, Phase.TAKEN)

    # What comes back.

    def note_granted(
        self, held: orders.Open, answer: gate.Permit | gate.Refused, now: float
    ) -> list[actions.Action]:
        """Take a permit, and have the leadership confirmed after it."""
        flight = self._flights.get(held.fence)
        if flight is None or flight.phase is not Phase.PERMIT:
            return []
        if isinstance(answer, gate.Permit):
            taken = dataclasses.replace(
                flight, phase=Phase.CONFIRM, at=now, permit=answer
            )
            self._put(held, taken)
            return [actions.Confirm(held.fence)]
        if answer.reason == gate.OLD_NUMBER:
            return [actions.Propose(events.Superseded(self._term, held.fence))]
        return [actions.Withheld(held.engine, held.order.target, answer.reason)]

    def note_confirmed(
        self, held: orders.Open, here: Here, now: float
    ) -> list[actions.Action]:
        """Hand the order over: a quorum confirmed the leadership after the permit."""
        flight = self._flights.get(held.fence)
        if flight is None or flight.phase is not Phase.CONFIRM:
            return []
        engine = here.engine
        if engine is None or engine.incarnation != held.incarnation:
            # It has gone or restarted meanwhile; ``advance`` ends the order.
            return []
        if not here.safe:
            return self._end(held, UNSAFE, now)
        self._put(held, dataclasses.replace(flight, phase=Phase.HANDED, at=now))
        return [actions.Deliver(flight.gate_name, flight.permit, held.order)]

    def note_delivered(
        self, held: orders.Open, result: actions.Result, reason: str, now: float
    ) -> list[actions.Action]:
        """Take what became of the handing over."""
        flight = self._flights.get(held.fence)
        if flight is None or flight.phase not in (Phase.HANDED, Phase.UNKNOWN):
            return []
        if result is actions.Result.UNKNOWN:
            self._put(held, dataclasses.replace(flight, phase=Phase.UNKNOWN))
            return []
        if result is actions.Result.TAKEN:
            self._put(held, dataclasses.replace(flight, phase=Phase.TAKEN, at=now))
            return [actions.Propose(events.Sent(self._term, held.fence))]
        return self._end(held, reason or result.value, now)

    def note_told(
        self,
        held: orders.Open,
        here: Here,
        state: evidence.EngineState,
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Judge an order by the engine's account, which was asked for at a time."""
        flight = self._find(held, now)
        if flight.phase not in (Phase.UNKNOWN, Phase.TAKEN) or asked_at < flight.at:
            return []
        finding = evidence.judge(held, state)
        if finding.verdict is evidence.Verdict.ABSENT:
            return self._note_absent(held, flight, here, asked_at, now)
        if not self._is_fixed(held, flight, here, state, asked_at):
            return []
        if finding.verdict is evidence.Verdict.UNDER_WAY:
            if held.taken:
                return []
            return [actions.Propose(events.Sent(self._term, held.fence))]
        done = finding.verdict is evidence.Verdict.DONE
        settled = events.Settled(self._term, held.fence, done, finding.reason)
        return [actions.Propose(settled)]

    # How it goes on.

    def _is_fixed(
        self,
        held: orders.Open,
        flight: Flight,
        here: Here,
        state: evidence.EngineState,
        asked_at: float,
    ) -> bool:
        """Return whether nothing of the order can still be on its way unseen."""
        if flight.phase is Phase.TAKEN:
            return True
        if state.fences is not None and held.fence in state.fences:
            return True
        return self._checks(here) or self._has_outlived(flight, asked_at)

    def _note_absent(
        self,
        held: orders.Open,
        flight: Flight,
        here: Here,
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """The engine shows nothing of the order: give it again, or give it up."""
        if flight.phase is Phase.TAKEN:
            return self._note_forgotten(held, flight, now)
        if not here.safe:
            if self._has_outlived(flight, asked_at):
                return self._end(held, UNSAFE, now)
            return []
        if self._checks(here) or self._has_outlived(flight, asked_at):
            return [actions.Propose(events.Superseded(self._term, held.fence))]
        return []

    def _note_forgotten(
        self, held: orders.Open, flight: Flight, now: float
    ) -> list[actions.Action]:
        """The engine took the order and shows nothing of it; believe it after a while.

        An unload may be under way, and the engine may have just restarted.
        """
        if flight.absent_since is None:
            self._put(held, dataclasses.replace(flight, absent_since=now))
            return []
        if now - flight.absent_since < self._times.forget:
            return []
        return self._end(held, FORGOTTEN, now)

    def _end_restarted(
        self, held: orders.Open, flight: Flight, now: float
    ) -> list[actions.Action]:
        """The engine restarted: end the order once it can't reach the new process.

        A restarted engine has forgotten which numbers it saw, so that even one that
        checks them is no protection here.
        """
        unwritten = flight.phase in UNWRITTEN
        arrived = flight.phase is Phase.TAKEN
        if unwritten or arrived or self._has_outlived(flight, now):
            return self._end(held, RESTARTED, now)
        return []

    def _note_gone(
        self, held: orders.Open, flight: Flight, now: float
    ) -> list[actions.Action]:
        """The engine is not announced: end the order when it stays away."""
        if flight.gone_since is None:
            flight = dataclasses.replace(flight, gone_since=now)
            self._put(held, flight)
        patience = max(self._times.forget, self._times.outlive)
        if now - flight.gone_since < patience:
            return []
        return self._end(held, GONE, now)

    def _request_permit(
        self, held: orders.Open, flight: Flight, here: Here, now: float
    ) -> list[actions.Action]:
        """Ask a gate, and the next one when there is no answer for a while."""
        patience = self._times.retry if flight.phase is Phase.PERMIT else 0.0
        patience = patience or self._times.permit
        if flight.tries and now - flight.at < patience:
            return []
        if not here.gates:
            return []
        chosen = here.gates[flight.tries % len(here.gates)]
        again = Flight(Phase.PERMIT, now, flight.tries + 1, chosen)
        self._put(held, again)
        request = actions.RequestPermit(
            chosen, held.engine, held.incarnation, held.fence
        )
        return [request]

    def _end(self, held: orders.Open, reason: str, now: float) -> list[actions.Action]:
        """End the order as not carried out; nothing of it is sent from now on."""
        self._put(held, Flight(Phase.ENDED, now, reason=reason))
        settled = events.Settled(self._term, held.fence, False, reason)
        return [actions.Propose(settled)]

    def _checks(self, here: Here) -> bool:
        return here.engine is not None and here.engine.checks_fencing

    def _has_outlived(self, flight: Flight, asked_at: float) -> bool:
        return asked_at - flight.at >= self._times.outlive

    def _find(self, held: orders.Open, now: float) -> Flight:
        """Return the order's way; one that was not begun here is unknown."""
        flight = self._flights.get(held.fence)
        if flight is None:
            flight = self._begin(held, now)
            self._put(held, flight)
        return flight

    def _begin(self, held: orders.Open, now: float) -> Flight:
        if held.taken:
            return Flight(Phase.TAKEN, now)
        if held.term < self._term:
            return Flight(Phase.UNKNOWN, self._led_at)
        return Flight(Phase.PERMIT, now)

    def _put(self, held: orders.Open, flight: Flight) -> None:
        self._flights[held.fence] = flight
