"""The daemon's exceptions: for broken invariants and programmers' errors only."""


class DaemonError(Exception):
    """The root of the tree."""


class InvalidEventError(DaemonError):
    """An entry of the event catalogue breaks the catalogue's rules."""


class UnknownFieldError(DaemonError, ValueError):
    """A log line carries a field that the catalogue doesn't give its event."""


class InvariantBroken(DaemonError):  # noqa: N818 (the house's term for it)
    """A part of the process that must not fail has failed; the process ends.

    ``place`` names the part; ``traceback`` is for the maintainers.
    """

    def __init__(self, place: str, traceback: str) -> None:
        super().__init__(f"{place} failed:\n{traceback}")
        self.place = place
        self.traceback = traceback
