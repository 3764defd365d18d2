"""The exception tree of the data folder.

Each one says which path is concerned and what the operator should do. All of them end
the process: a voter that can't trust its folder must not go on voting from it.
"""

# The names are fixed by docs/design/interfaces.md and say what is wrong, as those of
# Django's exceptions do, without the suffix that N818 asks for.
# ruff: noqa: N818

REPLACE_VOTER = (
    "keep the folder for inspection, start this voter with an empty folder and replace "
    "it by `remove voter` and `add voter` (docs/operators/recovery.md)"
)


class StorageError(Exception):
    """A data folder that can't be used: which path, what is wrong, what to do."""

    def __init__(self, path: str, problem: str, advice: str):
        super().__init__(f"{path}: {problem}; {advice}")
        self.path = path
        self.problem = problem
        self.advice = advice


class FolderMissing(StorageError):
    """The folder isn't there. It isn't made, since a disk may just not be mounted."""

    def __init__(self, path: str):
        super().__init__(path, "no such folder", "mount the disk or make the folder")


class FolderInUse(StorageError):
    """Another process holds the folder's lock."""

    def __init__(self, path: str):
        super().__init__(path, "another process uses it", "stop that process first")


class DamagedLog(StorageError):
    """A file of the folder isn't what was written and synced."""

    def __init__(self, path: str, problem: str):
        super().__init__(path, problem, REPLACE_VOTER)


class DiskFull(StorageError):
    """The disk has no room; nothing was acknowledged and nothing acknowledged is lost.

    The process starts again as it was once there is room.
    """

    def __init__(self, path: str):
        super().__init__(path, "the disk is full", "free some space and start again")


class DiskFailed(StorageError):
    """The disk refused to read, write or sync."""

    def __init__(self, path: str, error: OSError):
        advice = "check the disk; if it is lost, " + REPLACE_VOTER
        super().__init__(path, f"the disk failed: {error.strerror}", advice)


class FolderFailed(StorageError):
    """The folder was used again after an operation on it had failed."""

    def __init__(self, path: str):
        super().__init__(path, "an earlier write failed", "start the process again")
