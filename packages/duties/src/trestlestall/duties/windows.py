"""Usage by reporting window, which is fixed in the agreed log before it is reported.

A window is a span of the Unix time, numbered from the epoch: window k of length s
begins at k times s. The lease holder enters its counts in the log once; so all reports
of it are equal, whichever process sends them. A reported window is dropped.
"""

import dataclasses
from collections import abc

#: The most windows that may wait for their report; older ones are dropped. This is a
#: quarter of an hour with windows of five seconds, longer than any platform was seen
#: to be unavailable.
WAITING_LIMIT = 180

Counts = dict[str, int]


@dataclasses.dataclass(frozen=True)
class Windows:
    """The windows that are fixed and not yet reported, by number.

    ``newest`` is the highest number that was ever fixed; no window up to it is fixed
    again.
    """

    newest: int = 0
    waiting: abc.Mapping[int, abc.Mapping[str, int]] = dataclasses.field(
        default_factory=dict
    )


NONE = Windows()


@dataclasses.dataclass(frozen=True)
class Fix:
    """The lease holder under ``token`` fixes the counts of a window."""

    token: int
    window: int
    counts: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Reported:
    """The platform has accepted the report of a window."""

    token: int
    window: int


def fix(windows: Windows, wanted: Fix) -> Windows:
    """Return the windows with one more, unless a later or equal one was fixed."""
    if wanted.window <= windows.newest:
        return windows
    waiting = {**windows.waiting, wanted.window: dict(wanted.counts)}
    kept = sorted(waiting)[-WAITING_LIMIT:]
    return Windows(wanted.window, {number: waiting[number] for number in kept})


def drop(windows: Windows, reported: Reported) -> Windows:
    """Return the windows without a reported one."""
    if reported.window not in windows.waiting:
        return windows
    waiting = dict(windows.waiting)
    del waiting[reported.window]
    return dataclasses.replace(windows, waiting=waiting)
