"""A caller's connection: reads requests, writes responses and detects disconnects.

HTTP is parsed and serialized by h11, which does no I/O of its own. The WSGI server
can't detect a caller that disconnects before the first byte of the response, and can't
forward a truncated response so that the caller sees that it was truncated
(docs/design/platform.md).
"""

import contextlib
import dataclasses
import socket
from collections import abc

import eventlet
import h11
from eventlet import hubs

from trestlestall.forwarding import model
from trestlestall.wire import clocks, sockets

READ_BYTES = 65536
#: Statuses whose responses have no body, and need no length.
STATUSES_WITHOUT_BODY = (204, 304)
#: Bytes that a caller may send ahead while its request is being processed.
MAX_PIPELINED_BYTES = 65536
#: Seconds that a write to a caller may make no progress: about the longest deadline
#: that callers set. A disconnect is detected independently of this.
WRITE_TIMEOUT_SECONDS = 30.0
TOO_LARGE = 413
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431
#: Bytes of a header on the wire besides its name and value: ": " and CRLF.
SEPARATOR_BYTES = 4


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request; ``headers`` keep their order and case."""

    method: bytes
    target: bytes
    headers: abc.Sequence[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Input that is not a valid request; the connection is closed after the reply."""

    status: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Ended:
    """The caller closed the connection, or left it idle for too long."""


class CallerLeft(Exception):  # noqa: N818 (an event, not an error)
    """The caller closed the connection while its request was being answered."""


class Caller:
    """A connection that a caller opened.

    ``left`` is set once the caller has disconnected, ``closing`` once the gateway wants
    to close the connection after the current response. ``idle`` is true while no byte
    of a request has been received.
    """

    def __init__(self, opened: socket.socket, limits: model.CallerLimits) -> None:
        self.socket = opened
        self.limits = limits
        self.left = False
        self.closing = False
        self.idle = True
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._method = b""
        self._pipelined_bytes = 0
        self._ends_with_connection = False

    # Requests.

    def read_request(self) -> Request | Rejected | Ended:
        """Wait for the next request and read it completely."""
        try:
            return self._read_request()
        except h11.RemoteProtocolError as error:
            return Rejected(error.error_status_hint, str(error))
        except TimeoutError:
            if self.idle:
                return Ended()
            return Rejected(REQUEST_TIMEOUT, "the request came too slowly")
        except OSError:
            return Ended()

    def _read_request(self) -> Request | Rejected | Ended:
        self.idle = not self._http.trailing_data[0]
        self._method = b""
        event = self._next_event(self.limits.idle_seconds)
        if not isinstance(event, h11.Request):
            return Ended()
        self._method = event.method
        if count_bytes(event.headers.raw_items()) > self.limits.header_bytes:
            return Rejected(HEADERS_TOO_LARGE, "the headers are too long")
        if is_ambiguous(event.headers):
            return Rejected(BAD_REQUEST, "the length of the body is given twice")
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim))
        parts, size = [], 0
        while isinstance(part := self._next_event(self.limits.idle_seconds), h11.Data):
            parts.append(bytes(part.data))
            size += len(part.data)
            if size > self.limits.body_bytes:
                return Rejected(TOO_LARGE, "the body is too long")
        if not isinstance(part, h11.EndOfMessage):
            return Ended()
        headers = list(event.headers.raw_items())
        return Request(event.method, event.target, headers, b"".join(parts))

    def _next_event(self, idle_seconds: float) -> object:
        """Return the next event of the parser, reading as needed.

        A head must be complete ``limits.header_seconds`` after its first byte, however
        slowly its bytes arrive.
        """
        deadline = None
        while (event := self._http.next_event()) is h11.NEED_DATA:
            seconds = idle_seconds
            if not self.idle and self._http.their_state is h11.IDLE:
                now = clocks.read()
                deadline = deadline or now + self.limits.header_seconds
                seconds = max(0.001, deadline - now)
            self.socket.settimeout(seconds)
            data = self.socket.recv(READ_BYTES)
            self.idle = self.idle and not data
            self._http.receive_data(data)
        return event

    # Responses.

    def begin_answer(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a response; raises ``CallerLeft``."""
        headers = list(headers)
        self._ends_with_connection = (
            self._http.their_http_version == b"1.0"
            and not any(name.lower() == b"content-length" for name, _ in headers)
        )
        if self.closing:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=headers)
        self._write(self._http.send(head))

    def write_part(self, data: bytes) -> None:
        """Write a chunk of a response's body; raises ``CallerLeft``."""
        self._write(self._http.send(h11.Data(data=data)))

    def end_answer(self) -> None:
        """Write the end of a response; raises ``CallerLeft``."""
        self._write(self._http.send(h11.EndOfMessage()))
        self._ends_with_connection = False

    def answer(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        length: int | None = None,
    ) -> None:
        """Write a complete response in as few packets as possible.

        A response to HEAD has the head alone; ``length`` is that of the body which GET
        would get, if it isn't the one given. Raises ``CallerLeft``.
        """
        length = len(body) if length is None else length
        headers = list(headers)
        if status not in STATUSES_WITHOUT_BODY:
            headers.append((b"Content-Length", str(length).encode()))
        if self.closing:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=headers)
        data = self._http.send(head)
        if self._method != b"HEAD" and status not in STATUSES_WITHOUT_BODY:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._write(data)

    def abort(self) -> None:
        """End the connection, so that an unfinished response looks truncated."""
        self.reset_if_unfinished()
        sockets.shut_down(self.socket)

    def reset_if_unfinished(self) -> None:
        """Reset the connection if nothing else shows that a response is truncated.

        That is so for callers of HTTP/1.0, whose responses come without chunks.
        """
        if self._ends_with_connection:
            sockets.reset(self.socket)

    def close_if_idle(self) -> None:
        """Shut the connection down unless a byte of the next request has arrived.

        The byte may not have been read yet.
        """
        if self.idle and not sockets.is_readable(self.socket):
            self.abort()

    def reject(self, status: int, body: bytes) -> None:
        """Reply to an invalid request, if the parser's state allows it."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(CallerLeft):
                self.answer(status, (), body)

    def prepare_next(self) -> bool:
        """Reset the parser; return whether another request may use the connection."""
        if self.closing or self.left:
            return False
        state = (self._http.our_state, self._http.their_state)
        if state != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        self._pipelined_bytes = 0
        return True

    def _write(self, data: bytes | None) -> None:
        if self.left:
            raise CallerLeft()
        self.socket.settimeout(WRITE_TIMEOUT_SECONDS)
        try:
            self.socket.sendall(data or b"")
        except OSError as error:
            self.left = True
            raise CallerLeft() from error

    # Disconnects.

    @contextlib.contextmanager
    def watch(self, on_left: abc.Callable[[], object]) -> abc.Iterator[None]:
        """Call ``on_left`` if the caller disconnects during the block."""
        watcher = eventlet.spawn(self._watch, on_left)
        try:
            yield
        finally:
            watcher.kill()

    def _watch(self, on_left: abc.Callable[[], object]) -> None:
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                hubs.trampoline(self.socket, read=True)
                data = self.socket.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.left = True
                on_left()
                return
            self._pipelined_bytes += len(data)
            self._http.receive_data(data)


def is_ambiguous(headers: abc.Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the body is framed by both a length and chunks.

    Servers that disagree about which of them counts allow request smuggling.

    >>> is_ambiguous([(b"content-length", b"3"), (b"transfer-encoding", b"chunked")])
    True
    """
    names = {name for name, _ in headers}
    return {b"content-length", b"transfer-encoding"} <= names


def count_bytes(headers: abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return how many bytes the headers take on the wire."""
    return sum(len(name) + len(value) + SEPARATOR_BYTES for name, value in headers)
