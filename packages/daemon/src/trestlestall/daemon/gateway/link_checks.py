"""Checks the links to upstreams by new connections, before requests fail on them.

Requests on idle connections that are reused get no error when the upstream's host is
partitioned; only a new connection shows it. ``forwarding.silence`` decides when.
"""

from collections import abc

import eventlet

from trestlestall.daemon.gateway import cached_view, connections
from trestlestall.forwarding import reach as reaches, silence as silences, upstreams
from trestlestall.wire import clocks

Connect = abc.Callable[
    [upstreams.Row], connections.Connection | connections.Unreachable
]


class LinkChecks:
    """The checks of one gateway, in the background.

    ``connect`` opens a connection to an upstream, which is kept for the next request;
    ``on_failed`` is called with an upstream to which that failed.
    """

    def __init__(
        self,
        view: cached_view.CachedView,
        reach: reaches.Reach,
        silence: silences.Silence,
        connect: Connect,
        store: abc.Callable[[connections.Connection], object],
        on_failed: abc.Callable[[upstreams.Row, connections.Unreachable], object],
    ) -> None:
        self._view = view
        self._reach = reach
        self._silence = silence
        self._connect = connect
        self._store = store
        self._on_failed = on_failed
        self._checking: set[str] = set()

    def suspect(self, row: upstreams.Row) -> None:
        """Check the link to an upstream, unless that is being done."""
        if row.identity not in self._checking:
            self._checking.add(row.identity)
            eventlet.spawn(self._check, row)

    def check_silent(self) -> None:
        """Check the links to upstreams that are silent for too long."""
        rows = self._view.table.rows
        self._silence.forget(rows)
        for identity in self._silence.list_suspects(clocks.read_running()):
            if identity in rows:
                self.suspect(rows[identity])

    def check_related(self) -> None:
        """Check further links after a loss, since more may be lost together."""
        losses = {one: loss.since for one, loss in self._reach.losses.items()}
        related = self._silence.list_related(
            losses, self._view.list_serving(), clocks.read_running()
        )
        for identity in related:
            self.suspect(self._view.table.rows[identity])

    def _check(self, row: upstreams.Row) -> None:
        self._silence.record_check(row.identity, clocks.read_running())
        try:
            found = self._connect(row)
        finally:
            self._checking.discard(row.identity)
        if isinstance(found, connections.Unreachable):
            self._on_failed(row, found)
        else:
            self._silence.record_reached(row.identity, clocks.read_running())
            self._store(found)
