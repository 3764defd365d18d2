"""Several peers tried for one tunnel, side by side; the first that opens is used."""

import typing
from collections import abc

import eventlet
from eventlet import queue

from trestlestall.daemon.gateway import connections, tunnels
from trestlestall.wire import clocks

#: How long each peer is waited for before the next one is tried as well: several times
#: what a tunnel takes, and a part of a connect timeout.
STAGGER_SECONDS = 0.03
#: How long all peers are waited for: a moment more than opening a tunnel may take.
WAIT_SECONDS = tunnels.OPEN_SECONDS + 0.1
#: Peers to which an upstream's host refuses a connection before no more are tried, and
#: those that were are waited for no longer than for a connection.
WITNESSES = 2

Failed: typing.TypeAlias = tunnels.PeerFailed | tunnels.UpstreamFailed
Result: typing.TypeAlias = tunnels.Tunnel | Failed


class TunnelRace:
    """Tries to open tunnels side by side; the first that opens is used.

    ``attempt`` opens one through the peer of a record, and returns why it didn't open.
    ``tunnel`` is the one to use, ``failed`` are the results of the others.
    """

    def __init__(self, attempt: abc.Callable[[typing.Any], Result]) -> None:
        self.running = 0
        self.tunnel: tunnels.Tunnel | None = None
        self.failed: list[Failed] = []
        self._attempt = attempt
        self._found = queue.LightQueue()
        self._is_over = False

    @property
    def has_witnesses(self) -> bool:
        """Whether the upstream's host refused connections to enough peers."""
        return sum(map(is_refusal, self.failed)) >= WITNESSES

    def run(
        self, records: abc.Iterable[typing.Any], seconds: float
    ) -> tunnels.Tunnel | None:
        """Try one peer after the other; return the first tunnel, None without one."""
        started = clocks.read()
        for record in records:
            self.start(record)
            self._collect(STAGGER_SECONDS)
            if self.tunnel is not None or self.has_witnesses:
                break
        while self.running and self.tunnel is None:
            limit = tunnels.CONNECT_SECONDS if self.has_witnesses else seconds
            if not self._collect(max(0.0, started + limit - clocks.read())):
                break
        self.abandon()
        return self.tunnel

    def explain(self) -> connections.Unreachable:
        """Return why no tunnel has opened."""
        if self.running and not self.has_witnesses:
            return connections.Unreachable("no time left", is_out_of_time=True)
        refused = bool(self.failed) and all(map(is_refusal, self.failed))
        reason = self.failed[-1].reason if self.failed else "no peer is known"
        return connections.Unreachable(reason, not refused, refused)

    def start(self, record: typing.Any) -> None:
        """Start to open a tunnel through a peer."""
        self.running += 1
        eventlet.spawn_n(self._run, record)

    def wait(self, seconds: float) -> Result | None:
        """Return the next result; None if there is none within ``seconds``."""
        try:
            found = self._found.get(timeout=seconds)
        except queue.Empty:
            return None
        self.running -= 1
        if isinstance(found, tunnels.Tunnel):
            self.abandon()
        return found

    def abandon(self) -> None:
        """Close the tunnels that have opened, or open later, without being used."""
        self._is_over = True
        while not self._found.empty():
            close_unused(self._found.get())

    def _collect(self, seconds: float) -> bool:
        """Take the next result; return whether there is one within ``seconds``."""
        found = self.wait(seconds)
        if isinstance(found, tunnels.Tunnel):
            self.tunnel = found
        elif found is not None:
            self.failed.append(found)
        return found is not None

    def _run(self, record: typing.Any) -> None:
        found = self._attempt(record)
        if self._is_over:
            close_unused(found)
        else:
            self._found.put(found)


def close_unused(found: Result) -> None:
    """Close a tunnel that another one was faster than."""
    if isinstance(found, tunnels.Tunnel):
        found.close()


def is_refusal(found: Failed) -> bool:
    """Return whether the upstream's host refused a connection of the peer."""
    return isinstance(found, tunnels.UpstreamFailed) and found.refused
