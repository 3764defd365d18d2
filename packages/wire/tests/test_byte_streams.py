"""The first error of a connection, whichever call meets it."""

import contextlib
import unittest

import eventlet
from eventlet.green import socket

from trestlestall.wire import byte_streams, sockets

#: More than the kernel buffers for a connection whose peer does not read.
LONG = b"z" * 8_000_000
SECONDS = 2.0


class FirstErrorTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def open(self):
        """Return a stream, and the socket at its other end."""
        with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listening:
            opened = socket.create_connection(listening.getsockname())
            accepted, _ = listening.accept()
        for one in (opened, accepted):
            self.stack.enter_context(contextlib.closing(one))
        opened.settimeout(SECONDS)
        return byte_streams.ByteStream(opened), accepted

    def read_to_end(self, stream):
        """Return all bytes up to an orderly end; raises ``OSError`` at another one."""
        parts = []
        while data := stream.receive(100, SECONDS):
            parts.append(data)
        return b"".join(parts)

    def write(self, stream):
        """Write until the connection fails."""
        with contextlib.suppress(ConnectionError):
            stream.send_all(LONG)

    def send(self, stream):
        """Write once, and fail."""
        with contextlib.suppress(ConnectionError):
            stream.send(b"more")

    def check(self, stream):
        """Look at what is pending."""
        self.assertTrue(stream.is_readable())

    def read(self, stream):
        """Read as far as a failure."""
        with contextlib.suppress(ConnectionError):
            self.read_to_end(stream)

    def test_a_reset_is_no_end_whoever_meets_it_first(self):
        """Guards against an error that a writer or a check takes from the reader."""
        for meet in (self.write, self.send, self.check, self.read):
            with self.subTest(first=meet.__name__):
                stream, other = self.open()
                other.sendall(b"half")
                eventlet.sleep(0.01)
                self.assertEqual(stream.receive(100, SECONDS), b"half")
                sockets.reset(other)
                eventlet.sleep(0.01)
                meet(stream)
                for _ in range(2):
                    with self.assertRaises(ConnectionResetError):
                        stream.receive(100, SECONDS)

    def test_what_arrived_before_a_reset_is_returned_first(self):
        stream, other = self.open()
        other.sendall(b"half")
        eventlet.sleep(0.01)
        sockets.reset(other)
        eventlet.sleep(0.01)
        self.send(stream)
        self.assertEqual(stream.receive(100, SECONDS), b"half")
        self.assertRaises(ConnectionResetError, stream.receive, 100, SECONDS)

    def test_a_reset_behind_an_end_leaves_the_end_as_it_is(self):
        for meet in (self.write, self.send, self.check, self.read):
            with self.subTest(first=meet.__name__):
                stream, other = self.open()
                other.sendall(b"whole")
                other.shutdown(socket.SHUT_WR)
                eventlet.sleep(0.01)
                sockets.reset(other)
                eventlet.sleep(0.01)
                meet(stream)
                if meet != self.read:
                    self.assertEqual(self.read_to_end(stream), b"whole")
                self.assertEqual(self.read_to_end(stream), b"")

    def test_time_that_runs_out_here_is_no_error_of_the_connection(self):
        stream, other = self.open()
        self.assertFalse(stream.is_readable())
        self.assertRaises(TimeoutError, stream.receive, 100, 0.01)
        stream.socket.settimeout(0.01)
        self.assertRaises(TimeoutError, stream.send_all, LONG)
        other.sendall(b"whole")
        other.shutdown(socket.SHUT_WR)
        self.assertEqual(self.read_to_end(stream), b"whole")


if __name__ == "__main__":
    unittest.main()
