"""One authenticated link: its queue, its keepalive, and the end of it."""

import contextlib
import typing
from collections import abc

import eventlet

from trestlestall.wire import codec, connections, messages, outbox

KEEPALIVE = 0.95
SILENCE = 2.0
HEARTBEAT = b""

# Reading from a ready socket does not make eventlet switch to another greenlet: after
# so many frames a link lets the others run.
TURN = 32


class Link:
    """A connection to a peer that has proved who it is.

    After ``KEEPALIVE`` seconds without anything else to send, an empty frame goes out.
    A peer from which nothing comes for ``SILENCE`` seconds, or which takes nothing in
    for as long, is cut off.
    """

    def __init__(
        self, connection: connections.Connection, peer: messages.Challenge
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.outbox = outbox.Outbox()
        self.undecodable = 0

    @property
    def name(self) -> str:
        """Return the peer's name."""
        return self.peer.name

    def send(self, frame: bytes) -> None:
        """Queue a frame."""
        self.outbox.put(frame)

    def send_frames(self) -> None:
        """Send what is queued until the link ends."""
        while (frame := self.outbox.take()) is not None:
            if not self.connection.send(frame):
                self.cut()

    def receive(self) -> abc.Iterator[typing.Any]:
        """Yield the messages of the peer until the link ends."""
        count = 0
        while (frame := self.connection.receive()) is not None:
            if frame != HEARTBEAT:
                yield from self.read(frame)
            count += 1
            if count % TURN == 0:
                eventlet.sleep(0)

    def read(self, frame: bytes) -> abc.Iterator[typing.Any]:
        """Yield the frame's message, or answer what isn't understood."""
        message = codec.decode(frame)
        if not isinstance(message, codec.Undecodable):
            yield message
            return
        self.undecodable += 1
        refusal = codec.answer(message)
        if refusal is not None:
            self.send(codec.encode(refusal))

    def check(self, now: float) -> None:
        """Send a heartbeat if it is due; cut the link if the peer is gone."""
        connection = self.connection
        waits = (connection.reading_since, connection.sending_since)
        if any(since is not None and now - since > SILENCE for since in waits):
            self.cut()
        elif now - connection.sent_at >= KEEPALIVE and not self.is_sending():
            self.send(HEARTBEAT)

    def excuse(self, seconds: float) -> None:
        """Leave out of account a time in which this process itself stood still."""
        connection = self.connection
        if connection.reading_since is not None:
            connection.reading_since += seconds
        if connection.sending_since is not None:
            connection.sending_since += seconds

    def is_sending(self) -> bool:
        """Return whether frames wait or are on their way to the kernel."""
        return bool(self.outbox.frames) or self.connection.sending_since is not None

    def cut(self) -> None:
        """End the link at once, without asking the peer."""
        self.outbox.close()
        self.connection.cut()


@contextlib.contextmanager
def run_sender(link: Link) -> abc.Iterator[None]:
    """Send the link's queued frames while the block runs; end the link after it."""
    sender = eventlet.spawn(link.send_frames)
    try:
        yield
    finally:
        link.cut()
        sender.wait()
