"""Detects suspensions of the host, logs their length and counts them.

Nothing else follows from a detection: deadlines, leases and heartbeat timeouts use a
clock that includes suspensions, so they expire in the first turn of the event loop
afterwards.
"""

import contextlib
from collections import abc

import eventlet

from trestlestall.daemon import events, logs
from trestlestall.wire import clocks

#: Interval between two checks, and the shortest suspension that is reported: the two
#: clocks are read microseconds apart, unless the process was stopped in between.
POLL_SECONDS = 0.25
SHORTEST_SECONDS = 0.05


class Monitor:
    """The number and the total length of suspensions since the start of the process."""

    def __init__(self, log: logs.Log) -> None:
        self.count = 0
        self.seconds = 0.0
        self._log = log
        self._suspensions = clocks.Suspensions()

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Check for suspensions at intervals while the block runs."""
        if not clocks.COUNTS_SUSPENSION:
            self._log.write(events.process.SUSPENSION_UNSEEN)
        poller = eventlet.spawn(self._poll)
        try:
            yield
        finally:
            poller.kill()

    def check(self) -> None:
        """Log and count a suspension since the last check."""
        seconds = self._suspensions.take_new()
        if seconds < SHORTEST_SECONDS:
            return
        self.count += 1
        self.seconds += seconds
        self._log.write(events.process.SUSPENDED, seconds=round(seconds, 3))

    def _poll(self) -> None:
        while True:
            eventlet.sleep(POLL_SECONDS)
            self.check()
