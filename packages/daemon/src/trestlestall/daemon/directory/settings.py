"""What a directory is told at its start."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DirectorySettings:
    """Addresses are ``IP:port``; durations in seconds.

    ``peers`` is where links are taken, and is also the directory's name among the
    others. ``directories`` are the first to be asked for the rest; while ``founding``,
    those of them that start with empty disks form the first group of voters.
    ``announce_seconds`` is the time between two announcements of an upstream.
    """

    name: str
    data_centre: str
    service: str
    peers: str
    secret: str = dataclasses.field(repr=False)
    data_folder: str
    directories: tuple[str, ...] = ()
    founding: bool = False
    announce_seconds: float = 1.2
    document_bytes: int = 8 * 1024 * 1024
