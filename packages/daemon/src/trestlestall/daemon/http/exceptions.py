"""Exceptions of the listeners; none of them leaves the package."""


class HttpError(Exception):
    """Base class of the listeners' exceptions."""


class HeadersTooLargeError(HttpError):
    """A request's headers exceed the listener's size limit."""


class SlowHeadersError(HttpError):
    """A request's headers did not arrive within the listener's time limit."""


class ResponseAbortedError(HttpError):
    """A streamed answer can't be finished: its connection must be aborted."""
