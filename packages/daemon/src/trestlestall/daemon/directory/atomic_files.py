"""Atomic replacement of files: a power failure leaves the old or the new content."""

import contextlib
import os
import pathlib
from collections import abc

#: Suffix of the new file's name until it is renamed over the old one.
TEMPORARY_SUFFIX = ".new"


def replace(folder: pathlib.Path, name: str, data: bytes) -> None:
    """Replace the content of a file; returns once it is durable.

    Raises ``OSError``; the file then has either the old or the new content.
    """
    temporary = folder / (name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.rename(temporary, folder / name)
    with open_folder(folder) as descriptor:
        os.fsync(descriptor)


@contextlib.contextmanager
def open_folder(path: pathlib.Path) -> abc.Iterator[int]:
    """Yield a file descriptor of a folder."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
