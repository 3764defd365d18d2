"""Reloading of the settings while the process runs.

The file is reloaded at the reload signal, and when its modification time changes.
A file that can't be read or is invalid changes nothing; the reason is logged.
"""

import contextlib
import dataclasses
import os
import typing
from collections import abc

import eventlet

from trestlestall.daemon import events, logs, signals

#: Interval between two checks of the file's modification time.
POLL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """The reason why the settings can't be loaded."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Source:
    """A settings file; ``read`` returns the settings in it or ``Unreadable``."""

    path: str
    read: abc.Callable[[], typing.Any]


#: The source of settings that can't be reloaded.
FIXED = Source("", lambda: Unreadable("the settings are fixed"))


@contextlib.contextmanager
def watch(
    source: Source,
    waiter: signals.SignalWaiter,
    log: logs.Log,
    apply: abc.Callable[[typing.Any], object],
) -> abc.Iterator[None]:
    """Call ``apply`` with reloaded settings while the block runs."""
    if source is FIXED:
        yield
        return

    def reload() -> None:
        found = source.read()
        unreadable = isinstance(found, Unreadable)
        if not unreadable:
            apply(found)
        reason = found.reason if unreadable else ""
        log.write(events.process.RELOADED, settings=source.path, refused=reason)

    waiter.on_reload = reload
    poller = eventlet.spawn(poll_changes, source.path, reload)
    try:
        yield
    finally:
        poller.kill()


def poll_changes(path: str, reload: abc.Callable[[], object]) -> None:
    """Reload whenever the file's modification time changes."""
    last_loaded = read_modification_time(path)
    while True:
        eventlet.sleep(POLL_SECONDS)
        changed = read_modification_time(path)
        if changed not in (last_loaded, None):
            last_loaded = changed
            reload()


def read_modification_time(path: str) -> int | None:
    """Return the file's modification time in nanoseconds, or None without a file."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None
