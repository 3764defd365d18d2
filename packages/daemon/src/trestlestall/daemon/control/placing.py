"""Placement in a control process: connects ``daemon/placement`` with voter and links.

It is active only while this process leads, has applied every entry of former terms, and
the configuration declares copies or an order is still open; else it does nothing and
sends nothing. Its proposals and reads have tokens of their own type, so that they are
never forwarded to another process and never retried: an event that is lost with its
term is obsolete.
"""

from __future__ import annotations

import dataclasses
import typing
import zlib
from collections import abc

from trestlestall.agreement import events
from trestlestall.configuration import commands, documents
from trestlestall.daemon import environment, logs
from trestlestall.daemon.control import arrivals, machine as machines, voter as voters
from trestlestall.daemon.placement import leader, messages, sightings
from trestlestall.placement import orders, settings

if typing.TYPE_CHECKING:
    from trestlestall.daemon.control import server as servers

TURN_INTERVAL_SECONDS = 0.2
QUERY_INTERVAL_SECONDS = 2.0
OPERATOR = "placement"
RECENT_ORDERS_SHOWN = 20
ROUTER_MESSAGES = (
    messages.PermitAnswer,
    messages.OrderAnswer,
    messages.EngineAnswer,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Identifies a proposal or read of placement; tokens of calls are integers."""

    number: int


class Placing:
    """The placement of one control process; ``Server.turn`` calls ``turn``."""

    def __init__(
        self,
        server: servers.Server,
        clock: environment.Clock,
        log: logs.Log,
        wake: abc.Callable[[], object],
    ):
        self._server = server
        self._clock = clock
        self._wake = wake
        self._reports = sightings.RouterReports()
        effects = leader.Effects(
            self._propose,
            self._read,
            self._submit,
            server.links.send,
            self._reports.list_sightings,
            self._reports.list_gates,
        )
        # The seed differs between voters, so that a successor draws other times for its
        # loads.
        seed = zlib.crc32(server.own.encode())
        self._leader = leader.Leader(settings.Settings(), seed, effects, clock, log)
        self._term: int | None = None
        self._confirmed_term: int | None = None
        self._last_token = 0
        self._pending_reads: dict[Token, abc.Callable[[], object]] = {}
        self._applied: machines.Machine | None = None
        self._turned_at = float("-inf")
        self._queried_at = float("-inf")

    # For the server.

    def turn(self, voter: voters.Voter, now: float) -> None:
        """Do everything that is due, after the voter's turn."""
        if not self._is_active(voter):
            self._end_term()
            return
        if self._term != voter.node.term:
            self._begin_term(voter.node.term)
        if self._confirmed_term != self._term:
            return
        self._pass_state(voter.machine)
        if now - self._turned_at >= TURN_INTERVAL_SECONDS:
            self._turned_at = now
            self._query_routers(now)
            self._leader.handle_demand(self._reports.sum_demand())
            self._leader.turn()

    def handle_result(self, token: object, result: voters.Result) -> None:
        """Handle the result of a proposal or a read of placement; ignore others."""
        on_confirmed = (
            self._pending_reads.pop(token, None) if isinstance(token, Token) else None
        )
        if on_confirmed is not None and isinstance(result, voters.Current):
            on_confirmed()

    def remove_router(self, peer: str) -> None:
        """Remove what a router reported when its link closes."""
        self._reports.forget(peer)

    def handle_answer(self, peer: str, message: typing.Any) -> None:
        """Handle a router's answer about an order."""
        self._leader.handle(message)

    def handle_sightings(self, peer: str, message: sightings.SightingsAnswer) -> None:
        """Handle a router's report on its engines."""
        if self._server.links.is_control(peer) or self._term is None:
            return
        for one in self._reports.handle_answer(peer, message):
            self._leader.handle_answers(one.engine, one.model, one.answers, one.on_time)

    def describe(self, machine: machines.Machine) -> dict[str, typing.Any]:
        """Return the orders of the replicated state, and copies as routers see them.

        ``held_copies`` counts copies by model and data centre; it is empty unless this
        process makes the placement.
        """
        placed = machine.placement
        copies: dict[str, dict[str, int]] = {}
        for one in self._reports.list_sightings():
            for name in one.upstream.models if one.live else ():
                counts = copies.setdefault(name, {})
                data_centre = one.upstream.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return {
            "open_orders": [describe_order(one) for one in placed.open.values()],
            "recent_orders": [
                {**describe_order(one), "done": one.done, "reason": one.reason}
                for one in placed.recent[-RECENT_ORDERS_SHOWN:]
            ],
            "held_copies": copies,
        }

    # Terms of leadership.

    def _is_active(self, voter: voters.Voter) -> bool:
        """Return whether this process leads and placement has anything to do."""
        if not voter.leads:
            return False
        placed = voter.machine.placement
        copies = voter.machine.configuration.configuration.copies
        return bool(copies or placed.tasks or placed.open)

    def _begin_term(self, term: int) -> None:
        """Wait for a confirmed read: then all entries of former terms are applied."""
        self._end_term()
        self._term = term
        self._read(lambda: self._handle_confirmed_term(term))

    def _handle_confirmed_term(self, term: int) -> None:
        if term == self._term:
            self._confirmed_term = term
            voter = self._server.voter
            # Before the term begins, so that orders of former leaders are known.
            self._pass_state(voter.machine)
            self._leader.handle_leadership(term)

    def _end_term(self) -> None:
        if self._term is None:
            return
        self._term = self._confirmed_term = None
        self._pending_reads.clear()
        self._reports.clear()
        self._leader.handle_leadership(None)

    def _pass_state(self, machine: machines.Machine) -> None:
        previous = self._applied
        self._applied = machine
        configuration = machine.configuration.configuration
        if (
            previous is None
            or previous.placement is not machine.placement
            or previous.configuration.configuration is not configuration
        ):
            self._leader.handle_state(machine.placement, configuration)

    def _query_routers(self, now: float) -> None:
        if now - self._queried_at < QUERY_INTERVAL_SECONDS:
            return
        self._queried_at = now
        links = self._server.links
        for name in sorted(links.linked()):
            if not links.is_control(name):
                links.send(name, self._reports.make_call(name))

    # Effects of the placement leader.

    def _propose(self, document: dict[str, typing.Any]) -> None:
        self._propose_entry(machines.PLACEMENT, document)

    def _submit(self, command: commands.Command) -> None:
        """Propose a drain or an admission with a unique request identifier."""
        request_id = f"{OPERATOR}-{self._term}-{self._last_token + 1}"
        submission = commands.Submission(
            request_id, OPERATOR, None, command, self._clock.wall()
        )
        self._propose_entry(
            machines.SUBMISSION, documents.encode_submission(submission)
        )

    def _propose_entry(self, kind: str, document: dict[str, typing.Any]) -> None:
        payload = machines.encode_entry(kind, self._clock.wall(), document)
        self._server.enqueue_event(events.Propose(self._create_token(), payload))
        self._wake()

    def _read(self, on_confirmed: abc.Callable[[], object]) -> None:
        """Call back once a quorum round that begins now confirmed the leadership."""
        token = self._create_token()
        self._pending_reads[token] = on_confirmed
        self._server.enqueue_event(events.Read(token))
        self._wake()

    def _create_token(self) -> Token:
        self._last_token += 1
        return Token(self._last_token)


def describe_order(record: orders.Open | orders.Closed) -> dict[str, typing.Any]:
    """Return the record of an order as plain values."""
    return {
        "fence": record.fence,
        "upstream": record.engine,
        "order": record.order.kind,
        "model": record.order.target,
        "at": record.at,
    }


@arrivals.handles(sightings.SightingsAnswer)
def handle_sightings(
    server: servers.Server, peer: str, message: sightings.SightingsAnswer
) -> None:
    """Pass on a router's report on its engines."""
    server.placing.handle_sightings(peer, message)


def handle_answer(server: servers.Server, peer: str, message: typing.Any) -> None:
    """Pass on an answer about an order; ignore it unless it is from a router."""
    if not server.links.is_control(peer):
        server.placing.handle_answer(peer, message)


for kind in ROUTER_MESSAGES:
    arrivals.HANDLERS[kind] = handle_answer
