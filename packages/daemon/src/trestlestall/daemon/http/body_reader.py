"""Reads the body of a request, as its framing says, into the account of all bodies."""

import typing
from collections import abc

import eventlet

from trestlestall.daemon import exceptions
from trestlestall.daemon.http import bodies, chunks, pacing

#: Read at once of a body with a length.
READ_BYTES = 64 * 1024
#: Bytes of a chunked body that are decoded without waiting for a turn.
FREE_BYTES = pacing.PART_BYTES


class TooLongError(exceptions.DaemonError):
    """The body has more bytes than a request may have."""


class InvalidChunksError(exceptions.DaemonError):
    """The body's transfer coding is invalid."""


class TruncatedError(exceptions.DaemonError):
    """The connection ended within the body."""


class Received(typing.NamedTuple):
    """A whole body, and the bytes that arrived behind it."""

    body: bytes
    rest: bytes


class BodyReader:
    """Reads one body; ``receive(size)`` returns the connection's next bytes.

    At most ``limit`` bytes are taken. Both ways of reading raise ``TooLongError``,
    ``TruncatedError``, ``bodies.NoRoomError`` and what ``receive`` raises.
    """

    def __init__(
        self,
        receive: abc.Callable[[int], bytes],
        body: bodies.Body,
        pacer: pacing.Pacer,
        limit: int,
    ) -> None:
        self._receive = receive
        self._body = body
        self._pacer = pacer
        self._limit = limit

    def read_length(self, length: int, begun: bytes) -> Received:
        """Read a body of a length, of which ``begun`` has arrived."""
        self._check(length)
        self._body.add(begun[:length])
        while self._body.size < length:
            wanted = min(length - self._body.size, READ_BYTES)
            self._body.add(self._receive_some(wanted))
        return Received(self._body.finish(), begun[length:])

    def read_chunks(self, begun: bytes) -> Received:
        """Read a body in chunks; raises ``InvalidChunksError`` besides."""
        decoder = chunks.Decoder()
        decoded_bytes = 0
        part = begun
        while True:
            decoded_bytes += len(part)
            if decoded_bytes <= FREE_BYTES:
                self._decode(decoder, part)
            else:
                with self._pacer.take_turn():
                    self._decode(decoder, part)
            if decoder.ended:
                return Received(self._body.finish(), decoder.rest)
            part = self._receive_some(pacing.PART_BYTES)

    def _decode(self, decoder: chunks.Decoder, part: bytes) -> None:
        data = decoder.feed(part)
        if decoder.failed:
            raise InvalidChunksError("the chunks of the body are invalid")
        self._check(self._body.size + len(data))
        self._body.add(data)

    def _check(self, size: int) -> None:
        if size > self._limit:
            raise TooLongError("the body is too long")

    def _receive_some(self, size: int) -> bytes:
        data = self._receive(size)
        self._body.check_dropped()
        if not data:
            raise TruncatedError("the connection ended within the body")
        if len(data) == size:
            # More waits already: without this no other greenlet would run.
            eventlet.sleep(0)
            self._body.check_dropped()
        return data
