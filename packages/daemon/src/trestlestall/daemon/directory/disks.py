"""A directory's data folder, without which the process goes on in a degraded mode.

When the disk is full or a write fails, the voter stops as if its process had been
killed: what it had not made durable was never sent. Links, announcements and the
placement of requests need no disk and go on. Opening the folder is retried until it
succeeds; the voter then restarts from what the folder holds.
"""

import contextlib
from collections import abc

from trestlestall.daemon import events, logs
from trestlestall.daemon.control import journal as journals
from trestlestall.daemon.directory import server as servers
from trestlestall.storage import exceptions, folder

#: Seconds between two attempts to open the folder.
RETRY_SECONDS = 0.5
#: Errors that may go away by themselves; any other storage error ends the process.
TRANSIENT_ERRORS = (exceptions.DiskFull, exceptions.DiskFailed, exceptions.FolderFailed)


class Disk:
    """The data folder of a server, which may become unusable and usable again."""

    def __init__(self, path: str, server: servers.Server, log: logs.Log) -> None:
        self._path = path
        self._server = server
        self._log = log
        self._stack = contextlib.ExitStack()
        self._retry_at: float | None = None

    def open(self, now: float) -> None:
        """Open the folder and start the voter; retry later if that fails."""
        try:
            data = self._stack.enter_context(
                folder.open_folder(self._path, clock=self._server.now)
            )
            self._server.start(journals.Journal(data), data.identity)
            self._retry_at = None
        except TRANSIENT_ERRORS as error:
            self._fail(error, now)

    def turn(self, now: float) -> None:
        """Run a turn of the server, after a retry of the folder if one is due."""
        if self._retry_at is not None and now >= self._retry_at:
            self.open(now)
        try:
            self._server.turn()
        except TRANSIENT_ERRORS as error:
            self._fail(error, now)

    def close(self) -> None:
        """Close the folder; an error is logged."""
        try:
            self._stack.close()
        except exceptions.StorageError as error:
            log_refusal(self._log, self._path, error)

    def _fail(self, error: exceptions.StorageError, now: float) -> None:
        self._server.suspend()
        if self._retry_at is None:
            log_refusal(self._log, self._path, error)
        self._retry_at = now + RETRY_SECONDS
        self.close()


@contextlib.contextmanager
def hold(path: str, server: servers.Server, log: logs.Log) -> abc.Iterator[Disk]:
    """Yield the server's disk, opened if that is possible; close it at the end."""
    disk = Disk(path, server, log)
    disk.open(server.now())
    try:
        yield disk
    finally:
        disk.close()


def log_refusal(log: logs.Log, path: str, error: exceptions.StorageError) -> None:
    """Log that the folder can't be used at present."""
    log.write(events.agreement.STORAGE_REFUSED, folder=path, reason=str(error))
