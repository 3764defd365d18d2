"""Shares the event loop between costly decoding and everything else.

A body in chunks of one byte costs a thousand times what another one does. Beyond its
first bytes such decoding is done for one connection at a time, and pauses for as long
as it took: all of them together take half of the loop's time at most, and no greenlet
waits for more than one part.
"""

import contextlib
from collections import abc

import eventlet
from eventlet import semaphore

from trestlestall.wire import clocks

#: The part of a body that is decoded at once.
PART_BYTES = 16 * 1024
#: A part that took less is followed by no pause.
CHEAP_SECONDS = 0.0005


class Pacer:
    """Lets one greenlet at a time do costly work."""

    def __init__(self) -> None:
        self._turn = semaphore.Semaphore()

    @contextlib.contextmanager
    def take_turn(self) -> abc.Iterator[None]:
        """Wait for the turn, do the work in the block, and pause if it was long."""
        with self._turn:
            started = clocks.read()
            yield
            seconds = clocks.read() - started
            if seconds > CHEAP_SECONDS:
                eventlet.sleep(seconds)
