"""The use of a connection to an upstream for one exchange.

A connection belongs to the pool, or to exactly one hold. Whoever wants to act on it
goes through the hold, which lets go of it at its end. So a callback that comes late, as
of a caller who leaves, can't reach a connection that serves another request by then.
"""

import contextlib
import typing
from collections import abc

import eventlet
from eventlet import greenthread

from trestlestall.daemon import exceptions
from trestlestall.daemon.gateway import connections

#: Bytes written before reading the response: few enough to always fit in the socket
#: buffers. The rest is written concurrently with reading, because an upstream may
#: respond before it has read the whole request.
FIRST_WRITE_BYTES = 8192


Bytes: typing.TypeAlias = bytes | memoryview


class EndedHoldError(exceptions.DaemonError):
    """A connection is used after the hold on it has ended."""


class Hold:
    """A connection during one exchange; ``abort`` may be called by any greenlet.

    ``peer`` and ``port`` are those of the connection; ``requests`` is how many were
    sent on it.
    """

    def __init__(self, connection: connections.Connection) -> None:
        self.peer = connection.peer
        self.port = connection.port
        self.requests = connection.requests
        self._connection: connections.Connection | None = connection
        self._writing: greenthread.GreenThread | None = None
        self._has_sent = False
        self._unsent_bytes = 0
        self._may_reuse = False
        self._keep_alive_seconds: float | None = None

    @property
    def connection(self) -> connections.Connection:
        """The connection; raises ``EndedHoldError`` after the end."""
        if self._connection is None:
            raise EndedHoldError("the hold on the connection has ended")
        return self._connection

    def record_request(self, request_id: str) -> None:
        """Record that a request is sent on the connection."""
        self.connection.record_request(request_id)
        self.requests = self.connection.requests

    def send(self, data: bytes, seconds: float, body: bytes = b"") -> None:
        """Send bytes and a body, those beyond the first ones while the answer is read.

        Raises ``OSError`` if the first ones can't be sent within ``seconds``; a failure
        of the others surfaces when the answer is read. The body is not copied.
        """
        self._has_sent = True
        self._unsent_bytes += len(data) + len(body)
        begun = max(0, FIRST_WRITE_BYTES - len(data))
        self._send_part(data[:FIRST_WRITE_BYTES] + body[:begun], seconds)
        if self._unsent_bytes:
            rest = data[FIRST_WRITE_BYTES:], memoryview(body)[begun:]
            self._writing = eventlet.spawn(self._send_rest, rest, seconds)

    def _send_rest(self, parts: abc.Iterable[Bytes], seconds: float) -> None:
        with contextlib.suppress(OSError):
            for part in filter(len, parts):
                self._send_part(part, seconds)

    def _send_part(self, data: Bytes, seconds: float) -> None:
        self.connection.send(data, seconds)
        self._unsent_bytes -= len(data)

    def receive(self, seconds: float) -> bytes:
        """Return the next bytes, or none at an orderly end; raises ``OSError``."""
        return self.connection.receive(seconds)

    def is_readable(self) -> bool:
        """Return whether data, an end of file or an error is pending."""
        return self.connection.is_readable()

    def allow_reuse(self, keep_alive_seconds: float | None) -> None:
        """Let the pool have the connection after the hold, as its answer was whole.

        ``keep_alive_seconds`` is after how many seconds the upstream closes it if it is
        idle; None if that is unknown.
        """
        self._may_reuse = True
        self._keep_alive_seconds = keep_alive_seconds

    def abort(self) -> None:
        """Shut the connection down; after the end of the hold this does nothing."""
        if self._connection is not None:
            self._connection.abort()

    def end(self, pool: connections.Pool) -> None:
        """Let go of the connection: to the pool if it may serve another request."""
        connection, self._connection = self._connection, None
        if self._writing is not None:
            self._writing.kill()
        if connection.aborted or self._unsent_bytes:
            connection.close()
        elif not self._has_sent:
            pool.store(connection)
        elif self._may_reuse:
            pool.release(connection, self._keep_alive_seconds)
        else:
            connection.close()


@contextlib.contextmanager
def hold(
    pool: connections.Pool, connection: connections.Connection
) -> abc.Iterator[Hold]:
    """Yield a hold on a connection, which ends with the block."""
    made = Hold(connection)
    try:
        yield made
    finally:
        made.end(pool)
