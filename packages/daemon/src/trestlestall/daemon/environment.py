"""The environment of a process: streams, clocks and random numbers.

Programs receive one ``Environment`` instead of using ``sys`` and ``time``, so that a
test can pass its own streams, its own time and a fixed seed.
"""

import dataclasses
import random as randomness
import sys
import time
import typing
from collections import abc

from trestlestall.wire import clocks


@dataclasses.dataclass(frozen=True)
class Clock:
    """The clocks of a host, in seconds.

    ``monotonic`` is for leases, timeouts and every decision; it never goes back, and
    it includes the time for which the host was suspended. ``wall`` is the Unix time,
    for timestamps that people or other hosts read. ``running`` is ``monotonic`` without
    the time for which this process was held up, for timeouts of peers' answers;
    ``stalled`` is that time alone.
    """

    monotonic: abc.Callable[[], float] = clocks.read
    wall: abc.Callable[[], float] = time.time
    running: abc.Callable[[], float] = clocks.read_running
    stalled: abc.Callable[[], float] = clocks.read_stalled


@dataclasses.dataclass(frozen=True)
class Environment:
    """The streams, clock and random generator of one process."""

    stdin: typing.TextIO
    stdout: typing.TextIO
    stderr: typing.TextIO
    clock: Clock
    random: randomness.Random


def read_environment(stdout: typing.TextIO | None = None) -> Environment:
    """Return the environment of the running process, with a newly seeded generator.

    ``stdout`` replaces the process's own standard output.
    """
    return Environment(
        stdin=sys.stdin,
        stdout=stdout or sys.stdout,
        stderr=sys.stderr,
        clock=Clock(),
        random=randomness.Random(),
    )
