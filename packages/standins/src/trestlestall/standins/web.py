"""A small HTTP layer over eventlet's WSGI runner, shared by the stand-ins.

A program fills a ``Routes`` registry by decorators; each handler takes the program's
state and a ``Call`` and returns a ``Reply`` whose body is bytes or an iterable of them.
An iterable is sent piece by piece, each as soon as it is there.
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

BODY_LIMIT = 16 * 1024 * 1024
JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
CONNECTION_LIMIT = 4096


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as the handler sees it; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    socket: typing.Any

    def read_json(self) -> dict | None:
        """Return the body's JSON object, or None when it isn't one."""
        try:
            document = json.loads(self.body or b"{}")
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer: bytes, or pieces to be sent one by one."""

    status: int
    body: bytes | abc.Iterable[bytes] = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


Handler = abc.Callable[[typing.Any, Call], Reply]


def reply_json(status: int, document: typing.Any, **headers: str) -> Reply:
    """Return an answer that carries the document as JSON."""
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return Reply(status, json.dumps(document).encode(), headers=pairs)


def reply_error(status: int, code: str, message: str, **headers: str) -> Reply:
    """Return an error in the shape that OpenAI's clients know."""
    error = {"code": code, "message": message, "type": "upstream_error"}
    return reply_json(status, {"error": error}, **headers)


class Routes:
    """Handlers by method and path, filled by decorators.

    ``routes.add("GET", "/v1/state")`` registers one path; ``routes.add_rest`` the
    handler of every path that has no other.
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
        """Return what the call's handler answers."""
        handler = self._handlers.get((call.method, call.path), self._rest)
        return handler(state, call)


def refuse_unknown(state: typing.Any, call: Call) -> Reply:
    """Answer a path that no handler was registered for."""
    return reply_error(404, "unknown_path", f"no such path: {call.path}")


def read_call(environ: dict) -> Call:
    """Return the WSGI environment as a call, with its body read."""
    length = min(int(environ.get("CONTENT_LENGTH") or 0), BODY_LIMIT)
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
    """Return the WSGI application that answers by the routes."""

    def application(environ: dict, start_response: abc.Callable) -> abc.Iterable[bytes]:
        # Without this the runner holds output back until 4096 bytes are there.
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

    The runner itself would see it only at the next write. A caller that sends further
    bytes while it waits (pipelining) is not watched any longer.
    """
    watcher = eventlet.spawn(wait_for_hang_up, call.socket, on_hang_up)
    try:
        yield
    finally:
        watcher.kill()


def wait_for_hang_up(connection: typing.Any, on_hang_up: abc.Callable) -> None:
    """Wait until the connection can be read, and see whether that is its end."""
    try:
        hubs.trampoline(connection.fileno(), read=True)
        ended = not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        ended = True
    if ended:
        on_hang_up()


def cut_connection(call: Call) -> None:
    """Close the caller's connection in the middle of an answer."""
    with contextlib.suppress(OSError):
        call.socket.shutdown(socket.SHUT_RDWR)


class Server:
    """A listening program; ``address`` is where, with the port that the kernel gave."""

    def __init__(self, listen: addresses.Address, application: abc.Callable):
        self._socket = eventlet.listen((listen.host, listen.port), backlog=1024)
        self._application = application
        host, port = self._socket.getsockname()[:2]
        self.address = addresses.Address(host, port)

    def run(self) -> None:
        """Answer calls until the process ends."""
        eventlet.wsgi.server(
            self._socket,
            self._application,
            log_output=False,
            debug=False,
            max_size=CONNECTION_LIMIT,
            url_length_limit=65536,
        )
