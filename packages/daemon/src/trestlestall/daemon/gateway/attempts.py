"""One attempt: a request sent to one upstream, up to the end of the response."""

import contextlib
import dataclasses
from collections import abc

import eventlet
import h11

from trestlestall.daemon import dialects
from trestlestall.daemon.gateway import (
    answer_buffers,
    answer_headers,
    connections,
    echoes,
    exchanges,
    heads,
    holds,
    outcomes,
)
from trestlestall.daemon.http import answer_heads
from trestlestall.forwarding import upstreams
from trestlestall.wire import clocks

#: Responses to other requests that are skipped before the attempt counts as broken.
MAX_FOREIGN_ANSWERS = 3
#: Of a body that nobody needs, so many bytes are read, for so many seconds, to keep the
#: connection.
DISCARDED_BYTES = 256 * 1024
DISCARD_SECONDS = 0.05
#: Connections tried for a request: the first may be an idle one through a lost peer.
CONNECTIONS_TRIED = 2

Acquire = abc.Callable[
    [upstreams.Row, str, float], connections.Connection | connections.Unreachable
]


class BrokenExchange(Exception):  # noqa: N818 (an event, not an error)
    """The connection ended or failed, or the data is not a valid response."""

    path_lost = False


class LostPath(BrokenExchange):
    """The way to the upstream was lost, or shut down here."""

    path_lost = True


class OversizedAnswer(BrokenExchange):
    """The upstream sends more bytes than an answer may have, perhaps without end."""


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """What an attempt asks and tells while it goes on.

    ``find_extension`` is called when the upstream has been silent until a deadline; it
    returns a later deadline, or None to break off the exchange. ``may_send`` is called
    with the connection before anything is sent. ``on_skipped`` is called with the
    status and the ``echoes.Echo`` value of an answer that is not known to be the
    request's.
    """

    find_extension: abc.Callable[[], float | None]
    may_send: abc.Callable[[connections.Connection], bool]
    on_skipped: abc.Callable[[int, str], object]


class Attempt:
    """One exchange with an upstream; any green thread may abort it.

    ``acquire`` returns a connection to the upstream for the request with an id, within
    some seconds, and ``exchange`` records what is sent and heard. ``is_closed`` is true
    once the upstream, or its host, has closed the connection. ``stack`` ends with the
    attempt.
    """

    def __init__(
        self,
        pool: connections.Pool,
        acquire: Acquire,
        row: upstreams.Row,
        exchange: exchanges.Exchange,
        names: dialects.Headers,
        callbacks: Callbacks,
        stack: contextlib.ExitStack,
    ) -> None:
        self.row = row
        self.is_closed = False
        self._pool = pool
        self._acquire = acquire
        self._exchange = exchange
        self._names = names
        self._find_extension = callbacks.find_extension
        self._may_send = callbacks.may_send
        self._on_skipped = callbacks.on_skipped
        self._stack = stack
        self._hold: holds.Hold | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._heads = answer_heads.HeadBuffer()
        self._aborted = False
        self._request: tuple[h11.Request, str] | None = None
        self._body = b""
        self._keep_alive_seconds: float | None = None
        self._is_named = False
        self._has_skipped = False

    def connect(self, head: heads.Head, seconds: float) -> outcomes.NotSent | None:
        """Open or take a connection; return None unless that failed."""
        connection = self._begin(head.request_id, seconds)
        if isinstance(connection, connections.Unreachable):
            return outcomes.NotSent(connection.reason, connection.timed_out)
        self._hold = self._stack.enter_context(holds.hold(self._pool, connection))
        if not self._may_send(connection):
            return outcomes.NotProven("the upstream may have started again")
        if self._aborted:
            return outcomes.NotSent("the caller left")
        return None

    def send(
        self,
        head: heads.Head,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        seconds: float,
    ) -> outcomes.Broken | None:
        """Send the request on the connection; return None unless that failed."""
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        self._request = request, head.request_id
        self._hold.record_request(head.request_id)
        self._body = body
        data = self._begin_parser(self._http)
        return self._write(data, seconds)

    def _begin_parser(self, http: h11.Connection) -> bytes:
        """Let a parser expect the answer to the request; return the request's head."""
        data = http.send(self._request[0])
        if self._body:
            http.send_with_data_passthrough(h11.Data(data=self._body))
        http.send(h11.EndOfMessage())
        return data

    def forget_body(self) -> None:
        """Let go of the request's body, as references in a circle keep the attempt."""
        self._body = b""

    @property
    def port(self) -> int | None:
        """The own port of the connection; None without one."""
        return None if self._hold is None else self._hold.port

    @property
    def requests(self) -> int:
        """How many requests were sent on the connection; 0 without one."""
        return 0 if self._hold is None else self._hold.requests

    @property
    def peer(self) -> str:
        """The peer through which the request was sent; empty for none."""
        return "" if self._hold is None else self._hold.peer

    def _begin(
        self, request_id: str, seconds: float
    ) -> connections.Connection | connections.Unreachable:
        """Return a connection that is ready for the request."""
        for _ in range(CONNECTIONS_TRIED):
            connection = self._acquire(self.row, request_id, seconds)
            if isinstance(connection, connections.Unreachable):
                return connection
            try:
                connection.begin(request_id)
                return connection
            except OSError:
                connection.close()
        return connections.Unreachable("the peer is lost")

    def _write(self, data: bytes, seconds: float) -> outcomes.Broken | None:
        self._exchange.begin(self.peer)
        try:
            self._hold.send(data, seconds, self._body)
        except connections.PathLostError as error:
            return outcomes.Broken(f"while sending: {error}", path_lost=True)
        except TimeoutError as error:
            return outcomes.Broken(f"while sending: {error}")
        except OSError as error:
            self.is_closed = True
            return outcomes.Broken(f"while sending: {error}")
        return None

    def abort(self) -> None:
        """Abort the exchange; a pending read raises ``LostPath``."""
        self._aborted = True
        if self._hold is not None:
            self._hold.abort()

    def read_head(self, deadline: float) -> outcomes.AnswerHead | outcomes.NotRun:
        """Return the head of the response to this request.

        ``deadline`` is in seconds of the monotonic clock. Raises ``BrokenExchange``.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            response = self._read_response(deadline)
            found = heads.index_headers(list(response.headers))
            echo = echoes.read(
                response.headers, self._names.request_id, self._request[1]
            )
            if self._is_own(echo):
                seconds = answer_headers.read_keep_alive_seconds(found)
                self._keep_alive_seconds = seconds
                self._is_named = echo is echoes.Echo.OWN
                return self._classify(response, found)
            self._has_skipped = True
            self._on_skipped(response.status_code, echo.value)
            self._skip_foreign_answer(deadline)
        raise BrokenExchange("only answers to other requests came")

    def _is_own(self, echo: echoes.Echo) -> bool:
        """Return whether an answer is known to be that of the request.

        One that names no request is, if it is the first one on its connection.
        """
        if echo is echoes.Echo.MISSING:
            return self.requests == 1 and not self._has_skipped
        return echo is echoes.Echo.OWN

    def _read_response(self, deadline: float) -> h11.Response:
        for _ in range(answer_heads.MAX_INTERIM_ANSWERS):
            event = self._read_any_head(deadline)
            if isinstance(event, h11.Response):
                rest = self._heads.take_rest()
                if rest:
                    self._http.receive_data(rest)
                return event
        raise OversizedAnswer("only interim answers came")

    def _read_any_head(
        self, deadline: float
    ) -> h11.Response | h11.InformationalResponse:
        """Return the next head, which the parser gets only once it is checked."""
        try:
            while (data := self._heads.take_head()) is None:
                part = self._receive(deadline)
                if not part:
                    raise BrokenExchange("the connection ended before an answer")
                self._heads.add(part)
            answer_heads.parse(data)
            self._http.receive_data(data)
            return self._http.next_event()
        except (answer_heads.InvalidHeadError, h11.RemoteProtocolError) as error:
            raise BrokenExchange(str(error)) from error

    def _classify(
        self, response: h11.Response, found: dict[str, str]
    ) -> outcomes.AnswerHead | outcomes.NotRun:
        status = response.status_code
        signal = answer_headers.read_signal(response, self._names)
        if self._names.not_run.lower() in found or status == outcomes.MISDIRECTED:
            return outcomes.NotRun(status, signal)
        headers = tuple(response.headers.raw_items())
        return outcomes.AnswerHead(status, headers, found, signal)

    def _skip_foreign_answer(self, deadline: float) -> None:
        """Skip a response to another request, and reset the parser for ours."""
        size = 0
        while not isinstance(event := self._next_event(deadline), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise BrokenExchange("the connection ended")
            size += len(event.data)
            if size > DISCARDED_BYTES:
                raise OversizedAnswer("a long answer to another request came")
        rest, _ = self._http.trailing_data
        self._heads.add(rest)
        self._http = h11.Connection(h11.CLIENT)
        self._begin_parser(self._http)

    def read_parts(self, find_deadline: abc.Callable[[], float]) -> abc.Iterator[bytes]:
        """Yield the chunks of the body as they arrive; raises ``BrokenExchange``.

        ``find_deadline`` is called before each chunk and returns until when to wait.
        """
        while True:
            event = self._next_event(find_deadline())
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._allow_reuse()
                return
            else:
                raise BrokenExchange("the connection ended within the answer")

    def read_body(
        self, head: outcomes.AnswerHead, deadline: float, buffer: answer_buffers.Buffer
    ) -> bytes:
        """Return the complete body; raises ``BrokenExchange``."""
        buffer.clear()
        try:
            if self._request[0].method != b"HEAD":
                buffer.check_length(head.length)
            for part in self.read_parts(lambda: deadline):
                buffer.add(part)
        except answer_buffers.TooLongError as error:
            raise OversizedAnswer(f"too long: {error}") from error
        return buffer.join()

    def discard_body(self, deadline: float) -> None:
        """Read a body that nobody needs, if it ends soon, to keep the connection."""
        self._find_extension = lambda: None
        deadline = min(deadline, clocks.read() + DISCARD_SECONDS)
        size = 0
        with contextlib.suppress(BrokenExchange):
            for part in self.read_parts(lambda: deadline):
                size += len(part)
                if size > DISCARDED_BYTES:
                    return

    def _allow_reuse(self) -> None:
        """Let another request use the connection, unless its protocol forbids that.

        An upstream that names no request in its answers gets a connection for each, as
        nothing else tells a late answer from the one that is due.
        """
        states = (self._http.our_state, self._http.their_state)
        is_done = states == (h11.DONE, h11.DONE) and not self._http.trailing_data[0]
        if is_done and self._is_named:
            self._hold.allow_reuse(self._keep_alive_seconds)

    def _next_event(self, deadline: float) -> object:
        http = self._http
        try:
            while (event := http.next_event()) is h11.NEED_DATA:
                http.receive_data(self._receive(deadline))
        except h11.RemoteProtocolError as error:
            raise BrokenExchange(str(error)) from error
        return event

    def has_arrived(self) -> bool:
        """Return whether data of the upstream, or its end, waits to be read."""
        return self._hold.is_readable()

    def _receive(self, deadline: float) -> bytes:
        while (data := self._receive_until(deadline)) is None:
            extended = self._find_extension()
            if extended is None:
                raise BrokenExchange("out of time")
            deadline = extended
        return data

    def _receive_until(self, deadline: float) -> bytes | None:
        """Return what the upstream sends until the deadline; None for nothing."""
        left = deadline - clocks.read()
        if left <= 0:
            return None
        try:
            data = self._hold.receive(left)
        except TimeoutError:
            return None
        except connections.PathLostError as error:
            raise LostPath(str(error)) from error
        except OSError as error:
            self.is_closed = True
            raise BrokenExchange(f"connection lost: {error}") from error
        self._exchange.record_heard()
        self.is_closed = not data
        if len(data) >= connections.READ_BYTES:
            # More waits already: without this no other greenlet would run.
            eventlet.sleep(0)
        return data


@contextlib.contextmanager
def open_attempt(
    pool: connections.Pool,
    acquire: Acquire,
    row: upstreams.Row,
    exchange: exchanges.Exchange,
    names: dialects.Headers,
    callbacks: Callbacks,
) -> abc.Iterator[Attempt]:
    """Yield an attempt, whose hold on its connection ends with the block."""
    with contextlib.ExitStack() as stack:
        attempt = Attempt(pool, acquire, row, exchange, names, callbacks, stack)
        try:
            yield attempt
        finally:
            attempt.forget_body()
