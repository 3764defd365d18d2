"""Turning an exchange's messages into the response that the caller receives."""

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
    site: process.Router, request: requests.Request, exchange: exchanges.Exchange
) -> answers.Answer:
    """Let the exchange arrive and return the response, once its beginning is known."""
    resources = contextlib.ExitStack()
    resources.enter_context(carry_exchange(site, request, exchange))
    message = exchange.read()
    if isinstance(message, exchanges.Begun):
        headers = ((REQUEST_HEADER, exchange.request), *STREAM_HEADERS)
        body = StreamBody(site, exchange, resources)
        return answers.Answer(200, body, message.response.content_type, headers)
    with resources:
        return build_whole(exchange, message)


@contextlib.contextmanager
def carry_exchange(
    site: process.Router, request: requests.Request, exchange: exchanges.Exchange
) -> abc.Iterator[None]:
    """Open the exchange, watch its caller, and close it at the end."""
    with hangups.watch(request.socket, lambda: site.dispatcher.hang_up(exchange)):
        site.dispatcher.open(exchange)
        try:
            yield
        finally:
            site.dispatcher.close(exchange)
            site.reports.note_end(exchange)


def build_whole(
    exchange: exchanges.Exchange, message: exchanges.Message
) -> answers.Answer:
    """Return the response for a message that is the only one."""
    marks = ((REQUEST_HEADER, exchange.request),)
    if isinstance(message, exchanges.Failed):
        return answers.build_failure(message.failure, marks)
    if not isinstance(message, exchanges.Whole):
        return answers.Answer(499, cut_off(), headers=marks)
    response = message.response
    if message.replayed:
        marks = (*marks, REPLAYED_HEADER)
    headers = (*marks, *response.headers)
    return answers.Answer(
        response.status, response.body or b"", response.content_type, headers
    )


def cut_off() -> abc.Iterator[bytes]:
    """Yield nothing and have the connection closed: nobody listens."""
    raise exceptions.AnswerCutOffError()
    yield b""


class StreamBody:
    """The streamed body of an answer, as WSGI iterates it.

    An answer that can't be finished ends with an error event, and its connection is
    closed without the last chunk. ``close`` is called by the WSGI runner in any case.
    """

    def __init__(
        self,
        site: process.Router,
        exchange: exchanges.Exchange,
        resources: contextlib.ExitStack,
    ):
        self._site = site
        self._exchange = exchange
        self._resources = resources
        self._broken = False

    def __iter__(self) -> abc.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._broken:
            raise exceptions.AnswerCutOffError()
        message = self._exchange.read()
        if isinstance(message, exchanges.Passed):
            self._note_token(message)
            return self._join_pieces(message.piece.data)
        if isinstance(message, exchanges.Ended):
            raise StopIteration
        if isinstance(message, exchanges.Failed):
            self._broken = True
            return encode_error_event(message.failure)
        raise exceptions.AnswerCutOffError()

    def close(self) -> None:
        """Give up whatever still runs for the caller."""
        self._resources.close()

    def _join_pieces(self, data: bytes) -> bytes:
        """Add the pieces that are here already: a busy router writes less often."""
        piece = self._exchange.read_piece()
        if piece is None:
            return data
        parts = [data]
        while piece is not None:
            parts.append(piece.data)
            piece = self._exchange.read_piece()
        return b"".join(parts)

    def _note_token(self, message: exchanges.Passed) -> None:
        if message.piece.tokens and self._exchange.first_token_at is None:
            self._exchange.first_token_at = self._site.env.clock.monotonic()


def encode_error_event(failure: errors.Failure) -> bytes:
    """Return the failure as the last event of a stream."""
    return b"data: " + errors.encode_failure(failure) + b"\n\n"
