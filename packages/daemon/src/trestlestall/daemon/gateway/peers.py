"""The peer gateways through which this one may reach upstreams.

Directories name a few peers each. What they named is kept, so that peers are known also
while no directory answers.
"""

import dataclasses
import random
import typing
from collections import abc

import eventlet
from eventlet import queue

from trestlestall.daemon import events, settings as process_settings
from trestlestall.daemon.gateway import cached_view, connections, tunnels
from trestlestall.forwarding import upstreams
from trestlestall.wire import clocks, tunnel_messages

#: Peers tried for one upstream, and how long each is waited for before the next one is
#: tried as well: several times what a tunnel takes, and a part of a connect timeout.
PEERS_TRIED = 4
STAGGER_SECONDS = 0.03
#: Peers to which an upstream's host refuses a connection before no more are tried.
WITNESSES = 2
#: Tunnels after which one more peer is used, so that none carries all.
TUNNELS_EACH = 4
#: Seconds for which a peer that failed is tried after all others.
AVOIDANCE_SECONDS = 2.0


@dataclasses.dataclass
class Record:
    """What is known of a peer: the upstreams that it has lost, and how tunnels went.

    ``works`` is whether the last tunnel opened; None before the first.
    """

    peer: tunnels.Peer
    lost: frozenset[str]
    works: bool | None = None
    failed_at: float = float("-inf")


class Peers:
    """Opens tunnels; ``broadcast`` and ``send_one`` are set once there are links.

    ``on_failed`` is called with the name of a peer that can't be reached.
    """

    def __init__(
        self, settings: process_settings.GatewaySettings, view: cached_view.CachedView
    ) -> None:
        self.broadcast: abc.Callable[[typing.Any], object] = drop_message
        self.send_one: abc.Callable[[typing.Any], object] = drop_message
        self.on_failed: abc.Callable[[str], object] = drop_message
        self._view = view
        self._listen = settings.listen.tunnels
        self._secret = settings.secrets.peers.encode()
        self._hello = tunnels.make_hello(settings)
        self._named: dict[str, dict[str, Record]] = {}
        self._open: list[tunnels.Tunnel] = []
        self._lost: tuple[str, ...] = ()

    @property
    def tunnels_open(self) -> int:
        """How many tunnels of this gateway are open."""
        return len(self._list_open())

    def offer(self, lost: abc.Iterable[str]) -> None:
        """Tell all directories where tunnels open, and what this gateway has lost."""
        self._lost = tuple(sorted(lost))
        self.broadcast(self._make_offer())

    def ask(self) -> None:
        """Ask for peers that may reach what this gateway has lost.

        A gateway that has lost nothing asks one directory, to know peers beforehand.
        """
        send = self.broadcast if self._lost else self.send_one
        send(tunnel_messages.PeersCall(self._lost))

    def report(self) -> abc.Iterator[typing.Any]:
        """Yield the messages for a newly linked directory."""
        yield self._make_offer()
        yield tunnel_messages.PeersCall(self._lost)

    def _make_offer(self) -> tunnel_messages.PeerOffer:
        address = "" if self._listen is None else str(self._listen)
        return tunnel_messages.PeerOffer(address, self._lost)

    def handle_answer(
        self, directory: str, message: tunnel_messages.PeersAnswer
    ) -> None:
        """Keep the peers that a directory named; raises ``ValueError``."""
        former = self._index()
        named = {}
        for name, address, data_centre, lost in message.peers:
            peer = tunnels.Peer(name, address, data_centre)
            record = former.get(name)
            if record is None or record.peer != peer:
                record = Record(peer, frozenset())
            record.lost = frozenset(lost)
            named[name] = record
        self._named[directory] = named

    def open(
        self,
        row: upstreams.Row,
        first: str = "",
        seconds: float = tunnels.OPEN_SECONDS,
    ) -> tunnels.Tunnel | connections.Unreachable:
        """Open a tunnel to an upstream through the best of the peers, in time.

        ``first`` is a peer to try before the others. Peers that have lost the upstream
        as well are not tried. The connection counts as refused if its host refused it
        to all that were tried, or if all known peers have lost it.
        """
        known = self._rank(first)
        untried = [one for one in known if row.identity not in one.lost]
        if known and not untried:
            return connections.Unreachable("lost to all known peers", refused=True)
        deadline = clocks.read() + min(seconds, tunnels.OPEN_SECONDS)
        race = TunnelRace(lambda record: self._try(row, record, deadline))
        failed: list[tunnels.PeerFailed | tunnels.UpstreamFailed] = []
        for record in untried[:PEERS_TRIED]:
            race.start(record)
            found = race.wait(STAGGER_SECONDS)
            if isinstance(found, tunnels.Tunnel):
                return self._keep(found)
            if found is not None:
                failed.append(found)
            if sum(map(is_refusal, failed)) >= WITNESSES:
                break
        while race.running and (found := race.wait_until(deadline)) is not None:
            if isinstance(found, tunnels.Tunnel):
                return self._keep(found)
            failed.append(found)
        race.abandon()
        refused = bool(failed) and all(map(is_refusal, failed))
        reason = failed[-1].reason if failed else "no peer is known"
        return connections.Unreachable(reason, not refused, refused)

    def _keep(self, found: tunnels.Tunnel) -> tunnels.Tunnel:
        self._open.append(found)
        return found

    def _try(
        self, row: upstreams.Row, record: Record, deadline: float
    ) -> tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed:
        started = clocks.read()
        found = tunnels.open_tunnel(
            record.peer,
            self._secret,
            self._hello,
            row.identity,
            row.address,
            deadline,
        )
        self._write(row, record, found, clocks.read() - started)
        if isinstance(found, tunnels.Tunnel):
            record.works = True
        else:
            self._record_failure(record, row.identity, found)
        return found

    def _record_failure(
        self,
        record: Record,
        upstream: str,
        failed: tunnels.PeerFailed | tunnels.UpstreamFailed,
    ) -> None:
        if isinstance(failed, tunnels.UpstreamFailed):
            record.lost |= {upstream}
            return
        record.works = False
        record.failed_at = clocks.read()
        if failed.is_lost:
            self.on_failed(record.peer.name)

    def _rank(self, first: str) -> list[Record]:
        """Return the peers, the best first.

        Those come first that have not just failed, then those that carry few tunnels
        from here, then those that have proved to work.
        """
        carried: dict[str, int] = {}
        for one in self._list_open():
            carried[one.peer] = carried.get(one.peer, 0) + 1
        earliest = clocks.read() - AVOIDANCE_SECONDS

        def rank(record: Record) -> tuple:
            return (
                record.peer.name != first,
                record.failed_at > earliest,
                carried.get(record.peer.name, 0) // TUNNELS_EACH,
                record.works is None,
                random.random(),
            )

        return sorted(self._index().values(), key=rank)

    def _index(self) -> dict[str, Record]:
        """Return all records by the peer's name."""
        return {
            name: record
            for named in self._named.values()
            for name, record in named.items()
        }

    def _list_open(self) -> list[tunnels.Tunnel]:
        self._open = [one for one in self._open if not one.aborted]
        return self._open

    def _write(
        self,
        row: upstreams.Row,
        record: Record,
        found: tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed,
        seconds: float,
    ) -> None:
        reason = "" if isinstance(found, tunnels.Tunnel) else found.reason
        self._view.log.write(
            events.forwarding.TUNNEL_OPENED,
            upstream=row.identity,
            address=row.address,
            peer=record.peer.name,
            data_centre=record.peer.data_centre,
            reason=reason,
            seconds=round(seconds, 4),
        )


class TunnelRace:
    """Tries to open tunnels side by side; the first that opens is used."""

    def __init__(
        self,
        attempt: abc.Callable[
            [Record], tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed
        ],
    ) -> None:
        self.running = 0
        self._attempt = attempt
        self._found = queue.LightQueue()
        self._is_over = False

    def start(self, record: Record) -> None:
        """Start to open a tunnel through a peer."""
        self.running += 1
        eventlet.spawn_n(self._run, record)

    def wait(
        self, seconds: float
    ) -> tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed | None:
        """Return the next result; None if there is none within ``seconds``."""
        try:
            found = self._found.get(timeout=seconds)
        except queue.Empty:
            return None
        self.running -= 1
        if isinstance(found, tunnels.Tunnel):
            self.abandon()
        return found

    def wait_until(
        self, deadline: float
    ) -> tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed | None:
        """Return the next result; None if there is none by the deadline."""
        return self.wait(max(0.0, deadline - clocks.read()))

    def abandon(self) -> None:
        """Close the tunnels that have opened, or open later, without being used."""
        self._is_over = True
        while not self._found.empty():
            close_unused(self._found.get())

    def _run(self, record: Record) -> None:
        found = self._attempt(record)
        if self._is_over:
            close_unused(found)
        else:
            self._found.put(found)


def close_unused(
    found: tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed,
) -> None:
    """Close a tunnel that another one was faster than."""
    if isinstance(found, tunnels.Tunnel):
        found.close()


def is_refusal(found: tunnels.PeerFailed | tunnels.UpstreamFailed) -> bool:
    """Return whether the upstream's host refused a connection of the peer."""
    return isinstance(found, tunnels.UpstreamFailed) and found.refused


def drop_message(message: typing.Any) -> None:
    """Drop a message because there are no links yet."""
