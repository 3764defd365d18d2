"""The data folder: the state of a voter that must survive any crash.

    with folder.open_folder("/var/lib/trestlestall") as data:
        loaded = data.load()
        data.append([b"first", b"second"])

Each call that makes a change returns only once the change is synced. The folder holds
the files ``log`` (see ``contents``), ``mark`` (see ``mark``) and ``lock``, and
``log.new`` while a new log file is being written.
"""

import contextlib
import errno
import os
import secrets
import typing
from collections import abc

from trestlestall.storage import contents, exceptions, files, frames, mark

LOG = "log"
NEW_LOG = "log.new"
MARK = "mark"
LOCK = "lock"
IDENTITY_BYTES = 8
#: Weight of the latest sync in the average.
SYNC_WEIGHT = 0.3

Clock: typing.TypeAlias = abc.Callable[[], float]


class Folder:
    """An open data folder, locked by this process; create it with ``open_folder``.

    ``sync_seconds`` is how long a sync takes, as a moving average.

    After an operation has failed, each later one raises ``FolderFailed``: which data
    reached the disk is only known once the folder is opened again.
    """

    def __init__(self, path: str, store: files.Files, clock: Clock):
        self._path = path
        self._files = store
        self._clock = clock
        self._failed = False
        self.sync_seconds = 0.0
        with self._guard(LOG):
            self._open()

    @property
    def identity(self) -> str:
        """The random identifier that the folder got when it was created, in hex."""
        return self._base.identity

    def load(self) -> contents.Loaded:
        """Return the contents that the folder had when it was opened."""
        return self._loaded

    def append(self, records: list[bytes]) -> None:
        """Append the records to the log."""
        self.persist(records=records)

    def truncate(self, keep_count: int) -> None:
        """Drop all records after the first ``keep_count``."""
        self.persist(keep_count=keep_count)

    def save_vote(self, vote: contents.Vote) -> None:
        """Replace the vote."""
        self.persist(vote=vote)

    def persist(
        self,
        vote: contents.Vote | None = None,
        keep_count: int | None = None,
        records: typing.Sequence[bytes] = (),
    ) -> None:
        """Replace the vote, truncate the log and append records, atomically.

        The log is truncated to ``keep_count`` records, unless that is None. One sync
        makes all of it durable.
        """
        if vote is not None:
            self._vote = vote
        change = contents.Change(vote, keep_count, tuple(records))
        frame = frames.encode_frame(self._sequence, contents.encode_change(change))
        with self._guard(LOG):
            self._files.write(LOG, self._length, frame)
            self._sync(LOG)
            self._sequence += 1
            self._length += len(frame)
            self._write_mark()

    def save_snapshot(
        self, meta: dict[str, typing.Any], state: bytes, remaining_records: list[bytes]
    ) -> None:
        """Atomically replace the snapshot and the records; the vote is retained."""
        base = contents.Base(
            self._base.identity,
            self._base.generation + 1,
            self._vote,
            contents.Snapshot(meta, state),
            tuple(remaining_records),
        )
        with self._guard(NEW_LOG):
            self._replace_log(base)
            self._write_mark()
            self._sync(MARK)

    def close(self) -> None:
        """Sync the mark, so that it is exact, and release the folder's lock."""
        try:
            if not self._failed:
                with self._guard(MARK):
                    self._sync(MARK)
        finally:
            self._files.unlock()

    def _open(self) -> None:
        self._files.remove(NEW_LOG)
        data = self._files.read(LOG)
        written = self._files.read(MARK)
        self._mark = mark.decode_marks(written or b"")
        if data is None:
            self._check_never_used()
            self._create()
            return
        if self._mark is None:
            self._raise_damaged(MARK, "missing or damaged")
        self._recover(data)

    def _check_never_used(self) -> None:
        """Raise ``DamagedLog`` if the mark shows that a log file has existed."""
        if self._mark is not None and self._mark.number > 0:
            self._raise_damaged(LOG, "missing, though it was written before")

    def _create(self) -> None:
        """Create the files of a new folder; the log gets its name last."""
        base = contents.Base(secrets.token_hex(IDENTITY_BYTES), 0)
        self._mark = mark.Mark(0, 0, 0)
        self._files.write(MARK, 0, mark.encode_mark(self._mark))
        self._sync(MARK)
        self._files.sync_folder()
        self._replace_log(base)
        self._loaded = contents.replay(base, ())
        self._write_mark()
        self._sync(MARK)

    def _recover(self, data: bytes) -> None:
        """Read the log file, truncate a torn tail, and sync the rest.

        The last writes of a killed process may be in the system's page cache only; they
        are synced before the contents are used.
        """
        scan = frames.scan_frames(data)
        self._check(scan)
        self._base = contents.decode_base(scan.frames[0].payload)
        self._check_mark(scan)
        self._loaded = contents.replay(self._base, scan.frames[1:])
        self._vote = self._loaded.vote
        self._sequence = len(scan.frames)
        self._length = scan.end
        if scan.torn:
            self._files.truncate(LOG, scan.end)
        self._sync(LOG)
        self._files.sync_folder()
        self._write_mark()
        self._sync(MARK)

    def _check(self, scan: frames.Scan) -> None:
        if scan.damage is not None:
            self._raise_damaged(LOG, scan.damage)
        if not scan.frames:
            self._raise_damaged(LOG, "its first frame is missing or damaged")

    def _check_mark(self, scan: frames.Scan) -> None:
        """Raise ``DamagedLog`` if the log ends before the acknowledged length."""
        if self._mark.generation > self._base.generation:
            self._raise_damaged(LOG, "older than the last acknowledged snapshot")
        if self._mark.generation < self._base.generation:
            return
        if scan.end < self._mark.length:
            problem = f"valid up to byte {scan.end} only of {self._mark.length}"
            self._raise_damaged(LOG, problem)

    def _replace_log(self, base: contents.Base) -> None:
        frame = frames.encode_frame(0, contents.encode_base(base))
        self._files.remove(NEW_LOG)
        self._files.write(NEW_LOG, 0, frame)
        self._sync(NEW_LOG)
        self._files.rename(NEW_LOG, LOG)
        self._files.sync_folder()
        self._base = base
        self._vote = base.vote
        self._sequence = 1
        self._length = len(frame)

    def _write_mark(self) -> None:
        number = self._mark.number + 1
        self._mark = mark.Mark(number, self._base.generation, self._length)
        self._files.write(MARK, self._mark.offset, mark.encode_mark(self._mark))

    def _raise_damaged(self, name: str, problem: str) -> typing.NoReturn:
        raise exceptions.DamagedLog(os.path.join(self._path, name), problem)

    def _sync(self, name: str) -> None:
        """Return once the file's content is durable; measure how long that takes."""
        started = self._clock()
        self._files.sync(name)
        seconds = self._clock() - started
        self.sync_seconds += SYNC_WEIGHT * (seconds - self.sync_seconds)

    @contextlib.contextmanager
    def _guard(self, name: str) -> typing.Iterator[None]:
        """Translate the system's errors, and reject operations after a failed one."""
        if self._failed:
            raise exceptions.FolderFailed(self._path)
        self._failed = True
        with translate_errors(os.path.join(self._path, name)):
            yield
        self._failed = False


@contextlib.contextmanager
def translate_errors(path: str) -> typing.Iterator[None]:
    """Translate an ``OSError`` into the package's ``DiskFull`` or ``DiskFailed``."""
    try:
        yield
    except OSError as error:
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            raise exceptions.DiskFull(path) from error
        raise exceptions.DiskFailed(path, error) from error


@contextlib.contextmanager
def open_folder(
    path: str | os.PathLike[str],
    store: files.Files | None = None,
    clock: Clock = lambda: 0.0,
) -> typing.Iterator[Folder]:
    """Lock, check and read the folder; release it at the end.

    ``clock`` returns seconds, with which the syncs are measured.

    Raises ``FolderMissing``, ``FolderInUse``, ``DamagedLog``, ``DiskFull`` or
    ``DiskFailed``. ``store`` lets tests substitute their own file system.
    """
    path = os.fspath(path)
    if store is None:
        store = _open_files(path)
    with translate_errors(path):
        locked = store.lock(LOCK)
    if not locked:
        store.unlock()
        raise exceptions.FolderInUse(path)
    try:
        opened = Folder(path, store, clock)
    except BaseException:
        store.unlock()
        raise
    try:
        yield opened
    finally:
        opened.close()


def _open_files(path: str) -> files.Files:
    if not os.path.isdir(path):
        raise exceptions.FolderMissing(path)
    with translate_errors(path):
        return files.SystemFiles(path)
