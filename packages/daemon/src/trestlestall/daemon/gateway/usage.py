"""Counting, at a gateway, the requests that began to run; directories report them."""

import typing
from collections import abc

import eventlet

from trestlestall.daemon import settings as process_settings
from trestlestall.duties import spans, starts
from trestlestall.wire import directory_messages

#: Seconds after a window's end at which the gateway says that it has told all of it:
#: events that came before the end have been handled by then.
DONE_SECONDS = 0.2
#: Windows that are kept: a report is due after two more, and a directory that has just
#: been linked is told all of them.
KEPT = 6
#: Seconds between two copies of new counts to directories besides the one that places:
#: what is forgotten if all processes are lost together with that one's disk.
COPY_SECONDS = 0.5

Tell = abc.Callable[[typing.Any], object]


class Usage:
    """The counts of one run of a gateway, ``source``; ``wall`` returns the Unix time.

    ``tell`` sends to the directory that places requests, ``copy`` to others that keep
    the counts as well; both are set with the links.
    """

    def __init__(
        self,
        settings: process_settings.Duties,
        source: str,
        wall: abc.Callable[[], float],
    ) -> None:
        self.tell: Tell = tell_nobody
        self.copy: Tell = tell_nobody
        self._settings = settings
        self._source = source
        self._wall = wall
        self._starts = starts.Starts()
        #: The newest rows that were not copied yet, by window and workspace.
        self._news: dict[tuple[int, str], starts.Row] = {}

    def note_start(self, workspace: str) -> tuple[typing.Any, ...]:
        """Count a request that began to run; return its row for the directory."""
        if not self._settings.counts_usage:
            return ()
        window = self._find_window()
        row = self._starts.add(self._source, window, workspace)
        self._news[window, workspace] = row
        return row

    def tell_all(self) -> None:
        """Tell everything that is kept, to a directory that may not know it."""
        rows = tuple(self._starts.list_rows())
        if rows:
            self.tell(directory_messages.Starts(rows, tuple(self._starts.done.items())))

    def run(self) -> None:
        """Say of each window, shortly after its end, that all of it is told."""
        length = self._settings.window_seconds
        while self._settings.counts_usage:
            window = self._find_window()
            end = spans.find_end(window, length)
            eventlet.sleep(max(0.0, end - self._wall()) + DONE_SECONDS)
            self._finish(window)

    def keep_copying(self) -> None:
        """Copy what is new, as the disk that holds the counts may be lost."""
        while self._settings.counts_usage:
            eventlet.sleep(COPY_SECONDS)
            if self._news:
                rows, self._news = tuple(self._news.values()), {}
                self.copy(directory_messages.Starts(rows))

    def _finish(self, window: int) -> None:
        self._starts.note_done(self._source, window)
        self._starts.forget(window - KEPT)
        rows = tuple(self._starts.list_rows(window))
        message = directory_messages.Starts(rows, ((self._source, window),))
        self.tell(message)
        self.copy(message)

    def _find_window(self) -> int:
        return spans.find_window(self._wall(), self._settings.window_seconds)


def tell_nobody(message: typing.Any) -> None:
    """Tell nobody: there are no links yet."""
