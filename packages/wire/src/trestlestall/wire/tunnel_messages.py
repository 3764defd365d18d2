"""Messages of tunnels between gateways, and of directories that name peers.

A tunnel is a connection to a peer gateway that opens one connection to an upstream and
passes bytes both ways. The gateway at its near end keeps the whole exchange; the peer
reads none of it. After an answer that states a failure, nothing has been sent.
"""

import dataclasses
import typing

from trestlestall.wire import registry


@registry.register("tunnel_call")
@dataclasses.dataclass(frozen=True)
class TunnelCall:
    """A gateway asks a peer to connect to an incarnation of an upstream."""

    upstream: str


@registry.register("tunnel_answer")
@dataclasses.dataclass(frozen=True)
class TunnelAnswer:
    """The tunnel is open if ``reason`` is empty; otherwise nothing will be sent.

    ``timed_out`` and ``refused`` say how the upstream's host replied to the peer, if
    the peer tried it.
    """

    reason: str = ""
    timed_out: bool = False
    refused: bool = False


@registry.register("tunnel_use")
@dataclasses.dataclass(frozen=True)
class TunnelUse:
    """The bytes that follow are those of this request; for the peer's log."""

    request: str


@registry.register("tunnel_data")
@dataclasses.dataclass(frozen=True)
class TunnelData:
    """Bytes to or from the upstream."""

    data: bytes


@registry.register("tunnel_end")
@dataclasses.dataclass(frozen=True)
class TunnelEnd:
    """The upstream closed the connection; ``reset`` is whether it was cut off."""

    reset: bool


@registry.register("tunnel_closing")
@dataclasses.dataclass(frozen=True)
class TunnelClosing:
    """The peer stops: it finishes the exchange, but takes no further one."""


@registry.register("peer_offer")
@dataclasses.dataclass(frozen=True)
class PeerOffer:
    """A gateway opens tunnels at ``address``, except to those in ``unreachable``.

    These are the upstreams that it can't connect to itself. An empty address withdraws
    the offer.
    """

    address: str
    unreachable: tuple[str, ...] = ()


@registry.register("peers_call")
@dataclasses.dataclass(frozen=True)
class PeersCall:
    """A gateway asks a directory for peers that may reach the ``lost`` upstreams."""

    lost: tuple[str, ...] = ()


@registry.register("peers_answer")
@dataclasses.dataclass(frozen=True)
class PeersAnswer:
    """Peers of a gateway, the best first.

    Each is its name, the address for tunnels, its data centre, and those of the lost
    upstreams that it can't connect to either.
    """

    peers: tuple[typing.Any, ...]
