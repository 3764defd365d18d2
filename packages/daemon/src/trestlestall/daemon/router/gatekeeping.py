"""The router's part in placement: its gate, and its reports to the control leader.

Importing this module registers the handlers for the messages of ``daemon/placement``.
"""

from __future__ import annotations

import typing

import eventlet

from trestlestall.daemon.placement import gate_server, messages, sightings
from trestlestall.daemon.router import peers
from trestlestall.membership import upstreams
from trestlestall.placement import gate

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process


class Gatekeeping:
    """The gate of this router process, and the sightings it has reported to control."""

    def __init__(self, router: process.Router):
        self._router = router
        # The mesh draws a new identity at each start of the process.
        incarnation = f"{router.settings.name}#{router.mesh.identity}"
        self.server = gate_server.GateServer(
            gate.Gate(incarnation),
            self._find,
            router.env.clock,
            router.mesh.send,
            eventlet.spawn,
        )
        self._tracker = sightings.ChangeTracker(
            incarnation, router.settings.data_centre
        )

    def answer(self, call: sightings.SightingsCall) -> sightings.SightingsAnswer | None:
        """Return what the control leader lacks; ``None`` if it is up to date."""
        now = self._router.env.clock.monotonic()
        rows = sightings.list_rows(self._router.members.table, now)
        tally = self._router.reports.demand
        return self._tracker.answer(
            call, rows, tally.list_demand(), tally.list_answers()
        )

    def _find(self, name: str) -> upstreams.Upstream | None:
        """Return the newest announcement of an engine, unless it has left."""
        entry = self._router.members.table.entries.get(name)
        if entry is None or entry.fact.left or not entry.fact.described:
            return None
        return entry.upstream


@peers.register_handler(sightings.SightingsCall)
def answer_sightings(
    router: process.Router, sender: str, message: sightings.SightingsCall
) -> None:
    """Send a control process what changed since its last call."""
    if sender in router.controls.names:
        answer = router.gatekeeping.answer(message)
        if answer is not None:
            router.mesh.send(sender, answer)


@peers.register_handler(messages.PermitCall)
@peers.register_handler(messages.OrderCall)
@peers.register_handler(messages.EngineCall)
def handle_order_call(router: process.Router, sender: str, message: object) -> None:
    """Handle a control process's call about an order to an engine."""
    if sender in router.controls.names:
        router.gatekeeping.server.handle(sender, message)
