"""Bounds the bytes of requests' bodies that a process holds.

Clients may send many bodies at once and leave them unfinished. All bodies together may
take a fixed number of bytes. Beyond it, the largest unfinished one that has more than
an equal part is dropped, so a body that is small is received however many others there
are, and a new client displaces those that stopped.
"""

import contextlib
from collections import abc

from trestlestall.daemon import exceptions
from trestlestall.wire import clocks

#: Bytes from which on another block is begun: one that grows is moved in memory, and
#: many that grow in turns leave gaps that nothing fits into.
BLOCK_BYTES = 64 * 1024


class NoRoomError(exceptions.DaemonError):
    """A body was dropped, as too much is held of all."""


class Body:
    """The bytes of one body, from their arrival until the request has ended.

    ``on_dropped`` is called when the body is dropped to make room; it wakes whoever
    waits for more bytes.
    """

    def __init__(self, bodies: "Bodies") -> None:
        self.size = 0
        self.is_whole = False
        self.is_dropped = False
        self.on_dropped: abc.Callable[[], object] = do_nothing
        self.received_at = 0.0
        self._bodies = bodies
        self._blocks: list[bytearray] = []

    def add(self, part: bytes) -> None:
        """Append bytes; raises ``NoRoomError`` if this body is dropped."""
        if not part:
            return
        if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += part
        self.size += len(part)
        self.received_at = clocks.read()
        self._bodies.record_added(self, len(part))
        self.check_dropped()

    def check_dropped(self) -> None:
        """Raise ``NoRoomError`` if the body was dropped."""
        if self.is_dropped:
            raise NoRoomError("too many bytes of bodies are held")

    def finish(self) -> bytes:
        """Return the whole body, which counts as held until ``clear``."""
        self.is_whole = True
        whole = b"".join(self._blocks)
        self._blocks.clear()
        return whole

    def drop(self) -> None:
        """Drop the bytes to make room for other bodies."""
        self.clear()
        self.is_dropped = True
        self.on_dropped()

    def clear(self) -> None:
        """Forget the body, so that the next one may begin."""
        self._bodies.record_removed(self)
        self._blocks.clear()
        self.size = 0
        self.is_whole = self.is_dropped = False


class Bodies:
    """The bodies that a process holds, ``limit`` bytes of all together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held_bytes = 0
        self._filled: set[Body] = set()

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[Body]:
        """Yield a body, whose bytes are forgotten at the end of the block."""
        body = Body(self)
        try:
            yield body
        finally:
            body.clear()

    def record_added(self, body: Body, size: int) -> None:
        """Count bytes of a body, and drop others, or this one, beyond the limit."""
        self._filled.add(body)
        self.held_bytes += size
        while self.held_bytes > self.limit and not body.is_dropped:
            found = self._find_largest()
            if found is None:
                return
            found.drop()

    def record_removed(self, body: Body) -> None:
        """Stop counting a body."""
        if body in self._filled:
            self._filled.discard(body)
            self.held_bytes -= body.size

    def _find_largest(self) -> Body | None:
        """Return the largest unfinished body that has more than an equal part.

        Of two of the same size it is the one that has stood still for longer.
        """
        part = self.limit / len(self._filled)
        unfinished = [one for one in self._filled if not one.is_whole]
        found = max(
            unfinished, key=lambda one: (one.size, -one.received_at), default=None
        )
        return found if found is not None and found.size > part else None


def do_nothing() -> None:
    """Do nothing, as nobody waits."""
