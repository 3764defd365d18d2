"""The WSGI application of one listener: calls the handler, writes its answer."""

import contextlib
import typing
from collections import abc

from trestlestall.daemon.http import (
    answers,
    bodies,
    errors,
    limits,
    pacing,
    requests,
    routes,
)

# Tokens are written at once: by default eventlet would buffer them up to 4,096 bytes.
CHUNK_SETTING = "eventlet.minimum_write_chunk_size"
PROTOCOL_SETTING = requests.PROTOCOL_SETTING

Check = abc.Callable[[requests.Request], errors.Failure | None]
ReportError = abc.Callable[[requests.Request, Exception], None]


def allow_all(request: requests.Request) -> errors.Failure | None:
    """Check nothing; for listeners whose handlers check the credential."""
    return None


def ignore_error(request: requests.Request, error: Exception) -> None:
    """Ignore an error of a handler."""


class Parts:
    """The parts of an answer that is written as it is made.

    ``stack`` has what the request holds until the answer's end.
    """

    def __init__(self, parts: abc.Iterable[bytes], stack: contextlib.ExitStack):
        self._parts = parts
        self._stack = stack

    def __iter__(self) -> abc.Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """End the answer; the server calls this in any case."""
        with self._stack:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()


class Application:
    """Dispatches requests to the handlers of a table of routes.

    ``components`` is passed to each handler as its first argument. ``check`` is called
    for each request before its handler, and returns the failure that refuses it, for
    instance a missing credential. A handler that raises is reported to
    ``report_error`` and answered ``internal_error``; the process continues.
    """

    def __init__(
        self,
        components: typing.Any,
        table: routes.Routes,
        bounds: limits.Limits | None = None,
        check: Check = allow_all,
        report_error: ReportError = ignore_error,
    ):
        self.components = components
        self.table = table
        self.limits = bounds or limits.Limits()
        self.check = check
        self.report_error = report_error
        self.bodies = bodies.Bodies(self.limits.held_bytes)
        self.pacer = pacing.Pacer()

    def __call__(self, environ: dict, start_response) -> abc.Iterable[bytes]:
        environ[CHUNK_SETTING] = 1
        with contextlib.ExitStack() as stack:
            body = stack.enter_context(self.bodies.open())
            request = requests.build_request(environ, self.limits, body, self.pacer)
            answer = self._answer(request, start_response)
            if isinstance(answer.body, bytes):
                return [answer.body]
            return Parts(answer.body, stack.pop_all())

    def _answer(self, request: requests.Request, start_response) -> answers.Answer:
        """Return the answer of the handler, whose head was written."""
        answer = self._handle(request)
        environ = request.environ
        self._close_if_unread(environ)
        status = answers.find_status_line(answer.status)
        start_response(status, answers.list_headers(answer))
        return answer

    def _handle(self, request: requests.Request) -> answers.Answer:
        try:
            failure = self.check(request)
            if failure is not None:
                return answers.build_failure(failure)
            handler = self.table.find(request.method, request.path)
            if isinstance(handler, errors.Failure):
                return answers.build_failure(handler)
            return handler(self.components, request)
        except Exception as error:  # an error in one request must not end the process
            self.report_error(request, error)
            failure = errors.Failure(
                "internal_error", "A fault of the router.", errors.Run.UNKNOWN
            )
            return answers.build_failure(failure)

    def _close_if_unread(self, environ: dict) -> None:
        """Close the connection after an answer that left part of the body unread."""
        source = environ["eventlet.input"]
        protocol = environ.get(PROTOCOL_SETTING)
        unread = source.chunked_input or source.position < source.content_length
        if protocol is not None and unread:
            protocol.close_connection = 1
