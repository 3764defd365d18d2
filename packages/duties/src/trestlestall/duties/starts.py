"""How many requests of each workspace started in each window; merged by maximum.

Each gateway counts its own requests under a source name that is new with each start of
its process (``name_source``), and sends its counts so far. A count never decreases, so
that messages may be lost, repeated, reordered and forwarded by others: the highest
count is valid.
"""

import typing
from collections import abc

#: A count as sent: source, window, workspace, number so far.
Row = tuple[str, int, str, int]
#: The most characters of a name from another process; our own names are shorter.
MAX_NAME_CHARACTERS = 300
SEPARATOR = "#"
#: Hexadecimal digits of a start time in milliseconds; it sorts as text until the year
#: 10,000.
TIME_DIGITS = 12


class Starts:
    """The counts of all sources that one process knows.

    ``done`` holds, by source, the last window whose counts it has sent completely.
    """

    def __init__(self) -> None:
        self.done: dict[str, int] = {}
        self._counts: dict[int, dict[str, dict[str, int]]] = {}

    def add(self, source: str, window: int, workspace: str) -> Row:
        """Count one request, and return its row."""
        counts = self._counts.setdefault(window, {}).setdefault(source, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        return source, window, workspace, counts[workspace]

    def merge(self, row: Row) -> bool:
        """Merge a row; return whether its count is higher than the known one."""
        source, window, workspace, number = row
        counts = self._counts.setdefault(window, {}).setdefault(source, {})
        if number <= counts.get(workspace, 0):
            return False
        counts[workspace] = number
        return True

    def record_done(self, source: str, window: int) -> bool:
        """Record that a source has sent all counts of windows up to this one."""
        if window <= self.done.get(source, 0):
            return False
        self.done[source] = window
        return True

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace in a window, over all sources."""
        totals: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for workspace, number in counts.items():
                totals[workspace] = totals.get(workspace, 0) + number
        return totals

    def find_first(self) -> int | None:
        """Return the first window that has counts, None if there is none."""
        return min(self._counts, default=None)

    def list_rows(self, first: int = 0) -> list[Row]:
        """Return all rows from a window on."""
        return [
            (source, window, workspace, number)
            for window, sources in self._counts.items()
            if window >= first
            for source, counts in sources.items()
            for workspace, number in counts.items()
        ]

    def list_unfinished(self, window: int) -> list[str]:
        """Return recent sources that may not have sent all counts of the window.

        A source whose process has restarted will send no more, and isn't returned.
        """
        recent = {
            source
            for each in (window - 1, window)
            for source in self._counts.get(each, {})
        }
        newest: dict[str, str] = {}
        for source in {*recent, *self.done}:
            name = find_name(source)
            newest[name] = max(newest.get(name, ""), source)
        return sorted(
            one
            for one in recent
            if self.done.get(one, 0) < window and newest[find_name(one)] == one
        )

    def forget(self, before: int) -> bool:
        """Remove the windows before this one; return whether there were any."""
        old = [window for window in self._counts if window < before]
        for window in old:
            del self._counts[window]
        for source in [name for name, last in self.done.items() if last < before - 1]:
            del self.done[source]
        return bool(old)


def name_source(name: str, started: float) -> str:
    """Return the source name of a process that started at a Unix time.

    For the same process name, a later start sorts after an earlier one.

    >>> name_source("front-1", 1767225612.5)
    'front-1#019b7667a614'
    """
    return f"{name}{SEPARATOR}{int(started * 1000):0{TIME_DIGITS}x}"


def find_name(source: str) -> str:
    """Return the process name in a source name."""
    return source.rpartition(SEPARATOR)[0]


def decode_rows(plain: abc.Iterable[typing.Any]) -> list[Row]:
    """Return the rows of a message; raises ``ValueError`` if one is malformed."""
    return [decode_row(one) for one in plain]


def decode_row(plain: typing.Any) -> Row:
    """Return a row of a message; raises ``ValueError`` if it is malformed."""
    try:
        source, window, workspace, number = plain
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed count of starts: {plain!r:.80}") from error
    if not (is_name(source) and is_name(workspace)):
        raise ValueError("malformed count of starts: a name is not text, or too long")
    if not (is_number(window) and is_number(number)):
        raise ValueError("malformed count of starts: a number is no integer above 0")
    return source, window, workspace, number


def decode_done(plain: typing.Any) -> tuple[str, int]:
    """Return source and window of a message; raises ``ValueError`` if malformed."""
    try:
        source, window = plain
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed completed window: {plain!r:.80}") from error
    if not is_name(source) or not is_number(window):
        raise ValueError("malformed completed window: invalid source or number")
    return source, window


def is_name(value: typing.Any) -> bool:
    """Return whether a value may name a source or a workspace."""
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARACTERS


def is_number(value: typing.Any) -> bool:
    """Return whether a value is a whole number from 1 on."""
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
