"""After a stall, what arrived meanwhile is handled before timers that are overdue."""

import os
import signal
import socket
import subprocess
import sys
import textwrap
import time
import unittest
from unittest import mock

from trestlestall.daemon import patching  # isort: skip

import eventlet
import eventlet.event
from eventlet import patcher

from trestlestall.daemon import event_loop
from trestlestall.wire import clocks

__all__ = ["patching"]

block = patcher.original("time").sleep
TIMEOUT_SECONDS = 0.2
STALL_SECONDS = 0.6

#: Waits for a byte that is sent while this process is stopped, like a peer's answer.
WAITER = textwrap.dedent(
    f"""
    from trestlestall.daemon import patching
    import sys, socket, eventlet, eventlet.event
    near, received = socket.socket(fileno=int(sys.argv[1])), eventlet.event.Event()
    eventlet.spawn(lambda: received.send(near.recv(1)))
    with eventlet.Timeout({TIMEOUT_SECONDS}, False):
        print("waiting", flush=True)
        print(received.wait(), flush=True)
        raise SystemExit(0)
    print("timed out", flush=True)
    """
)


class StallTest(unittest.TestCase):
    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.readers = []
        self.addCleanup(lambda: [each.kill() for each in self.readers])

    def read_in_turns(self) -> eventlet.event.Event:
        """Read in one greenlet and pass the data on to another, as links do."""
        received = eventlet.event.Event()
        reader = eventlet.spawn(lambda: received.send(self.near.recv(1)))
        self.readers.append(reader)
        return received

    def test_data_that_arrived_during_a_stall_goes_before_its_timeout(self):
        received = self.read_in_turns()
        eventlet.sleep(0)

        def stall():
            self.far.send(b"x")
            block(STALL_SECONDS)

        eventlet.spawn(stall)
        with eventlet.Timeout(TIMEOUT_SECONDS):
            self.assertEqual(received.wait(), b"x")

    def test_a_timeout_without_data_fires_after_the_stall(self):
        received = self.read_in_turns()
        eventlet.spawn(block, STALL_SECONDS)
        with self.assertRaises(eventlet.Timeout), eventlet.Timeout(TIMEOUT_SECONDS):
            received.wait()

    def test_overdue_timers_keep_their_order(self):
        fired = []
        for delay in (0.2, 0.1, 0.3):
            eventlet.spawn_after(delay, fired.append, delay)
        eventlet.spawn(block, STALL_SECONDS)
        eventlet.sleep(0.4)
        self.assertEqual(fired, [0.1, 0.2, 0.3])

    def test_a_stall_is_not_counted_as_running_time(self):
        started, running = clocks.read(), clocks.read_running()
        eventlet.spawn(block, STALL_SECONDS)
        eventlet.sleep(0.01)
        eventlet.sleep(0.01)
        elapsed = clocks.read() - started
        self.assertGreaterEqual(elapsed, STALL_SECONDS)
        self.assertLess(clocks.read_running() - running, elapsed - 0.9 * STALL_SECONDS)

    def test_turns_in_time_are_no_stall(self):
        now = 0.0
        loop = event_loop.Hub(lambda: now)
        fired = []
        for late in (event_loop.STALL_SECONDS / 2, 2 * event_loop.STALL_SECONDS):
            now = 0.0
            loop.schedule_call_global(1.0, fired.append, late)
            loop.prepare_timers()
            now = 1.0 + late
            with mock.patch.object(clocks, "record_stall") as recorded:
                loop.fire_timers(now)
            self.assertEqual(fired[-1], late)
            self.assertEqual(recorded.called, late > event_loop.STALL_SECONDS)


class StoppedProcessTest(unittest.TestCase):
    def test_a_stopped_process_reads_before_it_times_out(self):
        # Regression: a router that was stopped refused requests that were granted.
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        with near:
            waiter = subprocess.Popen(
                [sys.executable, "-c", WAITER, str(near.fileno())],
                pass_fds=[near.fileno()],
                stdout=subprocess.PIPE,
                text=True,
            )
        with waiter:
            self.assertEqual(waiter.stdout.readline(), "waiting\n")
            os.kill(waiter.pid, signal.SIGSTOP)
            far.send(b"x")
            time.sleep(STALL_SECONDS)
            os.kill(waiter.pid, signal.SIGCONT)
            self.assertEqual(waiter.stdout.readline(), "b'x'\n")


if __name__ == "__main__":
    unittest.main()
