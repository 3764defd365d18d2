"""Websocket connections over the Sans-I/O layer of ``websockets``, for greenlets.

``websockets`` has a Sans-I/O layer and a threaded one, ``websockets.sync``. Under
eventlet the threaded layer took twice the processor time for an echo. It also reads
under the same lock as it writes, so that two peers that write large messages to each
other deadlock. Here one greenlet reads and another writes, without locks.
"""

import collections
import contextlib
import logging
import socket
from collections import abc

import eventlet
from websockets import client, frames, http11, protocol, server, uri

from trestlestall.wire import addresses, clocks, sockets

READ_BYTES = 16384
WRITE_BYTES = 65536
#: Connect timeout: a few round trips between regions. The kernel retransmits an
#: unanswered SYN only after a second, so that a new attempt reaches a host that has
#: just started sooner.
CONNECT_SECONDS = 0.15

# The library logs refused connections; the mesh counts them instead.
LOGGER = logging.getLogger("trestlestall.wire.websockets")
LOGGER.setLevel(logging.CRITICAL)


class Connection:
    """One websocket over a socket, with binary messages of one frame each.

    The times are readings of ``clocks.read``, for the keepalive and the silence
    timeout: ``reading_since`` and ``sending_since`` are set while a greenlet waits for
    the kernel and advance whenever bytes pass; ``sent_at`` is when bytes were last
    sent.
    """

    def __init__(self, opened: socket.socket, state: protocol.Protocol) -> None:
        self.socket = opened
        self.protocol = state
        self.messages: collections.deque[bytes] = collections.deque()
        self.opening: http11.Request | http11.Response | None = None
        self.broken = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.reading_since: float | None = None
        self.sending_since: float | None = None
        self.sent_at = clocks.read()

    def receive(self, deadline: float | None = None) -> bytes | None:
        """Wait for a message; return ``None`` at the end or after the deadline."""
        while not self.messages:
            if not self.read(deadline):
                return None
        return self.messages.popleft()

    def send(self, message: bytes) -> bool:
        """Send a message; return false if the connection has ended."""
        if self.protocol.state is not protocol.OPEN:
            return False
        self.protocol.send_binary(message)
        return self.flush()

    def flush(self) -> bool:
        """Send the protocol's pending bytes, in parts so that progress is visible."""
        try:
            for data in self.protocol.data_to_send():
                for start in range(0, len(data), WRITE_BYTES):
                    self.sending_since = clocks.read()
                    part = memoryview(data)[start : start + WRITE_BYTES]
                    self.socket.sendall(part)
                    self.bytes_sent += len(part)
        except OSError:
            return False
        finally:
            self.sending_since = None
            self.sent_at = clocks.read()
        return True

    def read(self, deadline: float | None) -> bool:
        """Read once; return false at the end of the connection or the deadline."""
        self.reading_since = clocks.read()
        seconds = None if deadline is None else deadline - self.reading_since
        try:
            data = sockets.receive(self.socket, READ_BYTES, seconds)
        except OSError:
            return False
        finally:
            self.reading_since = None
        self.bytes_received += len(data)
        if len(data) == READ_BYTES:
            # More data is likely ready, and reading it would not make eventlet switch.
            eventlet.sleep(0)
        if data:
            self.protocol.receive_data(data)
            for event in self.protocol.events_received():
                self.handle_event(event)
        return bool(data) and not self.has_failed()

    def handle_event(self, event: protocol.Event) -> None:
        """Store a message or the other side's part of the opening handshake."""
        if not isinstance(event, frames.Frame):
            self.opening = event
        elif event.opcode is frames.Opcode.BINARY and event.fin:
            self.messages.append(bytes(event.data))
        elif event.opcode not in (frames.Opcode.PING, frames.Opcode.PONG):
            self.broken = True

    def has_failed(self) -> bool:
        """Return whether the other side violated the protocol or is closing."""
        failed = self.protocol.handshake_exc or self.protocol.parser_exc
        return self.broken or failed is not None

    def lift_handshake_limits(self, size: int) -> None:
        """Accept messages up to this size and send without a timeout from now on."""
        self.protocol.max_message_size = size
        self.socket.settimeout(None)

    def abort(self) -> None:
        """End the connection at once, which wakes every greenlet that waits for it."""
        sockets.shut_down(self.socket)


@contextlib.contextmanager
def dial(
    address: str,
    deadline: float,
    max_size: int,
    connect_seconds: float = CONNECT_SECONDS,
) -> abc.Iterator[Connection | None]:
    """Yield an open connection to ``IP:port``, or ``None`` if connecting fails."""
    timeout = min(connect_seconds, max(0.001, deadline - clocks.read()))
    try:
        opened = socket.create_connection(addresses.parse(address), timeout=timeout)
    except OSError:
        yield None
        return
    # The timeout of connecting must not stay: it would hold for each send.
    opened.settimeout(max(0.001, deadline - clocks.read()))
    with sockets.hold(opened):
        target = uri.parse_uri(f"ws://{address}")
        state = client.ClientProtocol(target, max_size=max_size, logger=LOGGER)
        state.send_request(state.connect())
        connection = Connection(opened, state)
        opening = connection.flush() and is_opened(connection, deadline)
        yield connection if opening else None


@contextlib.contextmanager
def accept(
    opened: socket.socket, deadline: float, max_size: int
) -> abc.Iterator[Connection | None]:
    """Yield the accepted websocket, or ``None`` if its opening handshake is invalid."""
    with sockets.hold(opened):
        state = server.ServerProtocol(max_size=max_size, logger=LOGGER)
        connection = Connection(opened, state)
        if is_opened(connection, deadline):
            state.send_response(state.accept(connection.opening))
        connection.flush()
        yield connection if state.state is protocol.OPEN else None


def is_opened(connection: Connection, deadline: float) -> bool:
    """Read until the other side's part of the opening; return whether it arrived."""
    while connection.opening is None:
        if not connection.read(deadline):
            return False
    return True
