"""The peer gateways through which this one may reach upstreams.

Directories name a few peers each. What they named is kept, so that peers are known also
while no directory answers.
"""

import dataclasses
import random
import typing
from collections import abc

from trestlestall.daemon import events, settings as process_settings
from trestlestall.daemon.gateway import (
    cached_view,
    connections,
    tunnel_race,
    tunnels,
)
from trestlestall.forwarding import upstreams
from trestlestall.wire import clocks, tunnel_messages

#: Peers tried for one upstream.
PEERS_TRIED = 4
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
        seconds: float = tunnel_race.WAIT_SECONDS,
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
        race = tunnel_race.TunnelRace(lambda record: self._try(row, record))
        found = race.run(untried[:PEERS_TRIED], seconds)
        return race.explain() if found is None else self._keep(found)

    def _keep(self, found: tunnels.Tunnel) -> tunnels.Tunnel:
        self._open.append(found)
        return found

    def _try(
        self, row: upstreams.Row, record: Record
    ) -> tunnels.Tunnel | tunnels.PeerFailed | tunnels.UpstreamFailed:
        started = clocks.read()
        found = tunnels.open_tunnel(
            record.peer, self._secret, self._hello, row.identity, row.address
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


def drop_message(message: typing.Any) -> None:
    """Drop a message because there are no links yet."""
