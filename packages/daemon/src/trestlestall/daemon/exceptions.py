"""Exceptions of the daemon, for broken invariants and programming errors only."""


class DaemonError(Exception):
    """Base class of the daemon's exceptions."""


class InvalidEventError(DaemonError):
    """An entry of the event catalogue is invalid."""


class UnknownFieldError(DaemonError, ValueError):
    """A log line has a field that the catalogue doesn't list for its event."""


class InvariantBroken(DaemonError):  # noqa: N818 (the house's term for it)
    """A component without which the process can't run has failed; the process exits.

    ``place`` names the component; ``traceback`` is for the maintainers.
    """

    def __init__(self, place: str, traceback: str) -> None:
        super().__init__(f"{place} failed:\n{traceback}")
        self.place = place
        self.traceback = traceback
