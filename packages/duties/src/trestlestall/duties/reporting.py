"""When the lease holder fixes the counts of a reporting window.

It does so once all counts are received, or at the latest possible time. A window that
is fixed before a partitioned process could send its counts is reported wrong for good;
one that is fixed too late leaves no time to retry a failed report, or for another
holder.

A holder that begins after a loss of many processes finds windows that ended long ago,
whose counts others have stored. The age of a window does not say for how long those
have been able to answer. So no window is fixed without them before they were queried
and had time to answer.
"""

import dataclasses
import math

from trestlestall.duties import spans, windows as usage_windows

#: Seconds after a window's end before which no process has sent all of its counts: two
#: rounds of messages between gateways and directories on slow links.
SETTLE_SECONDS = 0.5
#: The share of the time until a report is due that is left when the counts are fixed
#: without the missing ones: a quarter.
REPORT_SHARE = 0.25
#: Seconds that others have to answer if the report can still be in time: two rounds of
#: queries.
ANSWER_SECONDS = 1.0
#: The most windows that a holder goes back if none was fixed for long: no process
#: stores the counts of older ones.
MAX_BACKLOG_WINDOWS = 24


@dataclasses.dataclass(frozen=True)
class Rules:
    """The length of a window and the time after its end to report it, in seconds."""

    window: float
    late: float

    @property
    def wait_timeout(self) -> float:
        """How long after a window's end to wait for missing counts, in seconds."""
        return self.late * (1.0 - REPORT_SHARE)


@dataclasses.dataclass(frozen=True)
class Observation:
    """Which processes have not yet sent all of their counts of a window.

    ``asked_seconds`` is how long ago this holder first queried the window.
    """

    silent_directories: tuple[str, ...]
    silent_sources: tuple[str, ...]
    asked_seconds: float = math.inf

    @property
    def is_complete(self) -> bool:
        """Whether all counts were received."""
        return not self.silent_directories and not self.silent_sources


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """A query of one holder for the windows from ``first`` to ``last``.

    All of them had ended when it was sent under ``token``. An answer holds all counts
    that its sender knows from ``first`` on, so that one answer covers each window.
    """

    token: int
    first: int
    last: int
    asked_at: float

    def covers(self, window: int, token: int) -> bool:
        """Return whether the holder under ``token`` has queried a window."""
        return token == self.token and self.first <= window <= self.last


NOTHING_ASKED = Inquiry(0, 0, 0, -math.inf)


def make_inquiry(
    windows: usage_windows.Windows, token: int, wall: float, now: float, rules: Rules
) -> Inquiry:
    """Return an inquiry for all windows that have ended and are not fixed.

    Where none was ever fixed, other processes may know earlier windows than the holder.
    """
    last = find_last_ended(wall, rules)
    first = windows.newest + 1 if windows.newest else 1
    return Inquiry(token, max(first, last - MAX_BACKLOG_WINDOWS), last, now)


def find_last_ended(wall: float, rules: Rules) -> int:
    """Return the last window that ended long enough ago to be fixed."""
    return spans.find_window(wall - SETTLE_SECONDS, rules.window) - 1


def find_next(
    windows: usage_windows.Windows, first: int, wall: float, rules: Rules
) -> int | None:
    """Return the next window to fix, if one has ended long enough ago.

    ``first`` is the first one of all, where none was fixed yet.
    """
    number = windows.newest + 1 if windows.newest else first
    number = max(number, spans.find_window(wall, rules.window) - MAX_BACKLOG_WINDOWS)
    end = spans.find_end(number, rules.window)
    return number if wall >= end + SETTLE_SECONDS else None


def is_due(window: int, observation: Observation, wall: float, rules: Rules) -> bool:
    """Return whether the counts of a window are to be fixed as they are known.

    A window that can no longer be reported in time waits for unresponsive processes
    as long as a report may take, since they may be starting.
    """
    if observation.is_complete:
        return True
    age = wall - spans.find_end(window, rules.window)
    if age >= rules.late:
        return observation.asked_seconds >= rules.late
    return age >= rules.wait_timeout and observation.asked_seconds >= ANSWER_SECONDS
