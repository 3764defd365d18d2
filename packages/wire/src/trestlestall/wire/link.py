"""One authenticated link: its send queue, keepalive and termination."""

import contextlib
import typing
from collections import abc

import eventlet

from trestlestall.wire import codec, connections, messages, outbox

KEEPALIVE_SECONDS = 0.95
SILENCE_TIMEOUT_SECONDS = 2.0
HEARTBEAT = b""

# Reading from a ready socket does not make eventlet switch to another greenlet, so a
# link yields to the others after this many frames.
FRAMES_PER_TURN = 32


class Link:
    """A connection to an authenticated peer.

    An empty frame is sent as a heartbeat after ``KEEPALIVE_SECONDS`` without another
    one. The link is aborted if nothing is received from the peer, or the peer reads
    nothing, for ``SILENCE_TIMEOUT_SECONDS``.
    """

    def __init__(
        self, connection: connections.Connection, peer: messages.Challenge
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.outbox = outbox.Outbox()
        self.written = 0
        self.undecodable = 0

    @property
    def name(self) -> str:
        """Return the peer's name."""
        return self.peer.name

    def send(self, frame: bytes) -> None:
        """Queue a frame without waiting."""
        self.outbox.put(frame)

    def send_frames(self) -> None:
        """Send queued frames until the link ends."""
        while (frame := self.outbox.take()) is not None:
            if not self.connection.send(frame):
                self.abort()
            self.written += 1

    def receive(self) -> abc.Iterator[typing.Any]:
        """Yield messages from the peer until the link ends."""
        count = 0
        while (frame := self.connection.receive()) is not None:
            if frame != HEARTBEAT:
                yield from self.read(frame)
            count += 1
            if count % FRAMES_PER_TURN == 0:
                eventlet.sleep(0)

    def read(self, frame: bytes) -> abc.Iterator[typing.Any]:
        """Yield the frame's message, or answer a frame that can't be decoded."""
        message = codec.decode(frame)
        if not isinstance(message, codec.Undecodable):
            yield message
            return
        self.undecodable += 1
        refusal = codec.answer(message)
        if refusal is not None:
            self.send(codec.encode(refusal))

    def check(self, now: float) -> None:
        """Send a heartbeat if due; abort the link if the peer is unresponsive."""
        connection = self.connection
        waits = (connection.reading_since, connection.sending_since)
        if any(
            since is not None and now - since > SILENCE_TIMEOUT_SECONDS
            for since in waits
        ):
            self.abort()
        elif now - connection.sent_at >= KEEPALIVE_SECONDS and not self.is_sending():
            self.send(HEARTBEAT)

    def discount_stall(self, seconds: float) -> None:
        """Exclude the seconds for which this process stalled from the timeout."""
        connection = self.connection
        if connection.reading_since is not None:
            connection.reading_since += seconds
        if connection.sending_since is not None:
            connection.sending_since += seconds

    def is_sending(self) -> bool:
        """Return whether frames are queued or being written to the socket."""
        return bool(self.outbox.frames) or self.connection.sending_since is not None

    def has_written(self, count: int) -> bool:
        """Return whether the first ``count`` frames are written, or never will be."""
        return self.outbox.closed or self.written + self.outbox.dropped >= count

    def abort(self) -> None:
        """End the link at once, without a closing handshake."""
        self.outbox.close()
        self.connection.abort()


@contextlib.contextmanager
def run_sender(link: Link) -> abc.Iterator[None]:
    """Send the link's queued frames during the block; end the link after it."""
    sender = eventlet.spawn(link.send_frames)
    try:
        yield
    finally:
        link.abort()
        sender.wait()
