"""The monotonic clock of all decisions, which also advances while a host is suspended.

``time.monotonic`` stops while a host is suspended. A lease, a deadline or a silence
timeout measured by it would last longer here than on other hosts. No other module of
the product reads a clock for a decision; ``tools/check_clocks.py`` enforces this. A
reading takes 0.25 us, one of ``time.monotonic`` 0.12 us (means of a million of each).
"""

import time

#: Whether this system has a clock that advances during a suspension. Without one the
#: monotonic clock is read, and suspensions are not detected.
COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
_SOURCE = time.CLOCK_BOOTTIME if COUNTS_SUSPENSION else time.CLOCK_MONOTONIC


def read() -> float:
    """Return seconds since an arbitrary moment, unaffected by setting the time."""
    return time.clock_gettime(_SOURCE)


class StallCount:
    """The total time for which this process was held up, as its event loop measures."""

    def __init__(self) -> None:
        self.seconds = 0.0


_STALLS = StallCount()


def record_stall(seconds: float) -> None:
    """Count a time for which this process did not run, in seconds."""
    _STALLS.seconds += seconds


def read_stalled() -> float:
    """Return the seconds for which this process was held up since its start."""
    return _STALLS.seconds


def read_running() -> float:
    """Return the seconds of ``read`` without those for which this process was held up.

    For the timeout of a peer's answer: a peer is not late for as long as this process
    could not send its request. Leases and deadlines of callers go by ``read``.
    """
    return read() - read_stalled()


class Suspensions:
    """Detects suspensions of the host, by comparison with a clock that stops then."""

    def __init__(self) -> None:
        self._behind = self._read_behind()

    def take_new(self) -> float:
        """Return the seconds for which the host was suspended since the last call."""
        behind = self._read_behind()
        seconds, self._behind = behind - self._behind, behind
        return max(0.0, seconds)

    def _read_behind(self) -> float:
        return read() - time.monotonic()
