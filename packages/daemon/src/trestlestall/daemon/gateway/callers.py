"""A caller's connection: reads requests, writes responses and detects disconnects.

Heads are parsed and answers serialized by h11, which does no I/O of its own; bodies are
read by ``http.body_reader``. The WSGI server can't detect a caller that disconnects
before the first byte of the response, and can't forward a truncated response so that
the caller sees that it was truncated (docs/design/platform.md).
"""

import contextlib
import dataclasses
import socket
from collections import abc

import eventlet
import h11
from eventlet import hubs

from trestlestall.daemon.http import bodies, body_reader, pacing
from trestlestall.forwarding import model
from trestlestall.wire import clocks, sockets

READ_BYTES = 65536
#: Read at once of a head: the parser keeps what belongs to the body behind it.
HEAD_READ_BYTES = 8192
#: Bodies up to this size are written together with their heads.
JOINED_BYTES = 16384
#: Statuses whose responses have no body, and need no length.
STATUSES_WITHOUT_BODY = (204, 304)
#: Bytes that a caller may send ahead while its request is being processed.
MAX_PIPELINED_BYTES = 16384
#: Seconds that a write to a caller may make no progress: about the longest deadline
#: that callers set. A disconnect is detected independently of this.
WRITE_TIMEOUT_SECONDS = 30.0
TOO_LARGE = 413
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503
#: After a rejection so much more of the request is read and dropped, for so long: a
#: close with unread bytes would reset the connection, and the caller lose the answer.
LINGER_BYTES = 16 * 1024 * 1024
LINGER_SECONDS = 1.0
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

    ``find_limits`` returns the limits in force, ``body`` counts what the connection's
    request takes of the memory for bodies, and ``pacer`` gives turns for costly ones.
    ``left`` is set once the caller has disconnected, ``closing`` once the gateway wants
    to close the connection after the current response. ``idle`` is true while no byte
    of a request has been received, ``is_whole`` once a request was received completely.
    ``active_at`` is when bytes last arrived.
    """

    def __init__(
        self,
        opened: socket.socket,
        find_limits: abc.Callable[[], model.CallerLimits],
        body: bodies.Body,
        pacer: pacing.Pacer,
    ) -> None:
        self.socket = opened
        self.limits = find_limits()
        self.left = False
        self.closing = False
        self.idle = True
        self.is_whole = False
        self.active_at = clocks.read()
        self._find_limits = find_limits
        self._body = body
        self._body.on_dropped = self._stop_reading
        self._pacer = pacer
        self._http = self._make_parser()
        self._ahead = b""
        self._method = b""
        self._ends_with_connection = False

    def _make_parser(self) -> h11.Connection:
        bound = self.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=bound)

    # Requests.

    def read_request(self) -> Request | Rejected | Ended:
        """Wait for the next request and read it completely."""
        try:
            return self._read_request()
        except h11.RemoteProtocolError as error:
            return Rejected(error.error_status_hint, str(error))
        except body_reader.TooLongError as error:
            return Rejected(TOO_LARGE, str(error))
        except body_reader.InvalidChunksError as error:
            return Rejected(BAD_REQUEST, str(error))
        except bodies.NoRoomError as error:
            return Rejected(UNAVAILABLE, str(error))
        except body_reader.TruncatedError:
            return Ended()
        except TimeoutError:
            if self.idle:
                return Ended()
            return Rejected(REQUEST_TIMEOUT, "the request came too slowly")
        except OSError:
            return Ended()

    def _read_request(self) -> Request | Rejected | Ended:
        event = self._read_head()
        if event is None:
            return Ended()
        self._method = event.method
        if count_bytes(event.headers.raw_items()) > self.limits.header_bytes:
            return Rejected(HEADERS_TOO_LARGE, "the headers are too long")
        if is_ambiguous(event.headers):
            return Rejected(BAD_REQUEST, "the length of the body is given twice")
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim))
        body = self._read_body(event)
        self.is_whole = True
        headers = list(event.headers.raw_items())
        return Request(event.method, event.target, headers, body)

    def _read_head(self) -> h11.Request | None:
        """Return the parsed head of the next request; None at the connection's end.

        A head must be complete ``limits.header_seconds`` after its first byte, however
        slowly its bytes arrive.
        """
        self._method = b""
        self.idle = not self._ahead
        data = self._ahead or self._receive(HEAD_READ_BYTES, self.limits.idle_seconds)
        self.idle = not data
        self.limits = self._find_limits()
        self._http = self._make_parser()
        self._http.receive_data(data)
        deadline = clocks.read() + self.limits.header_seconds
        while (event := self._http.next_event()) is h11.NEED_DATA:
            seconds = max(0.001, deadline - clocks.read())
            self._http.receive_data(self._receive(HEAD_READ_BYTES, seconds))
        return event if isinstance(event, h11.Request) else None

    def _read_body(self, head: h11.Request) -> bytes:
        """Read the body behind a head, and keep what arrived behind the body."""
        begun, _ = self._http.trailing_data
        reader = body_reader.BodyReader(
            lambda size: self._receive(size, self.limits.idle_seconds),
            self._body,
            self._pacer,
            self.limits.body_bytes,
        )
        framing = dict(head.headers)
        if b"transfer-encoding" in framing:
            received = reader.read_chunks(begun)
        else:
            length = int(framing.get(b"content-length", b"0"))
            received = reader.read_length(length, begun)
        self._ahead = received.rest
        return received.body

    def _receive(self, size: int, seconds: float) -> bytes:
        self.socket.settimeout(seconds)
        data = self.socket.recv(size)
        self.active_at = clocks.read()
        return data

    def _stop_reading(self) -> None:
        """Wake whoever waits for the rest of a body that was dropped."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

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
            self._http.send_with_data_passthrough(h11.Data(data=body))
        else:
            body = b""
        self._http.send(h11.EndOfMessage())
        if len(body) <= JOINED_BYTES:
            self._write(data + body)
            return
        # Long bodies are not copied, as slow callers may keep many of them waiting.
        self._write(data)
        self._write(body)

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

    def reject(
        self,
        status: int,
        body: bytes,
        headers: abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Reply to an invalid request, if the parser's state allows it."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(CallerLeft):
                self.answer(status, headers, body)
                self._linger()

    def _linger(self) -> None:
        """Drop what the caller still sends, until it has read the answer."""
        until = clocks.read() + LINGER_SECONDS
        left = LINGER_BYTES
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while left > 0 and clocks.read() < until:
                data = self._receive(READ_BYTES, LINGER_SECONDS)
                if not data:
                    return
                left -= len(data)
                eventlet.sleep(0)

    def prepare_next(self) -> bool:
        """Return whether another request may use the connection."""
        may_go_on = self.is_whole and self._http.our_state is h11.DONE
        self.is_whole = False
        self._body.clear()
        return may_go_on and not (self.closing or self.left)

    def _write(self, data: bytes | None) -> None:
        if self.left:
            raise CallerLeft()
        self.socket.settimeout(WRITE_TIMEOUT_SECONDS)
        try:
            self.socket.sendall(memoryview(data or b""))
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
        while len(self._ahead) < MAX_PIPELINED_BYTES:
            try:
                hubs.trampoline(self.socket, read=True)
                data = self.socket.recv(MAX_PIPELINED_BYTES - len(self._ahead))
            except OSError:
                data = b""
            if not data:
                self.left = True
                on_left()
                return
            self._ahead += data


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
