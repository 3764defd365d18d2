"""A gateway in this process, scripted upstreams on local sockets, and raw callers."""

import contextlib
import dataclasses
import io
import json
import random
import struct
import time
import unittest
import zlib

from trestlestall.daemon import patching  # isort: skip

import eventlet
from eventlet.green import socket

from trestlestall.daemon import environment, settings
from trestlestall.daemon.gateway import entrance, process
from trestlestall.forwarding import upstreams
from trestlestall.standins import addresses
from trestlestall.wire import stream_messages

__all__ = ["patching"]

SIGNED = "Trestlestall-Signature: s1\r\n"
OK = "HTTP/1.1 200 OK\r\n" + SIGNED
STREAM = OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def make_route(name, **changes):
    """Return a route's document."""
    route = {
        "name": name,
        "host": "api",
        "prefix": f"/{name}/",
        "targets": [{"service": "work", "weight": 1}],
        "streams": False,
        "idempotent": False,
        "resumable": False,
        "attempts": 1,
        "tier": 1,
        "public": False,
        "first_seconds": 0.3,
        "whole_seconds": 3.0,
    }
    return {**route, **changes}


#: More than the kernel buffers for a connection whose peer does not read.
BODY_BYTES = 12_000_000
ROUTES = (
    make_route("once"),
    make_route("again", idempotent=True, attempts=2),
    make_route("stream", streams=True, pause_seconds=0.1),
    make_route("resume", streams=True, resumable=True, attempts=2, pause_seconds=0.1),
    make_route("short", whole_seconds=0.4),
    make_route("open", public=True),
)
DOCUMENT = {
    "version": 1,
    "routes": ROUTES,
    "services": {
        "work": {"name": "work", "health_path": "/healthz", "connections": 50}
    },
    "workspaces": [{"name": "basu", "keys": ["k1"]}],
    "limits": {"header_bytes": 4000, "body_bytes": BODY_BYTES, "header_seconds": 0.5},
}


def frame(*parts, end=True):
    """Return the parts as chunks of a chunked body."""
    chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in parts)
    return chunks + ("0\r\n\r\n" if end else "")


def event(number, text="x"):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}{number}\n\n"


@dataclasses.dataclass
class Received:
    """A request as an upstream received it."""

    head: str
    body: bytes

    def find(self, name):
        """Return the header's value, or None."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None


class Upstream:
    """A server whose responses are scripted by ``script(connection, received)``.

    The connection is closed if the script returns False.
    """

    def __init__(self, identity, script, version="v1"):
        self.identity = identity
        self.script = script
        self.version = version
        self.received = []
        self.ended = 0
        self.connections = 0
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.accepting = eventlet.spawn(self.accept)

    @property
    def row(self):
        """The row that the upstream would announce."""
        return upstreams.Row(
            self.identity,
            1,
            upstreams.State.SERVING,
            "work",
            f"127.0.0.1:{self.port}",
            "a",
            8,
            version=self.version,
        )

    def accept(self):
        """Serve connections until stopped."""
        while True:
            connection, _ = self.socket.accept()
            self.connections += 1
            eventlet.spawn(self.serve, connection)

    def serve(self, connection):
        """Run the script for each request of a connection."""
        with contextlib.suppress(OSError), contextlib.closing(connection):
            while (received := read_request(connection)) is not None:
                self.received.append(received)
                if self.script(connection, received) is False:
                    return
        self.ended += 1

    def stop(self):
        """Stop listening, so that new connections are refused."""
        self.accepting.kill()
        self.socket.close()


def read_request(connection):
    """Return the next request, or None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    received = Received(head.decode(), body)
    length = int(received.find("Content-Length") or 0)
    while len(received.body) < length:
        part = connection.recv(65536)
        if not part:
            return None
        received.body += part
    return received


def answer(text, body="", status="200 OK"):
    """Return a script that responds with further headers and a body.

    The answer names the request, as far as it names one.
    """

    def script(connection, received):
        named = echo(received) + text
        head = f"HTTP/1.1 {status}\r\n{SIGNED}{named}Content-Length: {len(body)}"
        connection.sendall(f"{head}\r\n\r\n{body}".encode())

    return script


def echo(received):
    """Return the line of an answer that names the request; empty if there is none."""
    request = received and received.find("Trestlestall-Request")
    return f"Trestlestall-Request: {request}\r\n" if request else ""


def name_request(data, received):
    """Return the data of an answer that begins with ``OK``, naming the request."""
    return data.replace(OK, OK + echo(received), 1)


def send(data, keep=False, after=0.0):
    """Return a script that sends these bytes, and closes unless ``keep``."""

    def script(connection, received):
        eventlet.sleep(after)
        connection.sendall(data.encode())
        return keep

    return script


def reset(connection):
    """Close a connection by a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class Caller:
    """A raw connection to the gateway."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.data = b""

    def ask(self, path, body=b"", method="POST", **headers):
        """Send a request."""
        head = [f"{method} {path} HTTP/1.1", "Host: api"]
        given = {"Authorization": "Bearer k1", "Trestlestall_Request": "r-1"} | headers
        head += [f"{key.replace('_', '-')}: {value}" for key, value in given.items()]
        if body:
            head.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join([*head, "", ""]).encode() + body)

    def read_head(self):
        """Return status and head of the next response; status 0 at the end."""
        while b"\r\n\r\n" not in self.data:
            part = self.socket.recv(65536)
            if not part:
                return 0, self.data.decode()
            self.data += part
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), head.decode()

    def read_answer(self):
        """Return status, head and body of a response with a length."""
        status, head = self.read_head()
        found = [line for line in head.split("\r\n") if "ength:" in line]
        length = int(found[0].partition(":")[2]) if found else 0
        while len(self.data) < length:
            self.data += self.socket.recv(65536)
        body, self.data = self.data[:length], self.data[length:]
        return status, head, body.decode()

    def read_to_end(self):
        """Return all bytes until the connection or a chunked body ends."""
        while not self.data.endswith(b"0\r\n\r\n"):
            part = self.socket.recv(65536)
            if not part:
                break
            self.data += part
        return self.data.decode()

    def close(self):
        """Disconnect."""
        self.socket.close()


def make_settings(port, platform_port):
    """Return the settings of a gateway that listens on these ports."""
    listen = settings.GatewayListen(
        settings.Address("127.0.0.1", port),
        settings.Address("127.0.0.1", platform_port),
        settings.Address("127.0.0.1", 0),
    )
    return settings.GatewaySettings(
        role="gateway",
        name="gateway-1",
        data_centre="a",
        listen=listen,
        secrets_file="",
        directories=(),
        # Without a directory a gateway may use a small share of the retry budget only.
        retries=settings.Retries(ratio=50.0, slack=0.0),
        secrets=settings.Secrets("s", "", {}),
    )


class Bench:
    """A gateway with its upstreams.

    ``early`` is called with the port for callers once it is listened on, before the
    gateway starts.
    """

    def __init__(self, stack, document=None, early=None):
        self.stack = stack
        self.port = addresses.reserve_port()
        self.platform_port = addresses.reserve_port()
        self.output = io.StringIO()
        made = make_settings(self.port, self.platform_port)
        env = environment.Environment(
            None, self.output, None, environment.Clock(), random.Random(1)
        )
        accepting = None
        if early is not None:
            accepting = stack.enter_context(entrance.open_caller_listener(made))
            early(self.port)
        self.gateway = process.Gateway(made, env, accepting=accepting)
        stack.enter_context(self.gateway.open())
        asking = self.gateway.handler.questions
        asking.list_directories = lambda: ["directory-1"]
        asking.send = self.hear
        if document is not None:
            self.declare(document)

    def hear(self, directory, call):
        """Answer as a directory that has just heard every upstream."""
        if isinstance(call, stream_messages.HeardCall):
            answer = stream_messages.HeardAnswer(call.token, float("-inf"))
            handle = self.gateway.handler.questions.handle_answer
            eventlet.spawn_n(handle, directory, answer)
        return True

    def declare(self, document, version=1):
        """Apply a configuration."""
        packed = zlib.compress(json.dumps({**document, "version": version}).encode())
        self.gateway.view.apply_declaration(version, packed, "test")

    def add(self, identity, script, **options):
        """Start an upstream and announce it to the gateway."""
        made = Upstream(identity, script, **options)
        self.stack.callback(made.stop)
        self.gateway.view.merge_rows((made.row,), "test")
        return made

    def call(self):
        """Open a connection to the gateway."""
        caller = Caller(self.port)
        self.stack.callback(caller.close)
        return caller

    def ask(self, path, body=b"", method="POST", **headers):
        """Send a request on a new connection; return status, head and body."""
        caller = self.call()
        caller.ask(path, body, method, **headers)
        return caller.read_answer()

    def list_lines(self, name):
        """Return the log lines with this name."""
        lines = map(json.loads, self.output.getvalue().splitlines())
        return [line for line in lines if line["name"] == name]

    def list_ports(self):
        """Return the own port of each ended request's last connection."""
        return [line["port"] for line in self.list_lines("forward_ended")]


class GatewayCase(unittest.TestCase):
    """A test with a gateway of its own, configured by ``document``."""

    document = DOCUMENT

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.bench = Bench(self.stack, self.document)

    def renew(self):
        """Begin with another gateway."""
        self.doCleanups()
        self.setUp()


def wait_until(condition, seconds=3.0):
    """Wait for a condition; return whether it became true in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        eventlet.sleep(0.01)
    return False
