"""The few file operations that the data folder needs.

``Files`` is the seam: the folder calls these and nothing else of the operating system,
so that a test passes in a file system that loses what wasn't synced, tears writes,
fills up or stops between any two steps.
"""

import abc
import fcntl
import os


class Files(abc.ABC):
    """Operations inside one folder; names are plain file names, errors ``OSError``."""

    @abc.abstractmethod
    def lock(self, name: str) -> bool:
        """Take the lock file; false when another process holds it."""

    @abc.abstractmethod
    def unlock(self) -> None:
        """Give the lock back and close whatever is open."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return the file's content, or nothing when there is no such file."""

    @abc.abstractmethod
    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write the data at the offset, making the file if needed; not yet durable."""

    @abc.abstractmethod
    def cut(self, name: str, length: int) -> None:
        """Make the file that long; not yet durable."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Return once the file's content is durable."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Put the file in the other's place; durable after ``sync_folder``."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove the file if it is there."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Return once the folder's names are durable."""


class SystemFiles(Files):
    """The operating system's files, each opened once and kept open."""

    def __init__(self, path: str):
        self._path = path
        self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._open: dict[str, int] = {}
        self._lock: int | None = None

    def lock(self, name: str) -> bool:
        self._lock = self._open_file(name)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def unlock(self) -> None:
        descriptors = [*self._open.values(), self._folder]
        self._open.clear()
        for descriptor in descriptors:
            os.close(descriptor)

    def read(self, name: str) -> bytes | None:
        if not os.path.exists(os.path.join(self._path, name)):
            return None
        with open(os.path.join(self._path, name), "rb") as file:
            return file.read()

    def write(self, name: str, offset: int, data: bytes) -> None:
        descriptor = self._open_file(name)
        rest = memoryview(data)
        while rest:
            written = os.pwrite(descriptor, rest, offset)
            rest = rest[written:]
            offset += written

    def cut(self, name: str, length: int) -> None:
        os.ftruncate(self._open_file(name), length)

    def sync(self, name: str) -> None:
        os.fdatasync(self._open_file(name))

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self._folder, dst_dir_fd=self._folder)
        replaced = self._open.pop(new, None)
        if replaced is not None:
            os.close(replaced)
        if old in self._open:
            self._open[new] = self._open.pop(old)

    def remove(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
        try:
            os.unlink(name, dir_fd=self._folder)
        except FileNotFoundError:
            return

    def sync_folder(self) -> None:
        os.fsync(self._folder)

    def _open_file(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            descriptor = os.open(name, flags, 0o600, dir_fd=self._folder)
            self._open[name] = descriptor
        return self._open[name]
