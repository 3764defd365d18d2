"""The file operations that the data folder needs.

``Files`` abstracts the operating system: the folder accesses files only through it, so
that tests can substitute a file system that loses unsynced data, tears writes, fills up
or stops between any two steps.
"""

import abc
import fcntl
import os


class Files(abc.ABC):
    """Operations on one folder; names are plain file names, errors are ``OSError``."""

    @abc.abstractmethod
    def lock(self, name: str) -> bool:
        """Acquire the lock file; return False if another process holds it."""

    @abc.abstractmethod
    def unlock(self) -> None:
        """Release the lock and close all open files."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return the file's content, or None if there is no such file."""

    @abc.abstractmethod
    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write the data at the offset, creating a missing file; not yet durable."""

    @abc.abstractmethod
    def truncate(self, name: str, length: int) -> None:
        """Truncate the file to the length in bytes; not yet durable."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Return once the file's content is durable."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename the file, replacing ``new``; durable after ``sync_folder``."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove the file if it exists."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Return once the folder's directory entries are durable."""


class SystemFiles(Files):
    """Files of the operating system; each is opened once and stays open."""

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

    def truncate(self, name: str, length: int) -> None:
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
