"""A pool of keep-alive connections to upstreams.

An idle connection is reused only if its last response was read completely, nothing has
arrived on it since, and the upstream is not about to close it.
"""

import array
import contextlib
import dataclasses
import errno
import socket
from collections import abc

from trestlestall.wire import addresses, byte_streams, clocks

READ_BYTES = 65536
#: Time-out for opening a connection: many round trips within a region, and half of the
#: shortest latency targets. A host that is down or partitioned doesn't reply at all.
CONNECT_TIMEOUT_SECONDS = 0.2
#: Milliseconds after which the kernel closes a connection with unacknowledged data.
UNACKNOWLEDGED_TIMEOUT_MS = 4000
#: An idle connection is not reused in the last part of the keep-alive time that the
#: upstream announced, so that its close and the next request hardly ever cross. Of a
#: short keep-alive time at least a share is used.
KEEP_ALIVE_MARGIN_SECONDS = 0.3
KEEP_ALIVE_SHARE = 0.6
#: Keep-alive time of an upstream that announces none.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
#: Requests after which a connection is closed, as it remembers each of them.
MAX_REQUESTS = 256
ABORTED = "the connection was shut down here"


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No connection could be opened, so nothing was sent.

    ``timed_out`` is whether there was no reply at all, as from a host whose listen
    queue is full. A host on which nothing listens replies at once; ``refused`` is
    whether this one did. ``is_out_of_time`` is whether the request's own time ended
    first, which says nothing of the way to the upstream.
    """

    reason: str
    timed_out: bool = False
    refused: bool = False
    is_out_of_time: bool = False


class PathLostError(OSError):
    """The way to the upstream was lost, which says nothing about the upstream."""


class AbortedError(PathLostError):
    """The connection was shut down here, so its end is not the upstream's."""


class Connection:
    """A connection to one upstream; the pool has it, or one hold (``holds``).

    ``peer`` is the gateway through which it leads; empty for none. ``port`` is the own
    port of the socket, which tells connections apart in logs. ``alive_at`` is a moment
    after which the bytes read last have arrived: they may have waited to be read since
    no bytes were left, while the process that sent them ended.
    """

    peer = ""

    def __init__(self, address: str, opened: socket.socket) -> None:
        self.address = address
        self.socket = opened
        self._stream = byte_streams.ByteStream(opened)
        self.port = opened.getsockname()[1]
        self.reusable_until = 0.0
        self.aborted = False
        self._carried = array.array("q")
        self.opened_at = self.alive_at = self._emptied_at = clocks.read()
        self.on_closed: abc.Callable[[Connection], object] = lambda connection: None

    def begin(self, request_id: str) -> None:
        """Prepare for the bytes of a request; raises ``OSError``."""

    @property
    def requests(self) -> int:
        """How many requests were sent on the connection."""
        return len(self._carried)

    def record_request(self, request_id: str) -> None:
        """Record that a request is sent."""
        self._carried.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent on the connection before.

        If so, the id in an answer doesn't tell to which of the sends it belongs.
        """
        return hash(request_id) in self._carried

    def send(self, data: bytes, seconds: float) -> None:
        """Send bytes.

        Raises ``OSError``: ``TimeoutError`` if it takes longer, ``AbortedError`` if the
        connection was shut down here.
        """
        try:
            self._send(data, seconds)
        except OSError as error:
            self._check_aborted(error)
            raise
        self._check_aborted()

    def receive(self, seconds: float) -> bytes:
        """Return the next bytes, or none at an orderly end by the upstream.

        Raises ``OSError``: ``TimeoutError`` if nothing arrives in time,
        ``AbortedError`` if the connection was shut down here.
        """
        try:
            data = self._receive(seconds)
        except OSError as error:
            self._check_aborted(error)
            raise
        self._check_aborted()
        if data:
            self.alive_at = self._emptied_at
        if len(data) < READ_BYTES:
            self._emptied_at = clocks.read()
        return data

    def _check_aborted(self, cause: OSError | None = None) -> None:
        """Raise ``AbortedError`` if the connection was shut down here.

        The kernel reports that like an orderly end by the other side.
        """
        if self.aborted:
            raise AbortedError(ABORTED) from cause

    def _send(self, data: bytes, seconds: float) -> None:
        self.socket.settimeout(max(0.001, seconds))
        # A slice of a view is no copy of what is left to send.
        self._stream.send_all(memoryview(data))

    def _receive(self, seconds: float) -> bytes:
        return receive(self._stream, seconds)

    def is_readable(self) -> bool:
        """Return whether data, an end of file or an error is pending."""
        return self._stream.is_readable()

    def abort(self) -> None:
        """Shut the connection down, which wakes whoever waits for its data."""
        self.aborted = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self.on_closed(self)
        self.abort()
        self.socket.close()

    def is_fresh(self, now: float) -> bool:
        """Return whether the idle connection may carry another request."""
        return now < self.reusable_until and not self.is_readable()


class Pool:
    """Idle connections by the upstream's address, the most recently used last."""

    def __init__(self, clock: abc.Callable[[], float] = clocks.read) -> None:
        self._clock = clock
        self._idle: dict[str, list[Connection]] = {}
        self._open: dict[str, set[Connection]] = {}
        self.opened = 0

    def take(self, address: str, request_id: str) -> Connection | None:
        """Return an idle connection to the address for a request; None without one.

        One on which a request with this id was sent before is left to other requests.
        """
        idle = self._idle.get(address, [])
        left: list[Connection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_fresh(self._clock()):
                connection.close()
            elif connection.has_carried(request_id):
                left.append(connection)
            else:
                found = connection
        idle.extend(reversed(left))
        return found

    def open(self, address: str, seconds: float) -> Connection | Unreachable:
        """Return a new connection, opened within ``seconds``."""
        opened = connect(address, min(seconds, CONNECT_TIMEOUT_SECONDS))
        if isinstance(opened, Unreachable):
            return opened
        self.opened += 1
        made = Connection(address, opened)
        made.on_closed = self._forget
        self._open.setdefault(address, set()).add(made)
        return made

    def list_open(self, address: str) -> list[Connection]:
        """Return the connections to an address that are open, idle or in use."""
        return list(self._open.get(address, ()))

    def _forget(self, connection: Connection) -> None:
        remaining = self._open.get(connection.address, set())
        remaining.discard(connection)
        if not remaining:
            self._open.pop(connection.address, None)

    def store(self, connection: Connection) -> None:
        """Keep a connection on which nothing was sent since it was opened or taken."""
        if not connection.reusable_until:
            seconds = KEEP_ALIVE_SHARE * DEFAULT_KEEP_ALIVE_SECONDS
            connection.reusable_until = self._clock() + seconds
        self._idle.setdefault(connection.address, []).insert(0, connection)

    def release(self, connection: Connection, keep_alive_seconds: float | None) -> None:
        """Return a connection whose answer was whole, or close it.

        It is closed if more has arrived, or after ``MAX_REQUESTS``.
        """
        if connection.requests >= MAX_REQUESTS or connection.is_readable():
            connection.close()
            return
        seconds = (
            DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive_seconds is None
            else keep_alive_seconds
        )
        usable = max(KEEP_ALIVE_SHARE * seconds, seconds - KEEP_ALIVE_MARGIN_SECONDS)
        connection.reusable_until = self._clock() + usable
        self._idle.setdefault(connection.address, []).append(connection)

    def drop(self, address: str, peer: str = "") -> None:
        """Close the idle connections to an address that lead through a lost path."""
        for connection in self._idle.get(address, ()):
            if connection.peer == peer:
                connection.close()
                connection.reusable_until = 0.0

    def close_stale(self) -> None:
        """Close idle connections that can no longer be reused."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            fresh = [one for one in idle if one.is_fresh(now)]
            for connection in idle:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]


def connect(address: str, seconds: float) -> socket.socket | Unreachable:
    """Return a socket connected to ``IP:port`` within ``seconds``."""
    try:
        opened = socket.create_connection(
            addresses.parse(address), timeout=max(0.001, seconds)
        )
    except OSError as error:
        reason = str(error) or type(error).__name__
        refused = error.errno == errno.ECONNREFUSED
        return Unreachable(reason, isinstance(error, TimeoutError), refused)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    return opened


def receive(stream: byte_streams.ByteStream, seconds: float | None) -> bytes:
    """Return the next bytes, or none at an orderly end of file.

    Raises ``OSError``: ``TimeoutError`` after ``seconds``, ``PathLostError`` if the
    other host has not acknowledged what was sent for ``UNACKNOWLEDGED_TIMEOUT_MS``.
    Without ``seconds`` it waits for as long as it takes.
    """
    try:
        return stream.receive(READ_BYTES, seconds)
    except TimeoutError as error:
        if error.errno != errno.ETIMEDOUT:
            raise
        raise PathLostError(str(error)) from error
