"""One attempt at one upstream: connect, send, read, and report how it ended."""

import dataclasses
import enum
import typing
from collections import abc

import msgspec

from trestlestall.daemon.router import calls, connections, streams
from trestlestall.forwarding import upstream_signals

RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024
STREAM_TYPE = "text/event-stream"
JSON_TYPE = "application/json"
# The engine currently accepts no requests at all.
BUSY_STATUS = 503
# Errors about the caller's own body; any other error status is the engine's fault.
FORWARDED_STATUSES = frozenset({400, 422})
# Upstreams of this data centre report load and leaving through their announcements;
# of the signal headers only the requested backoff is read.
SIGNAL_HEADERS = upstream_signals.HeaderNames(limit="", leaves="")
FORWARDED_HEADERS = ("Content-Encoding", "Location", "ETag", "Last-Modified")


class Ending(enum.Enum):
    """How an attempt ended.

    ``NOT_SENT`` means that no byte was written. Once any byte was written, everything
    short of a complete response is ``BROKEN``: whether the request ran is unknown.
    """

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Response:
    """An upstream's complete response, or the head of a stream (no ``body``)."""

    status: int
    content_type: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


class Sink(typing.Protocol):
    """Receives an attempt's progress; none of the calls may block for long."""

    def handle_head(self, attempt: "Attempt", response: Response) -> None:
        """Handle the status and content type of a stream, before its first piece."""

    def handle_piece(self, attempt: "Attempt", piece: streams.Piece) -> None:
        """Handle the next bytes of a stream."""

    def handle_end(
        self, attempt: "Attempt", ending: Ending, reason: str, response: Response | None
    ) -> None:
        """Handle the end of the attempt; a complete response is passed with it."""


class Attempt:
    """One attempt to send a call to an upstream, run in its own greenlet.

    ``tokens`` counts what the upstream has sent so far, without the tokens that an
    earlier attempt delivered (``resumed_tokens``). ``answered`` is true when the
    upstream responded to this call, even with an error, rather than refusing all
    work (503); an upstream that does not answer is itself at fault.
    ``backoff_seconds`` is how long the upstream asks this router to send it no
    requests; 0 if it did not ask.
    """

    def __init__(
        self,
        identity: str,
        request: str,
        call: calls.Call,
        upstream,
        extra: abc.Mapping[str, typing.Any],
    ):
        self.identity = identity
        self.request = request
        self.call = call
        self.upstream = upstream
        self.extra = extra
        self.tokens = 0
        self.resumed_tokens = 0
        self.cancelled = False
        self.sent = False
        self.answered = False
        self.backoff_seconds = 0.0
        self._link: connections.Link | None = None

    def run(self, sink: Sink) -> None:
        """Run the attempt to its end and report to the sink."""
        opened = self._connect()
        if not isinstance(opened, connections.Link):
            ending = Ending.CANCELLED if self.cancelled else Ending.NOT_SENT
            sink.handle_end(self, ending, opened, None)
            return
        self._link = opened
        try:
            ending, reason, response = self._send_and_read(opened, sink)
        except Exception as error:  # the sink must be told of the end in any case
            ending, reason, response = Ending.BROKEN, describe(error), None
        finally:
            self._link = None
            opened.close()
        if self.cancelled:
            ending, reason = Ending.CANCELLED, "cancelled"
        sink.handle_end(self, ending, reason, response)

    def cancel(self) -> None:
        """Close the connection; engines that honour disconnects stop generating."""
        self.cancelled = True
        if self._link is not None:
            self._link.abort()

    def _connect(self) -> connections.Link | str:
        """Return an open connection, or why there is none."""
        if self.upstream is None:
            return "the upstream has left, or the stream can't be resumed exactly"
        opened = connections.connect(self.upstream.address)
        return describe(opened) if isinstance(opened, Exception) else opened

    def _send_and_read(self, opened: connections.Link, sink: Sink) -> tuple:
        if self.cancelled:
            return Ending.CANCELLED, "cancelled", None
        self.sent = True
        response = connections.send(
            opened,
            self.call.method,
            self.call.path,
            self._make_headers(),
            self._make_body(),
        )
        self.answered = response.status != BUSY_STATUS
        self.backoff_seconds = read_backoff_seconds(response)
        if self.call.is_service:
            return self._read_service(response)
        if response.status != 200 and "resume" in self.extra:
            return Ending.NOT_SENT, f"resume refused: status {response.status}", None
        if response.status == 200 and self.call.streamed:
            return self._read_stream(response, sink)
        return self._read_completion(response)

    def _make_headers(self) -> dict[str, str]:
        headers = {
            "Content-Type": self.call.content_type,
            "X-Request-Id": self.identity,
            "Accept-Encoding": "identity",
            "User-Agent": "trestlestall",
        }
        if self.call.key:
            headers["Idempotency-Key"] = self.call.key
        return headers

    def _make_body(self) -> bytes:
        if self.call.is_service or not self.extra:
            return self.call.body
        return calls.add_fields(self.call.body, dict(self.extra))

    def _read_stream(self, response, sink: Sink) -> tuple:
        content_type = response.headers.get("content-type", "")
        if not content_type.startswith(STREAM_TYPE):
            return Ending.BROKEN, f"not an event stream: type {content_type!r}", None
        sink.handle_head(self, Response(200, content_type))
        reader = streams.Reader()
        for part in response.body:
            piece = reader.feed(part)
            self.tokens += piece.tokens
            if piece.data and not self.cancelled:
                sink.handle_piece(self, piece)
            if reader.failure or reader.finished or self.cancelled:
                break
        if reader.finished:
            return Ending.COMPLETED, "", None
        return Ending.BROKEN, reader.failure or "the stream ended before [DONE]", None

    def _read_completion(self, response) -> tuple:
        body = connections.read_body(response, RESPONSE_LIMIT_BYTES)
        if response.status in FORWARDED_STATUSES and body is not None:
            return Ending.COMPLETED, "", make_response(response, body)
        if response.status != 200:
            return Ending.BROKEN, f"the engine returned status {response.status}", None
        tokens = None if body is None else streams.count_completion_tokens(body)
        if tokens is None:
            return Ending.BROKEN, "the response is not a complete completion", None
        self.tokens = tokens
        return Ending.COMPLETED, "", make_response(response, body)

    def _read_service(self, response) -> tuple:
        body = connections.read_body(response, RESPONSE_LIMIT_BYTES)
        if body is None:
            return Ending.BROKEN, "the response exceeds the size limit", None
        if not response.is_delimited and not is_whole_json(body):
            return Ending.BROKEN, "the response does not delimit its body", None
        self.tokens = 1
        return Ending.COMPLETED, "", make_response(response, body)


def read_backoff_seconds(response) -> float:
    """Return the backoff that the upstream asks for, in seconds; 0 for none."""
    values = {name.lower(): [value] for name, value in response.headers.items()}
    return upstream_signals.read(values, response.status, SIGNAL_HEADERS).rest_seconds


def make_response(response, body: bytes) -> Response:
    """Return the complete response with the headers that the caller receives."""
    found = [(name, response.headers.get(name)) for name in FORWARDED_HEADERS]
    headers = tuple((name, value) for name, value in found if value is not None)
    content_type = response.headers.get("content-type", JSON_TYPE)
    return Response(response.status, content_type, body, headers)


def is_whole_json(body: bytes) -> bool:
    """Return whether the body is one JSON document that shows its own end.

    A number doesn't: what is left of one that was cut off may be another number.
    """
    try:
        found = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return False
    return isinstance(found, bool) or not isinstance(found, (int, float))


def describe(error: Exception) -> str:
    """Return a short reason for the log, without object addresses."""
    cause = error.__cause__ or error.__context__ or error
    return f"{type(error).__name__}: {cause}"[:200]
