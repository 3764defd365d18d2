"""An event loop for which a stall of the process is not its peers' silence.

A process that had no processor time finds its timers overdue, although what its peers
sent meanwhile waits in its sockets. eventlet runs overdue timers first, so that a peer
that answered in time would be recorded as unresponsive. After a stall, this loop first
runs what the arrived data wakes, and then the timers that became due meanwhile.

The loop reports stalls to ``clocks``, for timeouts of answers that a peer could not
send yet, because this process had not sent the request.
"""

import contextlib
import heapq
from collections import abc

import eventlet
from eventlet.hubs import epolls

from trestlestall.wire import clocks

#: Delay of the earliest timer that counts as a stall: several times the longest turn of
#: a loaded process, and far below the shortest timeout of a peer.
STALL_SECONDS = 0.05
#: Turns of the loop for arrived data before the overdue timers run in any case.
MAX_CATCH_UP_TURNS = 50


class Hub(epolls.Hub):
    """The event loop of the product's processes."""

    def __init__(self, clock: abc.Callable[[], float] = clocks.read) -> None:
        super().__init__(clock)
        self._has_ready = False

    @staticmethod
    def is_available() -> bool:
        """Return whether this system has the loop's system calls; for eventlet."""
        return epolls.is_available()

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Return the ready file descriptors and their events."""
        ready = super().do_poll(seconds)
        self._has_ready = bool(ready)
        return ready

    def fire_timers(self, when: float) -> None:
        """Run the due timers; after a stall, run what arrived data wakes before."""
        late = when - self.timers[0][0] if self.timers else 0.0
        if late > STALL_SECONDS:
            clocks.record_stall(late)
            with self._hold_overdue(when):
                self._handle_arrived_data()
        super().fire_timers(self.clock())

    @contextlib.contextmanager
    def _hold_overdue(self, when: float) -> abc.Iterator[None]:
        """Remove the delays that have passed, and restore them after the block."""
        overdue = [item for item in self.timers if is_overdue(item, when)]
        self.timers = [item for item in self.timers if not is_overdue(item, when)]
        heapq.heapify(self.timers)
        try:
            yield
        finally:
            for item in overdue:
                heapq.heappush(self.timers, item)

    def _handle_arrived_data(self) -> None:
        """Run greenlets until none is ready and no data waits in a socket."""
        for _ in range(MAX_CATCH_UP_TURNS):
            self._has_ready = False
            self.wait(0)
            self.prepare_timers()
            is_idle = not self.timers or self.timers[0][0] > self.clock()
            if is_idle and not self._has_ready:
                return
            # Timers without a delay are greenlets that are ready to run.
            super().fire_timers(self.clock())


def read_sockets() -> None:
    """Let other greenlets read what has arrived, before the calling one goes on.

    One turn of the loop runs the greenlets that are ready, and reads the sockets after
    that; so it takes two.
    """
    eventlet.sleep(0)
    eventlet.sleep(0)


def is_overdue(item: tuple, when: float) -> bool:
    """Return whether the scheduled timer is a delay that has passed."""
    due_at, timer = item
    return timer.seconds > 0 and due_at <= when
