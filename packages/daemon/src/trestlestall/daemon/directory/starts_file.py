"""A file in which a directory stores the counts of starts that it received.

The gateways that sent them and this process may lose power at the same time; requests
that started before that must be reported all the same. Rows are appended a few times a
second, with one sync each time, and the file is rewritten once reporting windows are
dropped from it. A row torn by a power failure is dropped together with all that follow.
"""

import io
import os
import pathlib
from collections import abc

import cbor2

from trestlestall.daemon import events, logs
from trestlestall.daemon.directory import atomic_files
from trestlestall.duties import starts

NAME = "starts"


class StartsFile:
    """The file of one data folder."""

    def __init__(self, folder: str, log: logs.Log) -> None:
        self._folder = pathlib.Path(folder)
        self._log = log

    def load(self) -> list[starts.Row]:
        """Return the rows in the file; none if there is no file or it can't be read."""
        try:
            stream = io.BytesIO((self._folder / NAME).read_bytes())
        except FileNotFoundError:
            return []
        except OSError as error:
            self._refuse(str(error))
            return []
        return list(read_rows(stream))

    def add(self, rows: abc.Iterable[starts.Row]) -> None:
        """Append rows; returns once they are durable. An error is logged."""
        data = b"".join(cbor2.dumps(row) for row in rows)
        try:
            with (self._folder / NAME).open("ab") as stream:
                stream.write(data)
                stream.flush()
                os.fsync(stream.fileno())
        except OSError as error:
            self._refuse(str(error))

    def replace(self, rows: abc.Iterable[starts.Row]) -> None:
        """Rewrite the file with these rows. An error is logged."""
        data = b"".join(cbor2.dumps(row) for row in rows)
        try:
            atomic_files.replace(self._folder, NAME, data)
        except OSError as error:
            self._refuse(str(error))

    def _refuse(self, reason: str) -> None:
        path = str(self._folder / NAME)
        self._log.write(events.duties.STARTS_FILE_REFUSED, folder=path, reason=reason)


def read_rows(stream: io.BytesIO) -> abc.Iterator[starts.Row]:
    """Yield the rows up to the end, or up to the first incomplete one."""
    while True:
        try:
            yield starts.decode_row(cbor2.load(stream))
        except (cbor2.CBORDecodeError, ValueError, EOFError):
            return
