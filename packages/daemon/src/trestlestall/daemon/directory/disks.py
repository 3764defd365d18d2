"""A directory's disk, without which it goes on as far as it can.

When the disk is full or refuses a write, the voter ends as if its process had been
killed: what it had not made durable was never sent. Links, announcements and placing
need no disk and go on. The folder is opened again until that succeeds; the voter then
starts from what the folder holds.
"""

import contextlib
from collections import abc

from trestlestall.daemon import events, logs
from trestlestall.daemon.control import journal as journals
from trestlestall.daemon.directory import server as servers
from trestlestall.storage import exceptions, folder

#: Seconds between two tries to open the folder.
RETRY_SECONDS = 0.5
#: What may pass by itself; any other error of the storage ends the process.
PASSING = (exceptions.DiskFull, exceptions.DiskFailed, exceptions.FolderFailed)


class Disk:
    """The folder of a server that may come and go."""

    def __init__(self, path: str, server: servers.Server, log: logs.Log) -> None:
        self._path = path
        self._server = server
        self._log = log
        self._stack = contextlib.ExitStack()
        self._retry_at: float | None = None

    def open(self, now: float) -> None:
        """Open the folder and start the voter, or try again later."""
        try:
            data = self._stack.enter_context(folder.open_folder(self._path))
            self._server.start(journals.Journal(data), data.identity)
            self._retry_at = None
        except PASSING as error:
            self._fail(error, now)

    def turn(self, now: float) -> None:
        """Let the server do what is due."""
        if self._retry_at is not None and now >= self._retry_at:
            self.open(now)
        try:
            self._server.turn()
        except PASSING as error:
            self._fail(error, now)

    def close(self) -> None:
        """Let the folder go."""
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
    """Yield the server's disk, opened if that is possible; let it go at the end."""
    disk = Disk(path, server, log)
    disk.open(server.now())
    try:
        yield disk
    finally:
        disk.close()


def log_refusal(log: logs.Log, path: str, error: exceptions.StorageError) -> None:
    """Log that the folder can't be used now."""
    log.write(events.agreement.STORAGE_REFUSED, folder=path, reason=str(error))
