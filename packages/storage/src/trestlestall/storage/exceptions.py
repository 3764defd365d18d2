"""Exceptions of the data folder.

Each message names the path and what the operator should do. The voter must stop on any
of them: a voter that can't rely on its stored state must not continue to vote.
"""

# The names are fixed by docs/design/interfaces.md and state the problem, like those of
# Django's exceptions, without the suffix that N818 requires.
# ruff: noqa: N818

REPLACE_VOTER = (
    "keep the folder for inspection, start this voter with an empty folder and replace "
    "it by `remove voter` and `add voter` (docs/operators/recovery.md)"
)


class StorageError(Exception):
    """The data folder can't be used. Holds the path, the problem and the advice."""

    def __init__(self, path: str, problem: str, advice: str):
        super().__init__(f"{path}: {problem}; {advice}")
        self.path = path
        self.problem = problem
        self.advice = advice


class FolderMissing(StorageError):
    """The folder doesn't exist. It isn't created: its disk may just not be mounted."""

    def __init__(self, path: str):
        super().__init__(path, "no such folder", "mount the disk or create the folder")


class FolderInUse(StorageError):
    """Another process holds the folder's lock."""

    def __init__(self, path: str):
        super().__init__(path, "another process uses it", "stop that process first")


class DamagedLog(StorageError):
    """A file is missing, lacks data that was synced, or is corrupted."""

    def __init__(self, path: str, problem: str):
        super().__init__(path, problem, REPLACE_VOTER)


class DiskFull(StorageError):
    """The disk is full. The failed operation wasn't acknowledged.

    No acknowledged data is lost: once space is freed, the process can be started again
    and recovers it.
    """

    def __init__(self, path: str):
        super().__init__(
            path, "the disk is full", "free some space and start the process again"
        )


class DiskFailed(StorageError):
    """A read, write or sync failed with an error of the operating system."""

    def __init__(self, path: str, error: OSError):
        advice = "check the disk; if it is lost, " + REPLACE_VOTER
        super().__init__(path, f"the disk failed: {error.strerror}", advice)


class FolderFailed(StorageError):
    """The folder was used after an earlier operation on it had failed."""

    def __init__(self, path: str):
        super().__init__(path, "an earlier write failed", "start the process again")
