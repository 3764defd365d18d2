"""Finds out which upstreams this gateway reaches, and a second way to the others.

An upstream that can't be connected to is probed until it can be again. A connection
that times out may be a lost packet or a full listen queue, over within the first
probes; requests that no other upstream takes may wait for these. Meanwhile a peer
gateway is asked to connect to it: if that succeeds, requests go through the peer.

Links are checked before a request fails on them (``link_checks``).
"""

import contextlib
from collections import abc

import eventlet

from trestlestall.daemon import events
from trestlestall.daemon.gateway import (
    cached_view,
    connections,
    exchanges as gateway_exchanges,
    link_checks,
    peers as gateway_peers,
    service_reach,
    tunnel_race,
    tunnels,
)
from trestlestall.forwarding import reach as reaches, upstreams
from trestlestall.wire import clocks

#: The delay between two probes doubles from the first value to the maximum.
FIRST_DELAY_SECONDS = 0.25
MAX_DELAY_SECONDS = 2.0
#: The first delay between two tries to reach an upstream through peers; it doubles too.
FIRST_SEEK_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 0.4
#: Timeout of a check, for whose result a request may wait.
CHECK_TIMEOUT_SECONDS = connections.CONNECT_TIMEOUT_SECONDS
#: Seconds after a connection failed for which requests wait: two probes.
MAY_RECOVER_SECONDS = 3 * FIRST_DELAY_SECONDS + 0.05
POLL_SECONDS = 0.02
#: Interval at which silent upstreams are looked for, and losses are reported.
WATCH_SECONDS = 0.1
#: The first interval at which peers are asked for after a loss, which doubles to the
#: maximum, and the interval without one.
FIRST_ASK_SECONDS = 0.1
REFRESH_SECONDS = 10.0
FAILED_CHECK = "request left unanswered, then a new connection failed"


class Prober:
    """Checks and probes upstreams in the background, so that no request waits."""

    def __init__(
        self,
        view: cached_view.CachedView,
        pool: connections.Pool,
        peers: gateway_peers.Peers,
    ) -> None:
        self.reach = reaches.Reach()
        self.exchanges = gateway_exchanges.Exchanges()
        self._view = view
        self._pool = pool
        self._peers = peers
        self._checks = link_checks.LinkChecks(
            view,
            self.reach,
            self.exchanges.silence,
            self._connect,
            pool.store,
            self._record_failed_check,
        )
        self._probing: set[str] = set()
        #: Upstreams for which peers are tried, and whether there is no result yet.
        self._seeking: dict[str, bool] = {}
        self._reported: frozenset[str] = frozenset()
        self._asked_at = float("-inf")
        self._ask_pause = FIRST_ASK_SECONDS
        self._service_reach = service_reach.ServiceReach(view, self.reach)
        peers.on_failed = self._leave_peer

    @property
    def unreachable(self) -> frozenset[str]:
        """The identities of the upstreams that this gateway reaches in no way."""
        return self.reach.unreachable

    @contextlib.contextmanager
    def watch(self) -> abc.Iterator[None]:
        """Check silent upstreams, and report losses, during the block."""
        watching = eventlet.spawn(self._watch)
        try:
            yield
        finally:
            watching.kill()

    def is_partitioned(self) -> bool:
        """Return whether this gateway can't connect to most of the upstreams."""
        return self.reach.is_partition(self._view.list_serving())

    # Connections.

    def acquire(
        self, row: upstreams.Row, request_id: str, seconds: float
    ) -> connections.Connection | connections.Unreachable:
        """Return a connection to an upstream for a request: an idle or a new one."""
        idle = self._pool.take(row.address, request_id)
        if idle is not None:
            return idle
        if self.reach.find_way(row.identity) is not reaches.Way.PEER:
            return self._pool.open(row.address, seconds)
        found = self._peers.open(row, seconds=min(seconds, tunnel_race.WAIT_SECONDS))
        if isinstance(found, connections.Unreachable) and not found.is_out_of_time:
            self._record_peer(row, reached=False)
        return found

    def _connect(
        self, row: upstreams.Row
    ) -> connections.Connection | connections.Unreachable:
        """Return a new connection on the way by which an upstream is reached now."""
        if self.reach.find_way(row.identity) is reaches.Way.DIRECT:
            return self._pool.open(row.address, CHECK_TIMEOUT_SECONDS)
        return self._peers.open(row, self.exchanges.find_silent_peer(row.identity))

    def _record_failed_check(
        self, row: upstreams.Row, failed: connections.Unreachable
    ) -> None:
        if self.reach.find_way(row.identity) is reaches.Way.PEER:
            self._record_peer(row, reached=False)
        else:
            self.mark_unreachable(row, FAILED_CHECK, failed.timed_out)

    def is_refused(self, row: upstreams.Row) -> bool:
        """Return whether the upstream's host refuses connections, also of a peer.

        A host that only this gateway can't reach may seem to refuse them as well.
        """
        opened = connections.connect(row.address, CHECK_TIMEOUT_SECONDS)
        if not isinstance(opened, connections.Unreachable):
            opened.close()
            return False
        if not opened.refused:
            return False
        found = self._peers.open(row)
        if isinstance(found, tunnels.Tunnel):
            self._pool.store(found)
            self.mark_unreachable(row, opened.reason)
            self._record_peer(row, reached=True)
            return False
        return True

    # Checks.

    def suspect(self, row: upstreams.Row) -> None:
        """Check the link to an upstream that kept a request waiting."""
        self._checks.suspect(row)

    def _watch(self) -> None:
        while True:
            eventlet.sleep(WATCH_SECONDS)
            self._checks.check_silent()
            self._report()
            if self._view.clock() - self._asked_at >= REFRESH_SECONDS:
                self._ask_pause = FIRST_ASK_SECONDS
                self._ask()

    # Losses.

    def list_unreachable(self, service: str) -> list[str]:
        """Return the upstreams of a service that are reached in no way."""
        rows = self._view.table.rows
        return [
            one
            for one in self.unreachable
            if one in rows and rows[one].service == service
        ]

    def wait_until_reached(
        self, service: str, deadline: float, is_wanted: abc.Callable[[], bool]
    ) -> list[str]:
        """Wait for upstreams of a service to which connections failed just now.

        Return those that were reached as soon as there are any, or none once all have
        been unreachable for ``MAY_RECOVER_SECONDS``, after the deadline, or when
        ``is_wanted`` returns false.
        """
        awaited = self._list_recovering(service)
        while awaited and is_wanted() and self._view.clock() < deadline:
            eventlet.sleep(POLL_SECONDS)
            unreachable = self.unreachable
            reached = [one for one in awaited if one not in unreachable]
            if reached:
                return reached
            awaited = self._list_recovering(service)
        return []

    def _list_recovering(self, service: str) -> list[str]:
        """Return the upstreams of a service that may be reached again at once.

        That is the case for those whose hosts did not reply, and for those for which
        peers are being tried.
        """
        earliest = clocks.read_running() - MAY_RECOVER_SECONDS
        losses = {one: self.reach.losses[one] for one in self.list_unreachable(service)}
        return [
            one
            for one, loss in losses.items()
            if self._seeking.get(one) or (loss.timed_out and loss.lost_at > earliest)
        ]

    def mark_unreachable(
        self, row: upstreams.Row, reason: str, timed_out: bool = False
    ) -> None:
        """Send the upstream no requests until it is reached, directly or by a peer.

        ``timed_out`` is whether its host did not reply at all.
        """
        if timed_out:
            self._pool.drop(row.address)
        now = clocks.read_running()
        if not self.reach.record_loss(row.identity, now, timed_out):
            return
        self._view.placer.set_reachable(row.identity, False)
        self._view.log.write(
            events.forwarding.UNREACHABLE,
            upstream=row.identity,
            address=row.address,
            reason=reason,
        )
        self._service_reach.update(row.service)
        self._checks.check_related()
        self._start_seeking(row)
        if row.identity not in self._probing:
            self._probing.add(row.identity)
            eventlet.spawn(self._probe_until_reached, row)

    def _probe_until_reached(self, row: upstreams.Row) -> None:
        started = clocks.read_running()
        wait = FIRST_DELAY_SECONDS
        try:
            while self._is_serving(row):
                eventlet.sleep(wait)
                wait = min(MAX_DELAY_SECONDS, 2 * wait)
                opened = connections.connect(row.address, CONNECT_TIMEOUT_SECONDS)
                if isinstance(opened, connections.Unreachable):
                    self.reach.record_loss(row.identity, started, opened.timed_out)
                    continue
                opened.close()
                wait = FIRST_DELAY_SECONDS
                if self.reach.record_connected(row.identity):
                    self._mark_reachable(row, clocks.read_running() - started)
                    return
        finally:
            self._probing.discard(row.identity)
            self.reach.forget(row.identity)
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

    # Peers.

    def _start_seeking(self, row: upstreams.Row) -> None:
        """Look for a peer in the background; requests may wait for the first result."""
        if row.identity not in self._seeking:
            self._seeking[row.identity] = True
            eventlet.spawn(self._seek_peer, row)

    def _seek_peer(self, row: upstreams.Row) -> None:
        """Try to reach a lost upstream through peers until it is reached."""
        wait = FIRST_SEEK_SECONDS
        try:
            while self.reach.find_way(row.identity) is reaches.Way.NONE:
                self._ask()
                found = self._peers.open(row)
                self._seeking[row.identity] = False
                if not isinstance(found, connections.Unreachable):
                    self._pool.store(found)
                    self._record_peer(row, reached=True)
                    return
                eventlet.sleep(wait)
                wait = min(MAX_DELAY_SECONDS, 2 * wait)
        finally:
            del self._seeking[row.identity]

    def _record_peer(self, row: upstreams.Row, reached: bool) -> None:
        """Record whether a lost upstream is reached through a peer."""
        now = clocks.read_running()
        if not self.reach.record_peer(row.identity, reached, now):
            return
        self._view.placer.set_reachable(row.identity, reached)
        loss = self.reach.losses[row.identity]
        self._view.log.write(
            events.forwarding.REACHED_BY_PEER
            if reached
            else events.forwarding.PEER_LOST,
            upstream=row.identity,
            address=row.address,
            seconds=round(now - loss.since, 3),
        )
        self._service_reach.update(row.service)
        if not reached:
            self._start_seeking(row)
        elif loss.timed_out:
            # The upstream is sound, so silent exchanges wait for a lost path.
            self.exchanges.leave_silent(row.identity, "")

    def _leave_peer(self, peer: str) -> None:
        """Use no tunnel of a peer that has failed."""
        for row in self._view.table.rows.values():
            self._pool.drop(row.address, peer)
            self.exchanges.leave_silent(row.identity, peer)

    def _ask(self) -> None:
        """Ask for peers, less and less often while that does not help."""
        now = self._view.clock()
        if now - self._asked_at >= self._ask_pause:
            self._asked_at = now
            self._ask_pause = min(MAX_DELAY_SECONDS, 2 * self._ask_pause)
            self._report()
            self._peers.ask()

    def _report(self) -> None:
        """Tell directories what can't be reached directly, when that has changed."""
        lost = frozenset(self.reach.losses)
        if lost != self._reported:
            if lost - self._reported:
                self._ask_pause = FIRST_ASK_SECONDS
            self._reported = lost
            self._peers.offer(lost)
