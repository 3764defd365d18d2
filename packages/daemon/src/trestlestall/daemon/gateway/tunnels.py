"""Connections to upstreams through peer gateways.

A tunnel takes the place of a connection: the request's whole course stays here, where
it is admitted, placed, counted and logged, and the peer passes bytes on. So a request
may run twice only as on a connection, and is certainly not sent if no tunnel opens.
"""

import contextlib
import dataclasses
import os

from trestlestall.daemon import settings as process_settings
from trestlestall.daemon.gateway import connections
from trestlestall.wire import (
    clocks,
    codec,
    connections as wire_connections,
    handshake,
    messages,
    sockets,
    tunnel_messages,
)

#: Timeouts of opening a tunnel, in seconds. A host that is gone doesn't accept the
#: connection; a process that waits for a processor does, and replies late.
CONNECT_SECONDS = 0.5
OPEN_SECONDS = 2.0
#: Limit of a frame of the handshake.
HANDSHAKE_FRAME_BYTES = 4096
#: Bytes of one message.
PART_BYTES = 65536
#: The role of gateways in the handshake.
GATEWAY = "router"


@dataclasses.dataclass(frozen=True)
class Peer:
    """A gateway that opens tunnels at ``address``."""

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class PeerFailed:
    """The peer itself can't be reached, or takes no tunnel; nothing was sent.

    ``is_lost`` is whether it can't be reached.
    """

    reason: str
    is_lost: bool = True


@dataclasses.dataclass(frozen=True)
class UpstreamFailed:
    """The peer can't connect to the upstream either; nothing was sent.

    ``refused`` is whether the upstream's host replied that nothing listens there.
    """

    reason: str
    refused: bool


class Tunnel(connections.Connection):
    """A connection to an upstream through a peer."""

    def __init__(
        self,
        address: str,
        peer: Peer,
        carrier: wire_connections.Connection,
        stack: contextlib.ExitStack,
    ) -> None:
        super().__init__(address, carrier.socket)
        self.peer = peer.name
        self._carrier = carrier
        self._stack = stack
        self._is_closing = False

    def begin(self, request_id: str) -> None:
        """Name the request to the peer, for its log."""
        self._send_message(tunnel_messages.TunnelUse(request_id))

    def _send(self, data: bytes, seconds: float) -> None:
        self.socket.settimeout(max(0.001, seconds))
        for start in range(0, len(data), PART_BYTES):
            part = bytes(data[start : start + PART_BYTES])
            self._send_message(tunnel_messages.TunnelData(part))

    def _receive(self, seconds: float) -> bytes:
        deadline = clocks.read() + seconds
        while True:
            frame = self._carrier.receive(deadline)
            if frame is None:
                if clocks.read() >= deadline:
                    raise TimeoutError("timed out")
                raise connections.PathLostError("the peer is lost")
            message = codec.decode(frame)
            if isinstance(message, tunnel_messages.TunnelData):
                return message.data
            if isinstance(message, tunnel_messages.TunnelEnd):
                if message.reset:
                    raise ConnectionResetError("connection reset")
                return b""
            if isinstance(message, tunnel_messages.TunnelClosing):
                self._is_closing = True

    def is_readable(self) -> bool:
        """Return whether anything has arrived, or the peer stops."""
        pending = self._is_closing or bool(self._carrier.messages)
        return pending or super().is_readable()

    def abort(self) -> None:
        """Reset the connection to the peer, which wakes whoever waits for its data.

        What the peer has not taken yet is dropped: an end behind it would reach the
        peer only once the upstream has read that much.
        """
        with contextlib.suppress(OSError):
            sockets.reset_on_close(self.socket)
        super().abort()

    def close(self) -> None:
        """Close the tunnel, and with it the peer's connection to the upstream."""
        self.abort()
        self._stack.close()

    def _send_message(self, message: object) -> None:
        if not self._carrier.send(codec.encode(message)):
            raise connections.PathLostError("the peer is lost")


def open_tunnel(
    peer: Peer, secret: bytes, own: messages.Hello, upstream: str, address: str
) -> Tunnel | PeerFailed | UpstreamFailed:
    """Open a tunnel through a peer to an incarnation of an upstream at an address."""
    deadline = clocks.read() + OPEN_SECONDS
    with contextlib.ExitStack() as stack:
        dialled = wire_connections.dial(
            peer.address, deadline, HANDSHAKE_FRAME_BYTES, CONNECT_SECONDS
        )
        carrier = stack.enter_context(dialled)
        if carrier is None:
            return PeerFailed("not connected")
        proven = handshake.prove_dialled(
            carrier,
            handshake.make_challenge(own),
            secret,
            deadline,
            lambda challenge: check_peer(challenge, peer.name),
        )
        if isinstance(proven, handshake.Refused):
            return PeerFailed(proven.reason)
        carrier.send(codec.encode(tunnel_messages.TunnelCall(upstream)))
        answer = handshake.receive(carrier, deadline)
        if not isinstance(answer, tunnel_messages.TunnelAnswer):
            return PeerFailed("no answer")
        if answer.reason:
            if answer.timed_out or answer.refused:
                return UpstreamFailed(answer.reason, answer.refused)
            return PeerFailed(answer.reason, is_lost=False)
        carrier.lift_handshake_limits(codec.MAX_FRAME_BYTES)
        sockets.keep_alive(carrier.socket)
        return Tunnel(address, peer, carrier, stack.pop_all())
    raise AssertionError("unreachable")


def make_hello(settings: process_settings.GatewaySettings) -> messages.Hello:
    """Return the identity with which a gateway opens and serves tunnels."""
    identity = os.urandom(8).hex()
    return messages.Hello(settings.name, GATEWAY, settings.data_centre, identity)


def check_peer(challenge: messages.Challenge, name: str) -> str | None:
    """Return why a process is not the named gateway; None if it is."""
    if (challenge.name, challenge.role) != (name, GATEWAY):
        return f"{challenge.name!r} answers for {name!r}"
    return None
