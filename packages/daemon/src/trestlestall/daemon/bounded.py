"""A stream for log lines that never blocks its writer and never grows without bound."""

import collections
import contextlib
import os
from collections import abc

import eventlet
from eventlet import hubs, patcher

# eventlet's write would wait for ever for a reader that is gone.
plain_os = patcher.original("os")

#: Bytes of lines that wait for a slow reader; about two seconds of a busy process.
WAITING_BYTES = 1024 * 1024
#: Seconds between two writes, so that lines go out in few system calls.
GATHER_SECONDS = 0.1


class Stream:
    """Takes lines and writes them to a descriptor in a greenlet of its own.

    When the reader is slow, lines are dropped and counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._closed = False

    def write(self, text: str) -> None:
        """Queue the text, or drop it if too much waits."""
        data = text.encode(errors="backslashreplace")
        if self._closed or self._bytes + len(data) > WAITING_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    def flush(self) -> None:
        """Do nothing: lines go out by themselves."""

    def run(self) -> None:
        """Write what is queued, for ever."""
        while not self._closed:
            eventlet.sleep(GATHER_SECONDS)
            self.write_out()

    def write_out(self) -> None:
        """Write what is queued, waiting for the reader."""
        data = b"".join(self._lines)
        self._lines.clear()
        while data and not self._closed:
            try:
                data = data[plain_os.write(self._descriptor, data) :]
            except BlockingIOError:
                self._bytes = len(data) + sum(map(len, self._lines))
                hubs.trampoline(self._descriptor, write=True)
            except OSError:
                # Nobody reads any more: lines are only counted from here on.
                self._closed = True
        self._bytes = sum(map(len, self._lines))


@contextlib.contextmanager
def open_stream(descriptor: int) -> abc.Iterator[Stream]:
    """Yield a stream to the descriptor; what is queued is written at the end."""
    os.set_blocking(descriptor, False)
    stream = Stream(descriptor)
    writer = eventlet.spawn(stream.run)
    try:
        yield stream
    finally:
        writer.kill()
        with eventlet.Timeout(1.0, False):
            stream.write_out()
