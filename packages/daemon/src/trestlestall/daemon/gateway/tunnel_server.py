"""Opens tunnels to upstreams for other gateways.

A tunnel leads to an upstream that this gateway itself connects to: never through
another peer, and never to an address that it does not know as an upstream's. Only
gateways that prove the deployment's secret get one, on a listener that callers don't
use, so no request of a caller is taken for a peer's.
"""

import contextlib
import errno
import socket
from collections import abc

import eventlet
from eventlet import semaphore

from trestlestall.daemon import events, settings as process_settings
from trestlestall.daemon.gateway import (
    cached_view,
    connections,
    metrics as gateway_metrics,
    reachability,
    tunnels,
)
from trestlestall.forwarding import upstreams
from trestlestall.wire import (
    byte_streams,
    clocks,
    codec,
    connections as wire_connections,
    handshake,
    messages,
    sockets,
    tunnel_messages,
)

#: Tunnels open at one time: each takes two descriptors and some buffers.
TUNNELS_LIMIT = 400
#: Timeout for the handshake and the call of one connection, in seconds.
HANDSHAKE_SECONDS = 2.0
ACCEPT_RETRY_SECONDS = 0.2
#: Connections at one time that have not yet proved to be a gateway's.
PENDING_LIMIT = 64
#: Interval of the check that a tunnel is open while its upstream reads nothing.
SEND_POLL_SECONDS = 0.1
#: Reasons for opening no tunnel.
STOPPING = "the gateway stops"
FULL = "too many tunnels"
UNKNOWN = "unknown upstream"
UNREACHABLE = "the upstream can't be connected to"
PARTITIONED = "the gateway is partitioned itself"


class ServedTunnel:
    """A tunnel of another gateway; several greenlets send on it."""

    def __init__(self, carrier: wire_connections.Connection) -> None:
        self.carrier = carrier
        self._sending = semaphore.Semaphore()

    def send(self, message: object) -> bool:
        """Send a message; return false if the tunnel has ended."""
        with self._sending:
            return self.carrier.send(codec.encode(message))

    def is_open(self) -> bool:
        """Return whether the gateway has not closed the tunnel, as far as is known."""
        return not sockets.is_half_closed(self.carrier.socket)

    def receive(self) -> abc.Iterator[object]:
        """Yield the messages of the gateway until it closes the tunnel."""
        while (frame := self.carrier.receive()) is not None:
            yield codec.decode(frame)


class TunnelServer:
    """Serves the tunnels of other gateways until ``stop`` is called."""

    def __init__(
        self,
        settings: process_settings.GatewaySettings,
        view: cached_view.CachedView,
        prober: reachability.Prober,
        metrics: gateway_metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._prober = prober
        self._metrics = metrics
        self._secret = settings.secrets.peers.encode()
        self._hello = tunnels.make_hello(settings)
        self._open: set[ServedTunnel] = set()
        self._pending: dict[socket.socket, None] = {}
        self._is_stopping = False

    @property
    def count(self) -> int:
        """How many tunnels are open."""
        return len(self._open)

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Serve during the block; raises ``ListenError``."""
        address = self._settings.listen.tunnels
        if address is None:
            yield
            return
        accepting = sockets.open_listener(str(address))
        acceptor = eventlet.spawn(self._accept, accepting)
        try:
            yield
        finally:
            acceptor.kill()
            sockets.close(accepting)
            for tunnel in list(self._open):
                tunnel.carrier.abort()

    def stop(self) -> None:
        """Open no more tunnels, and tell the others to finish with theirs."""
        self._is_stopping = True
        for tunnel in list(self._open):
            eventlet.spawn_n(tunnel.send, tunnel_messages.TunnelClosing())

    def _accept(self, accepting: socket.socket) -> None:
        while True:
            try:
                opened, _ = accepting.accept()
            except OSError as error:
                self._view.log.write(
                    events.forwarding.TUNNEL_REFUSED, gateway="", reason=str(error)
                )
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            eventlet.sleep(0)
            if len(self._pending) >= PENDING_LIMIT:
                # A gateway proves itself at once, so it is hardly the oldest.
                oldest = next(iter(self._pending))
                del self._pending[oldest]
                sockets.shut_down(oldest)
            self._pending[opened] = None
            eventlet.spawn_n(self._serve, opened)

    def _serve(self, opened: socket.socket) -> None:
        try:
            self._serve_pending(opened)
        finally:
            self._pending.pop(opened, None)

    def _serve_pending(self, opened: socket.socket) -> None:
        deadline = clocks.read() + HANDSHAKE_SECONDS
        size = tunnels.HANDSHAKE_FRAME_BYTES
        with wire_connections.accept(opened, deadline, size) as carrier:
            if carrier is None:
                return
            proven = handshake.prove_accepted(
                carrier,
                handshake.make_challenge(self._hello),
                self._secret,
                deadline,
                check_gateway,
            )
            if isinstance(proven, handshake.Refused):
                self._write_refused("", proven.reason)
                return
            call = handshake.receive(carrier, deadline)
            if isinstance(call, tunnel_messages.TunnelCall):
                self._pending.pop(opened, None)
                carrier.lift_handshake_limits(codec.MAX_FRAME_BYTES)
                sockets.keep_alive(opened)
                self._handle_call(ServedTunnel(carrier), proven.name, call.upstream)

    def _handle_call(self, tunnel: ServedTunnel, gateway: str, identity: str) -> None:
        """Answer a call; carry the tunnel until it ends, if it opens."""
        row = self._view.table.rows.get(identity)
        connected = self._connect(row)
        if isinstance(connected, tunnel_messages.TunnelAnswer):
            self._write_refused(gateway, connected.reason, identity)
            tunnel.send(connected)
            return
        with sockets.hold(connected):
            self._open.add(tunnel)
            self._metrics.tunnels_served.inc()
            try:
                tunnel.send(tunnel_messages.TunnelAnswer())
                self._carry(tunnel, connected, gateway, row)
            finally:
                self._open.discard(tunnel)

    def _connect(
        self, row: upstreams.Row | None
    ) -> socket.socket | tunnel_messages.TunnelAnswer:
        """Connect to an upstream, or return why no tunnel opens."""
        if self._is_stopping:
            return tunnel_messages.TunnelAnswer(STOPPING)
        if len(self._open) >= TUNNELS_LIMIT:
            return tunnel_messages.TunnelAnswer(FULL)
        if row is None or row.state is upstreams.State.GONE:
            return tunnel_messages.TunnelAnswer(UNKNOWN)
        loss = self._prober.reach.losses.get(row.identity)
        if loss is None:
            found = connections.connect(
                row.address, connections.CONNECT_TIMEOUT_SECONDS
            )
            if not isinstance(found, connections.Unreachable):
                return found
            self._prober.mark_unreachable(row, found.reason, found.timed_out)
            loss = self._prober.reach.losses[row.identity]
        if self._prober.is_partitioned():
            return tunnel_messages.TunnelAnswer(PARTITIONED)
        return tunnel_messages.TunnelAnswer(
            UNREACHABLE, loss.timed_out, not loss.timed_out
        )

    # Bytes.

    def _carry(
        self,
        tunnel: ServedTunnel,
        upstream: socket.socket,
        gateway: str,
        row: upstreams.Row,
    ) -> None:
        """Pass bytes both ways until the gateway closes the tunnel."""
        stream = byte_streams.ByteStream(upstream)
        answering = eventlet.spawn(carry_answers, tunnel, stream)
        try:
            for message in tunnel.receive():
                if isinstance(message, tunnel_messages.TunnelData):
                    with contextlib.suppress(OSError):  # carry_answers reports it
                        send_whole(stream, message.data, tunnel.is_open)
                elif isinstance(message, tunnel_messages.TunnelUse):
                    self._write_used(message.request, gateway, row)
        finally:
            answering.kill()

    # Log lines.

    def _write_used(self, request: str, gateway: str, row: upstreams.Row) -> None:
        self._view.log.write(
            events.forwarding.TUNNEL_USED,
            request=request,
            gateway=gateway,
            upstream=row.identity,
            address=row.address,
        )

    def _write_refused(self, gateway: str, reason: str, upstream: str = "") -> None:
        self._view.log.write(
            events.forwarding.TUNNEL_REFUSED,
            gateway=gateway,
            upstream=upstream,
            reason=reason,
        )


def send_whole(
    upstream: byte_streams.ByteStream, data: bytes, is_wanted: abc.Callable[[], bool]
) -> None:
    """Send bytes for as long as that takes and while ``is_wanted``; raises ``OSError``.

    An upstream may read slowly. A part that is left out would make it take later bytes
    for the rest.
    """
    upstream.socket.settimeout(SEND_POLL_SECONDS)
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[upstream.send(unsent) :]
        except TimeoutError as error:
            if error.errno == errno.ETIMEDOUT or not is_wanted():
                raise


def carry_answers(tunnel: ServedTunnel, upstream: byte_streams.ByteStream) -> None:
    """Pass bytes of the upstream on, and then how its connection ended.

    If the path to it was lost, that is not known, and the tunnel ends without a word.
    """
    try:
        while data := connections.receive(upstream, None):
            if not tunnel.send(tunnel_messages.TunnelData(data)):
                return
        end = tunnel_messages.TunnelEnd(reset=False)
    except connections.PathLostError:
        tunnel.carrier.abort()
        return
    except OSError:
        end = tunnel_messages.TunnelEnd(reset=True)
    tunnel.send(end)


def check_gateway(challenge: messages.Challenge) -> str | None:
    """Return why a process gets no tunnel; None for a gateway."""
    if challenge.role == tunnels.GATEWAY:
        return None
    return f"{challenge.name!r} is no gateway"
