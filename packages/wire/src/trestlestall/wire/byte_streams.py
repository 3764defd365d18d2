"""The bytes of a connection, whose first error is remembered.

The kernel reports an error once, to whichever call comes first: a read, a write, or a
look at what is pending. Later reads return what has arrived and then an orderly end, so
that a truncated message without a length would look complete. A ``ByteStream`` raises
the first error again wherever such an end would follow.
"""

import contextlib
import errno
import os
import socket
from collections import abc

from trestlestall.wire import sockets


class ByteStream:
    """A connected socket, read and written by any number of greenlets."""

    def __init__(self, opened: socket.socket) -> None:
        self.socket = opened
        self._first_errno: int | None = None

    def receive(self, size: int, seconds: float | None) -> bytes:
        """Return the next bytes, at most ``size``, or none at an orderly end of file.

        Raises ``OSError``: that of ``sockets.receive``, or the connection's first error
        once all that arrived before it has been returned.
        """
        with self.watch():
            data = sockets.receive(self.socket, size, seconds)
        if not data:
            self._check_end()
        return data

    def send(self, data: bytes | memoryview) -> int:
        """Send some of the bytes and return how many; raises ``OSError``."""
        with self.watch():
            return self.socket.send(data)

    def send_all(self, data: bytes | memoryview) -> None:
        """Send all bytes, each part within the socket's timeout; raises ``OSError``."""
        with self.watch():
            self.socket.sendall(data)

    def is_readable(self) -> bool:
        """Return whether data, an end of file or an error is pending."""
        try:
            with self.watch():
                sockets.peek(self.socket)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    @contextlib.contextmanager
    def watch(self) -> abc.Iterator[None]:
        """Remember the first error of the connection that the block raises.

        Time that runs out here says nothing about the connection.
        """
        try:
            yield
        except OSError as error:
            is_reported = error.errno not in (None, errno.EAGAIN)
            if is_reported and self._first_errno is None:
                self._first_errno = error.errno
            raise

    def _check_end(self) -> None:
        """Raise the first error again, unless the other side's end came before it.

        A reset behind the end of the other side's data is reported as ``EPIPE``.
        """
        if self._first_errno not in (None, errno.EPIPE):
            raise OSError(self._first_errno, os.strerror(self._first_errno))
