"""Bounds the bytes of answers that a gateway holds until they are whole.

An upstream may send a body without end. One answer may take a fixed number of bytes,
and all answers together another: beyond it, those that have more than an equal part
fail. Answers that are small never do, so what is held exceeds the bound by what is read
at once at most.
"""

import contextlib
from collections import abc

from trestlestall.daemon import exceptions, settings as process_settings


class TooLongError(exceptions.DaemonError):
    """An answer has more bytes than the gateway holds of it."""


class Buffer:
    """The bytes of one answer, and those of earlier ones that are kept."""

    def __init__(self, buffers: "Buffers") -> None:
        self.size = 0
        self._kept_bytes = 0
        self._buffers = buffers
        self._parts: list[bytes] = []

    def check_length(self, length: int) -> None:
        """Raise ``TooLongError`` if an answer of this length can't be held."""
        if length > self._buffers.limits.body_bytes:
            raise TooLongError(f"an answer of {length} bytes")

    def add(self, part: bytes) -> None:
        """Append bytes; raises ``TooLongError``."""
        if not self.size:
            self._buffers.filled.add(self)
        self.size += len(part)
        self._buffers.held_bytes += len(part)
        self._parts.append(part)
        self.check_length(self.size)
        if self._buffers.is_exhausted(self.size):
            raise TooLongError(f"{self.size} bytes of an answer, among many")

    def join(self) -> bytes:
        """Return all bytes, which this buffer counts on."""
        whole = b"".join(self._parts)
        self._parts = [whole]
        return whole

    def keep(self) -> None:
        """Begin another answer while the bytes of this one stay in use."""
        self._kept_bytes += self.size
        self._parts.clear()
        self.size = 0

    def clear(self) -> None:
        """Drop the bytes of the present answer."""
        self._buffers.held_bytes -= self.size
        self._parts.clear()
        self.size = 0

    def close(self) -> None:
        """Drop all bytes."""
        self.clear()
        self._buffers.held_bytes -= self._kept_bytes
        self._buffers.filled.discard(self)


class Buffers:
    """The buffers of a gateway.

    ``held_bytes`` is how much all have, and ``filled`` are those that had any.
    """

    def __init__(self, limits: process_settings.Answers) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.filled: set[Buffer] = set()

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[Buffer]:
        """Yield a buffer whose bytes are dropped at the end of the block."""
        buffer = Buffer(self)
        try:
            yield buffer
        finally:
            buffer.close()

    def is_exhausted(self, size: int) -> bool:
        """Return whether too much is held, and a buffer of this size has its part."""
        limit = self.limits.held_bytes
        return self.held_bytes > limit and size * len(self.filled) > limit
