"""Process signals for a planned stop or a reload, delivered to a waiting greenlet."""

import contextlib
import os
import signal
from collections import abc

from eventlet import hubs

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalWaiter:
    """Waits for the next stop signal.

    ``on_reload`` is called, in the waiting greenlet, for each reload signal; a process
    that sets none ignores them.
    """

    def __init__(self, pipe: int):
        self._pipe = pipe
        self.on_reload: abc.Callable[[], object] = ignore_reload

    def wait(self) -> signal.Signals:
        """Return the next stop signal.

        The pipe delivers other signals too: a reload signal calls ``on_reload``, the
        rest are ignored.
        """
        while True:
            hubs.trampoline(self._pipe, read=True)
            number = os.read(self._pipe, 1)[0]
            if number in STOP_SIGNALS:
                return signal.Signals(number)
            if number == RELOAD_SIGNAL:
                self.on_reload()


@contextlib.contextmanager
def catch_stop() -> abc.Iterator[SignalWaiter]:
    """Yield a waiter for stop and reload signals; restore the handlers at the end.

    Signal numbers are passed through a pipe that the hub polls, since a signal handler
    may run at any point of the program.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    former_pipe = signal.set_wakeup_fd(writing, warn_on_full_buffer=False)
    caught = (*STOP_SIGNALS, RELOAD_SIGNAL)
    former = {each: signal.signal(each, ignore) for each in caught}
    try:
        yield SignalWaiter(reading)
    finally:
        for each, handler in former.items():
            signal.signal(each, handler)
        signal.set_wakeup_fd(former_pipe)
        os.close(reading)
        os.close(writing)


def ignore(number: int, frame: object) -> None:
    """Do nothing: the wake-up pipe has received the signal's number already."""


def ignore_reload() -> None:
    """Do nothing: the process has no settings that can be reloaded."""
