"""The clock of every decision: seconds that also pass while the host is suspended.

The steady clock of the standard library stands still while a host is suspended. A
lease, a deadline or the silence of a peer measured by it would last longer than others
believe. No other module of the product reads a clock for a decision;
``tools/check_clocks.py`` holds that. A reading takes 0.25 us, one of the steady clock
0.12 us (means of a million of each).
"""

import time

#: Whether this system has a clock that counts a suspension. Without one the steady
#: clock is read, and a suspension goes unnoticed.
COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
_SOURCE = time.CLOCK_BOOTTIME if COUNTS_SUSPENSION else time.CLOCK_MONOTONIC


def read() -> float:
    """Return seconds since some moment; they never go back, whatever is set."""
    return time.clock_gettime(_SOURCE)


class Suspensions:
    """Notices that the host was suspended, by a clock that stands still then."""

    def __init__(self) -> None:
        self._behind = self._read_behind()

    def take_new(self) -> float:
        """Return for how many seconds the host was suspended since the last call."""
        behind = self._read_behind()
        seconds, self._behind = behind - self._behind, behind
        return max(0.0, seconds)

    def _read_behind(self) -> float:
        return read() - time.monotonic()
