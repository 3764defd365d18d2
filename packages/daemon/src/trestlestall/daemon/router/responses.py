"""Builds the response that a caller receives from the messages of an exchange."""

from __future__ import annotations

import contextlib
import typing
from collections import abc

from trestlestall.daemon.http import answers, errors, exceptions, requests
from trestlestall.daemon.router import exchanges, hangups

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

REQUEST_HEADER = "Trestlestall-Request"
REPLAYED_HEADER = ("Idempotent-Replayed", "true")
STREAM_HEADERS = (("Cache-Control", "no-cache"), ("X-Accel-Buffering", "no"))


def answer(
    router: process.Router, request: requests.Request, exchange: exchanges.Exchange
) -> answers.Answer:
    """Start the exchange and return the response once its first message is here."""
    resources = contextlib.ExitStack()
    resources.enter_context(run_exchange(router, request, exchange))
    message = exchange.read()
    if isinstance(message, exchanges.StreamStarted):
        headers = ((REQUEST_HEADER, exchange.request), *STREAM_HEADERS)
        body = StreamBody(router, exchange, resources)
        return answers.Answer(200, body, message.response.content_type, headers)
    with resources:
        return build_complete_response(exchange, message)


@contextlib.contextmanager
def run_exchange(
    router: process.Router, request: requests.Request, exchange: exchanges.Exchange
) -> abc.Iterator[None]:
    """Open the exchange, watch for a disconnect of its caller, and close it."""
    with hangups.watch(request.socket, lambda: router.dispatcher.hang_up(exchange)):
        router.dispatcher.open(exchange)
        try:
            yield
        finally:
            router.dispatcher.close(exchange)
            router.reports.record_end(exchange)


def build_complete_response(
    exchange: exchanges.Exchange, message: exchanges.Message
) -> answers.Answer:
    """Return the response for an exchange that ended with its first message."""
    own_headers = ((REQUEST_HEADER, exchange.request),)
    if isinstance(message, exchanges.Failed):
        return answers.build_failure(message.failure, own_headers)
    if not isinstance(message, exchanges.CompleteResponse):
        return answers.Answer(499, abort_response(), headers=own_headers)
    response = message.response
    if message.replayed:
        own_headers = (*own_headers, REPLAYED_HEADER)
    headers = (*own_headers, *response.headers)
    return answers.Answer(
        response.status, response.body or b"", response.content_type, headers
    )


def abort_response() -> abc.Iterator[bytes]:
    """Abort the connection without a body: the caller has disconnected."""
    raise exceptions.ResponseAbortedError()
    yield b""


class StreamBody:
    """The body of a streamed response, as WSGI iterates it.

    A stream that can't be finished ends with an error event, and its connection is
    closed without the last chunk. The WSGI server calls ``close`` in any case.
    """

    def __init__(
        self,
        router: process.Router,
        exchange: exchanges.Exchange,
        resources: contextlib.ExitStack,
    ):
        self._router = router
        self._exchange = exchange
        self._resources = resources
        self._failed = False

    def __iter__(self) -> abc.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._failed:
            raise exceptions.ResponseAbortedError()
        message = self._exchange.read()
        if isinstance(message, exchanges.StreamData):
            self._record_first_token(message)
            return self._join_pieces(message.piece.data)
        if isinstance(message, exchanges.StreamEnded):
            raise StopIteration
        if isinstance(message, exchanges.Failed):
            self._failed = True
            return encode_error_event(message.failure)
        raise exceptions.ResponseAbortedError()

    def close(self) -> None:
        """Cancel the work that still runs for the caller."""
        self._resources.close()

    def _join_pieces(self, data: bytes) -> bytes:
        """Append the pieces queued already, so that a busy router writes less often."""
        piece = self._exchange.read_piece()
        if piece is None:
            return data
        parts = [data]
        while piece is not None:
            parts.append(piece.data)
            piece = self._exchange.read_piece()
        return b"".join(parts)

    def _record_first_token(self, message: exchanges.StreamData) -> None:
        if message.piece.tokens and self._exchange.first_token_at is None:
            self._exchange.first_token_at = self._router.env.clock.monotonic()


def encode_error_event(failure: errors.Failure) -> bytes:
    """Return the failure as the last event of a stream."""
    return b"data: " + errors.encode_failure(failure) + b"\n\n"
