"""Counts, at a gateway, the requests that started to run; directories report them."""

import typing
from collections import abc

import eventlet

from trestlestall.daemon import settings as process_settings
from trestlestall.duties import spans, starts
from trestlestall.wire import directory_messages

#: Seconds after the end of a reporting window at which the gateway declares its counts
#: complete: events from before the end have been handled by then.
CLOSING_DELAY_SECONDS = 0.2
#: Reporting windows that are retained: a report is due two windows later, and a newly
#: linked directory is sent all of them.
KEPT_WINDOWS = 6
#: Interval at which new counts are copied to directories besides the scheduler: what is
#: lost if all processes fail together with the scheduler's disk.
COPY_INTERVAL_SECONDS = 0.5

Send = abc.Callable[[typing.Any], object]


class Usage:
    """The counts of one run of a gateway, ``source``; ``wall`` returns the Unix time.

    ``send`` sends a message to the scheduler, ``copy`` to other directories that store
    the counts as well; both are set once the gateway has links.
    """

    def __init__(
        self,
        settings: process_settings.Duties,
        source: str,
        wall: abc.Callable[[], float],
    ) -> None:
        self.send: Send = drop_message
        self.copy: Send = drop_message
        self._settings = settings
        self._source = source
        self._wall = wall
        self._starts = starts.Starts()
        #: The newest rows that were not copied yet, by window and workspace.
        self._uncopied: dict[tuple[int, str], starts.Row] = {}

    def record_start(self, workspace: str) -> tuple[typing.Any, ...]:
        """Count a request that started to run; return the row of its new count."""
        if not self._settings.counts_usage:
            return ()
        window = self._find_window()
        row = self._starts.add(self._source, window, workspace)
        self._uncopied[window, workspace] = row
        return row

    def send_all(self) -> None:
        """Send all retained counts, as the scheduler may not have them."""
        rows = tuple(self._starts.list_rows())
        if rows:
            self.send(directory_messages.Starts(rows, tuple(self._starts.done.items())))

    def run(self) -> None:
        """Declare the counts of each window complete shortly after its end."""
        length = self._settings.window_seconds
        while self._settings.counts_usage:
            window = self._find_window()
            end = spans.find_end(window, length)
            eventlet.sleep(max(0.0, end - self._wall()) + CLOSING_DELAY_SECONDS)
            self._close_window(window)

    def run_copying(self) -> None:
        """Copy new counts periodically, as the scheduler's disk may be lost."""
        while self._settings.counts_usage:
            eventlet.sleep(COPY_INTERVAL_SECONDS)
            if self._uncopied:
                rows, self._uncopied = tuple(self._uncopied.values()), {}
                self.copy(directory_messages.Starts(rows))

    def _close_window(self, window: int) -> None:
        self._starts.record_done(self._source, window)
        self._starts.forget(window - KEPT_WINDOWS)
        rows = tuple(self._starts.list_rows(window))
        message = directory_messages.Starts(rows, ((self._source, window),))
        self.send(message)
        self.copy(message)

    def _find_window(self) -> int:
        return spans.find_window(self._wall(), self._settings.window_seconds)


def drop_message(message: typing.Any) -> None:
    """Drop a message because there are no links yet."""
