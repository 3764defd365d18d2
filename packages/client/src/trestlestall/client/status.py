"""The exit statuses of ``trestlestall``, for scripts."""

import enum


class ExitStatus(enum.IntEnum):
    """The result of a call.

    After ``UNREACHABLE`` a command may or may not have been executed, unless the
    message says that it was not; resending it with its request id is safe.
    """

    OK = 0
    REJECTED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BEATEN = 4
    UNREACHABLE = 5
    INTERRUPTED = 130
