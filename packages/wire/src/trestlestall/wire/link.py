"""One open, authenticated link: sending, receiving, keepalive and the end of it."""

import contextlib
import socket
import time
import typing
from collections import abc

import eventlet
from websockets import exceptions as websocket_exceptions

from trestlestall.wire import codec, messages, outbox

KEEPALIVE = 0.7
SILENCE = 2.0
STUCK = 5.0
HEARTBEAT = b""
FRAME_OVERHEAD = 2
MASK_BYTES = 4
SHORT_FRAME = 125
MEDIUM_FRAME = 65535

ENDS = (websocket_exceptions.ConnectionClosed, OSError)


class Link:
    """A websocket connection to a peer that has proved who it is.

    Every ``KEEPALIVE`` seconds without anything else to send, an empty frame goes out.
    A peer that is silent for ``SILENCE`` seconds, or does not take in one frame in
    ``STUCK`` seconds, is cut off by shutting down the socket, which wakes whoever waits
    for it. The library's own pings are off: they would cost a greenlet per link.
    """

    def __init__(
        self,
        connection: typing.Any,
        peer: messages.Challenge,
        dialled: bool,
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.dialled = dialled
        self.outbox = outbox.Outbox()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.undecodable = 0
        now = time.monotonic()
        self.reading = True
        self.heard_at = now
        self.sent_at = now
        self.sending_since: float | None = None

    @property
    def name(self) -> str:
        """Return the peer's name."""
        return self.peer.name

    def send(self, frame: bytes) -> None:
        """Queue a frame."""
        self.outbox.put(frame)

    def send_frames(self) -> None:
        """Send what is queued until the link ends."""
        with contextlib.suppress(*ENDS):
            while (frame := self.outbox.take()) is not None:
                self.sending_since = time.monotonic()
                self.connection.send(frame)
                self.bytes_sent += self.connection.flush()
                self.sending_since = None
                self.sent_at = time.monotonic()

    def receive(self) -> abc.Iterator[typing.Any]:
        """Yield the messages of the peer until the link ends."""
        with contextlib.suppress(*ENDS):
            while True:
                frame = self.receive_frame()
                self.bytes_received += find_size(len(frame), masked=not self.dialled)
                if frame != HEARTBEAT:
                    yield from self.read(frame)

    def receive_frame(self) -> bytes:
        """Wait for the next frame; only this wait counts as the peer's silence."""
        self.heard_at = time.monotonic()
        self.reading = True
        frame = self.connection.recv(decode=False)
        self.reading = False
        return frame

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
        silent = self.reading and now - self.heard_at > SILENCE
        stuck = self.sending_since is not None and now - self.sending_since > STUCK
        if silent or stuck:
            self.cut()
        elif now - self.sent_at >= KEEPALIVE and not self.outbox.frames:
            self.send(HEARTBEAT)

    def excuse(self, seconds: float) -> None:
        """Leave out of account a time in which this process itself stood still."""
        self.heard_at += seconds
        if self.sending_since is not None:
            self.sending_since += seconds

    def is_sending(self) -> bool:
        """Return whether frames wait or are on their way to the kernel."""
        return bool(self.outbox.frames) or self.sending_since is not None

    def cut(self) -> None:
        """End the link at once, without asking the peer."""
        self.outbox.close()
        with contextlib.suppress(OSError):
            self.connection.socket.shutdown(socket.SHUT_RDWR)


@contextlib.contextmanager
def run_sender(link: Link) -> abc.Iterator[None]:
    """Send the link's queued frames while the block runs; end the link after it."""
    sender = eventlet.spawn(link.send_frames)
    try:
        yield
    finally:
        link.cut()
        sender.wait()


def find_size(length: int, masked: bool) -> int:
    """Return the bytes of a websocket frame with a payload of this length."""
    size = length + FRAME_OVERHEAD + (MASK_BYTES if masked else 0)
    if length > MEDIUM_FRAME:
        return size + 8
    return size + 2 if length > SHORT_FRAME else size
