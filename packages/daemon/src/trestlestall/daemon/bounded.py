"""A buffered log stream that never blocks its writer and whose buffer is bounded."""

import collections
import contextlib
import os
from collections import abc

import eventlet
from eventlet import hubs, patcher

# eventlet's os.write would wait for ever on a pipe whose reader has exited.
unpatched_os = patcher.original("os")

#: Size of the buffer for a slow reader; a busy process logs this much in about two
#: seconds.
BUFFER_LIMIT_BYTES = 1024 * 1024
#: Interval between two writes, so that lines are written in few system calls.
FLUSH_INTERVAL_SECONDS = 0.1


class Stream:
    """Buffers lines and writes them to a file descriptor from its own greenlet.

    Lines that don't fit into the buffer while the reader is slow are dropped and
    counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._closed = False

    def write(self, text: str) -> None:
        """Queue the text, or drop it if the buffer is full or the reader has exited."""
        data = text.encode(errors="backslashreplace")
        if self._closed or self._bytes + len(data) > BUFFER_LIMIT_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    def flush(self) -> None:
        """Do nothing: ``run`` writes the queued lines."""

    def run(self) -> None:
        """Write the queued lines at intervals until the reader has exited."""
        while not self._closed:
            eventlet.sleep(FLUSH_INTERVAL_SECONDS)
            self.write_queued()

    def write_queued(self) -> None:
        """Write the queued lines, waiting for the reader as long as it takes."""
        data = b"".join(self._lines)
        self._lines.clear()
        while data and not self._closed:
            try:
                data = data[unpatched_os.write(self._descriptor, data) :]
            except BlockingIOError:
                self._bytes = len(data) + sum(map(len, self._lines))
                hubs.trampoline(self._descriptor, write=True)
            except OSError:
                # The reader has exited: later lines are only counted.
                self._closed = True
        self._bytes = sum(map(len, self._lines))


@contextlib.contextmanager
def open_stream(descriptor: int) -> abc.Iterator[Stream]:
    """Yield a stream to the descriptor; at the end, flush it for up to 1 s."""
    os.set_blocking(descriptor, False)
    stream = Stream(descriptor)
    writer = eventlet.spawn(stream.run)
    try:
        yield stream
    finally:
        writer.kill()
        with eventlet.Timeout(1.0, False):
            stream.write_queued()
