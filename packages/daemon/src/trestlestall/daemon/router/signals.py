"""Signals that ask for a planned stop, as something a greenlet can wait for."""

import contextlib
import os
import signal
from collections import abc

from eventlet import hubs

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Stop:
    """Waits for the next of the stop signals."""

    def __init__(self, pipe: int):
        self._pipe = pipe

    def wait(self) -> signal.Signals:
        """Return the next stop signal; other signals go through the pipe as well."""
        while True:
            hubs.trampoline(self._pipe, read=True)
            number = os.read(self._pipe, 1)[0]
            if number in STOP_SIGNALS:
                return signal.Signals(number)


@contextlib.contextmanager
def catch_stop() -> abc.Iterator[Stop]:
    """Yield what waits for a stop signal.

    The signal's number goes through a pipe that the hub polls, since a handler may run
    at any point of the program.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    former_pipe = signal.set_wakeup_fd(writing, warn_on_full_buffer=False)
    former = {each: signal.signal(each, ignore) for each in STOP_SIGNALS}
    try:
        yield Stop(reading)
    finally:
        for each, handler in former.items():
            signal.signal(each, handler)
        signal.set_wakeup_fd(former_pipe)
        os.close(reading)
        os.close(writing)


def ignore(number: int, frame: object) -> None:
    """Do nothing: the pipe has the signal's number already."""
