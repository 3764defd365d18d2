"""Probes upstreams that could not be connected to until they are reachable again.

A connection that times out may be a lost packet or a full listen queue, over within the
first probes. Requests that no other upstream takes may wait for these.
"""

import contextlib
import socket
from collections import abc

import eventlet

from trestlestall.daemon import events
from trestlestall.daemon.gateway import cached_view, service_reach
from trestlestall.forwarding import upstreams
from trestlestall.wire import addresses

#: The delay between two probes doubles from the first value to the maximum.
FIRST_DELAY_SECONDS = 0.25
MAX_DELAY_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 0.4
#: Seconds after a connection timed out for which requests wait: two probes.
MAY_RECOVER_SECONDS = 3 * FIRST_DELAY_SECONDS + 0.05
POLL_SECONDS = 0.02


class Prober:
    """Probes unreachable upstreams in the background, so that no request waits."""

    def __init__(self, view: cached_view.CachedView) -> None:
        self._view = view
        self._probing: dict[str, service_reach.Loss] = {}
        self._suspected: set[str] = set()
        self._service_reach = service_reach.ServiceReach(view, self._probing)

    @property
    def unreachable(self) -> frozenset[str]:
        """The identities of the upstreams that can't be connected to from here."""
        return frozenset(self._probing)

    def suspect(self, row: upstreams.Row) -> None:
        """Probe an upstream that kept a request waiting.

        Requests on idle connections that are reused get no error when the upstream's
        host is partitioned; only a new connection shows it.
        """
        if row.identity not in self._probing and row.identity not in self._suspected:
            self._suspected.add(row.identity)
            eventlet.spawn(self._probe_once, row)

    def list_unreachable(self, service: str) -> list[str]:
        """Return the upstreams of a service that can't be connected to from here."""
        rows = self._view.table.rows
        return [
            one for one in self._probing if one in rows and rows[one].service == service
        ]

    def wait_until_reached(
        self, service: str, deadline: float, is_wanted: abc.Callable[[], bool]
    ) -> list[str]:
        """Wait for upstreams of a service to which connections timed out just now.

        Return those that were reached as soon as there are any, or none once all have
        been unreachable for ``MAY_RECOVER_SECONDS``, after the deadline, or when
        ``is_wanted`` returns false.
        """
        awaited = self._list_recovering(service)
        while awaited and is_wanted() and self._view.clock() < deadline:
            eventlet.sleep(POLL_SECONDS)
            reached = [one for one in awaited if one not in self._probing]
            if reached:
                return reached
            awaited = self._list_recovering(service)
        return []

    def _list_recovering(self, service: str) -> list[str]:
        """Return the upstreams of a service that may be reached again at once."""
        earliest = self._view.clock() - MAY_RECOVER_SECONDS
        losses = {one: self._probing[one] for one in self.list_unreachable(service)}
        return [
            one
            for one, loss in losses.items()
            if loss.timed_out and loss.since > earliest
        ]

    def _probe_once(self, row: upstreams.Row) -> None:
        reached = can_connect(row.address)
        self._suspected.discard(row.identity)
        if not reached:
            self.mark_unreachable(
                row, "request left unanswered, then a new connection failed"
            )

    def mark_unreachable(
        self, row: upstreams.Row, reason: str, timed_out: bool = False
    ) -> None:
        """Send the upstream no requests until a connection to it succeeds.

        ``timed_out`` is whether its host did not reply at all.
        """
        self._view.placer.set_reachable(row.identity, False)
        if row.identity in self._probing:
            return
        self._probing[row.identity] = service_reach.Loss(self._view.clock(), timed_out)
        self._view.log.write(
            events.forwarding.UNREACHABLE,
            upstream=row.identity,
            address=row.address,
            reason=reason,
        )
        self._service_reach.update(row.service)
        eventlet.spawn(self._probe_until_reached, row)

    def _probe_until_reached(self, row: upstreams.Row) -> None:
        started = self._view.clock()
        wait = FIRST_DELAY_SECONDS
        try:
            while self._is_serving(row):
                eventlet.sleep(wait)
                wait = min(MAX_DELAY_SECONDS, 2 * wait)
                if can_connect(row.address):
                    self._mark_reachable(row, self._view.clock() - started)
                    return
        finally:
            self._probing.pop(row.identity, None)
            self._service_reach.update(row.service)

    def _is_serving(self, row: upstreams.Row) -> bool:
        known = self._view.table.rows.get(row.identity)
        return known is not None and known.state is upstreams.State.SERVING

    def _mark_reachable(self, row: upstreams.Row, seconds: float) -> None:
        self._view.placer.set_reachable(row.identity, True)
        self._view.log.write(
            events.forwarding.REACHED,
            upstream=row.identity,
            address=row.address,
            seconds=round(seconds, 3),
        )


def can_connect(address: str) -> bool:
    """Return whether a connection to ``IP:port`` can be opened."""
    pair = addresses.parse(address)
    with contextlib.suppress(OSError):
        socket.create_connection(pair, timeout=CONNECT_TIMEOUT_SECONDS).close()
        return True
    return False
