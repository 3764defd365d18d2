"""The bounded send queue of one link."""

import collections

import eventlet.semaphore

FRAME_LIMIT = 1024
BYTE_LIMIT = 16 * 1024 * 1024


class Outbox:
    """Frames in order; when it is full, the oldest are dropped and counted."""

    def __init__(self) -> None:
        self.frames: collections.deque[bytes] = collections.deque()
        self.bytes = 0
        self.added = 0
        self.dropped = 0
        self.waiting = eventlet.semaphore.Semaphore(0)
        self.closed = False

    def put(self, frame: bytes) -> None:
        """Add a frame without waiting, dropping the oldest if the queue is full."""
        self.frames.append(frame)
        self.bytes += len(frame)
        self.added += 1
        while len(self.frames) > FRAME_LIMIT or self.bytes > BYTE_LIMIT:
            self.bytes -= len(self.frames.popleft())
            self.dropped += 1
        self.wake()

    def take(self) -> bytes | None:
        """Wait for the oldest frame and return it, or ``None`` once closed."""
        while not self.frames and not self.closed:
            self.waiting.acquire()
        if self.closed:
            return None
        frame = self.frames.popleft()
        self.bytes -= len(frame)
        return frame

    def close(self) -> None:
        """Drop all queued frames and end the consumer."""
        self.closed = True
        self.frames.clear()
        self.bytes = 0
        self.wake()

    def wake(self) -> None:
        """Wake the consumer to check the queue again."""
        if self.waiting.balance <= 0:
            self.waiting.release()
