"""A small HTTP layer on eventlet's WSGI server, shared by the stand-ins.

A program fills a ``Routes`` registry by decorators; each handler takes the program's
state and a ``Call`` and returns a ``Reply`` whose body is bytes or an iterable of them.
Items of an iterable are sent one by one, each as soon as it is available.
"""

import contextlib
import dataclasses
import http
import json
import socket
import typing
from collections import abc
from urllib import parse

import eventlet
import eventlet.wsgi
from eventlet import hubs

from trestlestall.standins import addresses

MAX_BODY_BYTES = 16 * 1024 * 1024
JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
MAX_CONNECTIONS = 4096


@dataclasses.dataclass(frozen=True)
class Call:
    """A request passed to a handler; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    socket: typing.Any

    def read_json(self) -> dict | None:
        """Return the body's JSON object, or None if it is not one."""
        try:
            document = json.loads(self.body or b"{}")
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response with a body of bytes, or of chunks to be sent one by one."""

    status: int
    body: bytes | abc.Iterable[bytes] = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


Handler = abc.Callable[[typing.Any, Call], Reply]


def reply_json(status: int, document: typing.Any, **headers: str) -> Reply:
    """Return a response with the document as JSON."""
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return Reply(status, json.dumps(document).encode(), headers=pairs)


def reply_error(status: int, code: str, message: str, **headers: str) -> Reply:
    """Return an error in the format of OpenAI's API."""
    error = {"code": code, "message": message, "type": "upstream_error"}
    return reply_json(status, {"error": error}, **headers)


class Routes:
    """Handlers by method and path, filled by decorators.

    ``routes.add("GET", "/v1/state")`` registers the handler of one path,
    ``routes.add_rest`` that of all paths without a handler of their own.
    """

    def __init__(self) -> None:
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._rest: Handler = refuse_unknown

    def add(self, method: str, path: str) -> abc.Callable[[Handler], Handler]:
        """Return a decorator that registers the handler."""

        def register(handler: Handler) -> Handler:
            self._handlers[method, path] = handler
            return handler

        return register

    def add_rest(self, handler: Handler) -> Handler:
        """Register the handler of all other paths."""
        self._rest = handler
        return handler

    def answer(self, state: typing.Any, call: Call) -> Reply:
        """Return the response of the call's handler."""
        handler = self._handlers.get((call.method, call.path), self._rest)
        return handler(state, call)


def refuse_unknown(state: typing.Any, call: Call) -> Reply:
    """Answer a call of a path without a handler."""
    return reply_error(404, "unknown_path", f"no such path: {call.path}")


def read_call(environ: dict) -> Call:
    """Return the call in a WSGI environment, with its body read."""
    length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Call(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
        socket=environ["eventlet.input"].get_socket(),
    )


def make_application(routes: Routes, state: typing.Any) -> abc.Callable:
    """Return the WSGI application for the routes."""

    def application(environ: dict, start_response: abc.Callable) -> abc.Iterable[bytes]:
        # Without this, the server buffers output until it has 4096 bytes.
        environ["eventlet.minimum_write_chunk_size"] = 1
        reply = routes.answer(state, read_call(environ))
        whole = isinstance(reply.body, bytes)
        headers = [("Content-Type", reply.content_type), *reply.headers]
        if whole:
            headers.append(("Content-Length", str(len(reply.body))))
        phrase = http.HTTPStatus(reply.status).phrase
        start_response(f"{reply.status} {phrase}", headers)
        return [reply.body] if whole else reply.body

    return application


@contextlib.contextmanager
def watch_hang_up(call: Call, on_hang_up: abc.Callable[[], None]) -> abc.Iterator[None]:
    """Call ``on_hang_up`` as soon as the caller closes its connection.

    The server itself would detect it only at the next write. A caller that sends
    further bytes while it waits (pipelining) is not watched any longer.
    """
    watcher = eventlet.spawn(wait_for_hang_up, call.socket, on_hang_up)
    try:
        yield
    finally:
        watcher.kill()


def wait_for_hang_up(connection: typing.Any, on_hang_up: abc.Callable) -> None:
    """Wait until the connection is readable, and check whether it was closed."""
    try:
        hubs.trampoline(connection.fileno(), read=True)
        ended = not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        ended = True
    if ended:
        on_hang_up()


def cut_connection(call: Call) -> None:
    """Shut down the caller's connection."""
    with contextlib.suppress(OSError):
        call.socket.shutdown(socket.SHUT_RDWR)


class Server:
    """An HTTP server; ``address`` has the port that the kernel assigned."""

    def __init__(self, listen: addresses.Address, application: abc.Callable):
        self._socket = eventlet.listen((listen.host, listen.port), backlog=1024)
        self._application = application
        host, port = self._socket.getsockname()[:2]
        self.address = addresses.Address(host, port)

    def run(self) -> None:
        """Serve until the process exits."""
        eventlet.wsgi.server(
            self._socket,
            self._application,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            url_length_limit=65536,
        )
