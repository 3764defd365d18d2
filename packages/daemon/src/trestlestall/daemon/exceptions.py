"""The daemon's exceptions: for broken invariants and programmers' errors only."""


class DaemonError(Exception):
    """The root of the tree."""


class InvalidEventError(DaemonError):
    """An entry of the event catalogue breaks the catalogue's rules."""


class UnknownFieldError(DaemonError, ValueError):
    """A log line carries a field that the catalogue doesn't give its event."""
