"""What a process takes from its surroundings: streams, clocks and randomness.

Programs receive one ``Environment`` instead of reaching for ``sys`` and ``time``, so a
test passes its own streams, its own time and a fixed seed.
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
    """The two clocks of a host, both in seconds.

    ``monotonic`` is for leases, timeouts and every decision; it never goes back, and
    also counts the time for which the host was suspended.
    ``wall`` is the Unix time, for time stamps that people or other hosts read.
    """

    monotonic: abc.Callable[[], float] = clocks.read
    wall: abc.Callable[[], float] = time.time


@dataclasses.dataclass(frozen=True)
class Environment:
    """The streams, clock and random generator of one process."""

    stdin: typing.TextIO
    stdout: typing.TextIO
    stderr: typing.TextIO
    clock: Clock
    random: randomness.Random


def read_environment(stdout: typing.TextIO | None = None) -> Environment:
    """Return the environment of the running process, its generator newly seeded.

    ``stdout`` is what to write to instead of the process's own stream.
    """
    return Environment(
        stdin=sys.stdin,
        stdout=stdout or sys.stdout,
        stderr=sys.stderr,
        clock=Clock(),
        random=randomness.Random(),
    )
