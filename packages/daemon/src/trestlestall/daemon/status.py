"""The exit statuses of ``trestlestalld``, for scripts and service managers."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status of a process.

    ``OK`` includes a planned stop. ``ERROR`` is a failure while running, such as an
    address already in use. ``BAD_SETTINGS`` means that nothing was started, so a
    service manager shouldn't restart the process before the file has changed.
    """

    OK = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    INTERRUPTED = 130
