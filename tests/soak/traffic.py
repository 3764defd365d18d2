"""Upstreams, callers and an operator, which record what they run and receive."""

import contextlib
import dataclasses
import http.client
import http.server
import random
import socket
import threading
import time
import zlib
from collections import abc

from tests import gateways, relays
from tests.soak import evidence as evidences
from trestlestall.standins import addresses

ANNOUNCE_SECONDS = 0.5
#: Seconds that an upstream keeps serving after its leave was acknowledged, including a
#: margin for requests in flight.
LINGER_SECONDS = 2.5
WORK_SECONDS = 0.02
EVENT_SECONDS = 0.04
#: Seconds between two requests of one caller, and its timeout for an answer.
PAUSE_SECONDS = 0.05
CALLER_SECONDS = 8.0
#: Seconds between two attempts of a request that crashes upstreams, and until a crashed
#: upstream restarts.
FATAL_PAUSE_SECONDS = 0.15
BACK_SECONDS = 0.8
KINDS = ("once", "again", "stream")
UPSTREAMS = 3
#: One request in so many is rejected by one of the upstreams as not run, and the
#: milliseconds within which callers leave who don't wait. Both are drawn by its name.
FULL_EVERY = 12
#: One copy of a refusal in so many has lost the line with the request's id.
NAMELESS_EVERY = 3
REQUEST_HEADER = "Trestlestall-Request"
NOT_RUN = {"Trestlestall-Not-Run": "1"}
LEAVE_MILLISECONDS = 250
RUNNING, DRAINING = 0, 1
#: Response headers by signal.
BACKOFF_HEADERS = {"Trestlestall-Not-Run": "1", "Retry-After": str(evidences.BACKOFF)}
SIGNAL_HEADERS = {
    evidences.Signal.LIMIT: {"Trestlestall-Limit": str(evidences.LIMIT)},
    evidences.Signal.LEAVE: {"Trestlestall-Leaving": "1"},
}


class Server(http.server.ThreadingHTTPServer):
    """A server that logs no errors about connections that end early."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore the error: faults break connections all the time."""


class Upstream:
    """A service in this process behind a relay, which announces itself and leaves."""

    def __init__(
        self, name: str, evidence: evidences.Evidence, ports: abc.Sequence[int]
    ) -> None:
        self.name = name
        self.evidence = evidence
        self.is_failing = False
        self.signal = evidences.Signal.NONE
        self._ports = ports
        self._starts = 0
        self._sequence = self._former_sequence = 0
        self._ended = threading.Event()
        self._is_up = threading.Event()
        self._is_up.set()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:  # noqa: N802 (the library's name)
                with contextlib.suppress(OSError):
                    outer.answer(self)

            def log_message(self, *args: object) -> None:
                return

        self._server = Server((gateways.HOST, 0), Handler)
        self.relay = relays.Relay(addresses.Address(*self._server.server_address))
        self.restart()
        for work in (self._server.serve_forever, self._announce):
            threading.Thread(target=work, daemon=True).start()

    @property
    def identity(self) -> str:
        """The identity of the current incarnation."""
        return f"{self.name}-{self._starts}"

    def restart(self) -> None:
        """Become a new incarnation at the same address."""
        self._starts += 1
        self._former_sequence = self._sequence
        self._sequence = 0
        self._state = RUNNING
        self.signal = evidences.Signal.NONE

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Run one request."""
        identity = self.identity
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        send_copy(handler)
        if handler.headers["Trestlestall-Expected-Upstream"] != identity:
            refuse(handler, 421)
            return
        request = handler.headers[REQUEST_HEADER]
        if self._is_full(request):
            refuse(handler, 503)
            return
        signal = self.signal
        self.evidence.add(
            evidences.Arrival(request, identity, time.monotonic(), signal)
        )
        if signal is evidences.Signal.BACKOFF:
            send_answer(handler, 503, b"", BACKOFF_HEADERS)
            return
        handler.signal_headers = SIGNAL_HEADERS.get(signal, {})
        first = int(handler.headers.get("Last-Event-Id") or 0)
        workspace = handler.headers.get("Trestlestall-Workspace") or ""
        at = time.monotonic()
        path = handler.path
        self.evidence.add(
            evidences.Run(request, identity, at, path, body, workspace, first)
        )
        if body.startswith(evidences.FATAL):
            self._crash(identity)
        elif self.is_failing:
            send_answer(handler, 500, b"broken", handler.signal_headers)
        elif path.startswith("/stream/"):
            self._stream(handler, request, first)
        else:
            time.sleep(WORK_SECONDS)
            send_answer(
                handler, 200, evidences.make_answer(request), handler.signal_headers
            )

    def _is_full(self, request: str) -> bool:
        """Return whether to reject a request that another upstream would run."""
        drawn = zlib.crc32(request.encode())
        is_chosen = drawn // FULL_EVERY % UPSTREAMS == int(self.name.rpartition("-")[2])
        return drawn % FULL_EVERY == 0 and is_chosen

    def _stream(
        self, handler: http.server.BaseHTTPRequestHandler, request: str, first: int
    ) -> None:
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.send_header(REQUEST_HEADER, request)
        for name, value in handler.signal_headers.items():
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(first + 1, evidences.EVENTS + 1):
            time.sleep(EVENT_SECONDS)
            event = evidences.make_event(request, number)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")

    def _crash(self, identity: str) -> None:
        """Crash: cut all connections, and return as a new incarnation later."""
        if identity != self.identity or not self._is_up.is_set():
            return
        now = time.monotonic()
        crashed = evidences.Disturbance(self.name, False, now, now + BACK_SECONDS)
        self.evidence.add(crashed)
        self._is_up.clear()
        self.relay.cut()
        threading.Timer(BACK_SECONDS, self._come_back).start()

    def _come_back(self) -> None:
        self.restart()
        self.relay.heal()
        self._is_up.set()

    def leave(self) -> None:
        """Announce the leave until acknowledged, serve on for a while, then restart."""
        self._state = DRAINING
        while not self._ended.is_set():
            if self._put():
                left = evidences.Acknowledged(self.identity, 0, time.monotonic())
                self.evidence.leaves.append(left)
                break
            self._ended.wait(ANNOUNCE_SECONDS / 5)
        self._ended.wait(LINGER_SECONDS)
        self.restart()

    def stop(self) -> None:
        """Stop the server, its relay and the announcements."""
        self._ended.set()
        self.relay.close()
        self._server.shutdown()
        self._server.server_close()

    def _announce(self) -> None:
        while not self._ended.wait(ANNOUNCE_SECONDS):
            if self._state == RUNNING and self._is_up.is_set():
                self._put()

    def _put(self) -> bool:
        """Announce the current state to one directory; return whether it accepted."""
        self._sequence += 1
        return self._send_row(self.identity, self._sequence, self._state)

    def announce_late(self) -> None:
        """Send a late announcement of the former incarnation."""
        former = f"{self.name}-{self._starts - 1}"
        self._send_row(former, self._former_sequence + 1, RUNNING)

    def _send_row(self, identity: str, sequence: int, state: int) -> bool:
        row = gateways.make_row(str(self.relay.address), sequence, state)
        port = random.choice(self._ports)
        return gateways.announce(port, identity, row) == 200


def refuse(handler: http.server.BaseHTTPRequestHandler, status: int) -> None:
    """Refuse a request; a copy comes where the connection's next answer is due."""
    send_answer(handler, status, b"", NOT_RUN)
    request = handler.headers[REQUEST_HEADER]
    lines = [f"HTTP/1.1 {status} Copy", "Trestlestall-Not-Run: 1", "Content-Length: 0"]
    if zlib.crc32(request.encode()) % NAMELESS_EVERY:
        lines.append(f"{REQUEST_HEADER}: {request}")
    handler.copy = "\r\n".join([*lines, "", ""]).encode()


def send_copy(handler: http.server.BaseHTTPRequestHandler) -> None:
    """Send the copy of a refusal that is due on this connection, if there is one."""
    handler.wfile.write(getattr(handler, "copy", b""))
    handler.copy = b""


def send_answer(
    handler: http.server.BaseHTTPRequestHandler,
    status: int,
    body: bytes,
    headers: abc.Mapping[str, str] | None = None,
) -> None:
    """Send a complete response, which names the request."""
    handler.send_response(status)
    handler.send_header(REQUEST_HEADER, handler.headers[REQUEST_HEADER])
    for name, value in (headers or {}).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


@dataclasses.dataclass
class Caller:
    """One caller of one gateway, on a connection that it reuses while possible.

    ``find_start`` returns how often the gateway's process was restarted.
    """

    gateway: str
    port: int
    kind: str
    evidence: evidences.Evidence
    find_start: abc.Callable[[], int]
    ended: threading.Event

    def run(self) -> None:
        """Send one request after another."""
        connection, number = None, 0
        while not self.ended.wait(PAUSE_SECONDS):
            if connection is None:
                connection = http.client.HTTPConnection(
                    gateways.HOST, self.port, timeout=CALLER_SECONDS
                )
                start = self.find_start()
            number += 1
            request = f"{self.gateway}-{self.kind}-{number}"
            asked = self._ask(connection, request, f"{self.gateway}/{start}")
            self.evidence.add(asked)
            if not asked.whole or connection.sock is None:
                connection.close()
                connection = None

    def run_leaving(self) -> None:
        """Send one request after another, and leave before the answer is whole."""
        number = 0
        while not self.ended.wait(PAUSE_SECONDS):
            number += 1
            request = f"{self.gateway}-left-{self.kind}-{number}"
            seconds = zlib.crc32(request.encode()) % LEAVE_MILLISECONDS / 1000
            connection = http.client.HTTPConnection(
                gateways.HOST, self.port, timeout=CALLER_SECONDS
            )
            leaving = threading.Timer(seconds, shut_down, (connection,))
            leaving.start()
            start = self.find_start()
            asked = self._ask(connection, request, f"{self.gateway}/{start}")
            leaving.cancel()
            connection.close()
            self.evidence.add(dataclasses.replace(asked, left=not asked.whole))

    def probe(self, evidence: evidences.Evidence) -> bool:
        """Send one request and return whether it was served."""
        number = len(evidence.asked)
        connection = http.client.HTTPConnection(gateways.HOST, self.port, timeout=2.0)
        request = f"{self.gateway}-probe-{number}"
        asked = self._ask(connection, request, f"{self.gateway}/0")
        connection.close()
        evidence.add(asked)
        return evidences.is_served(asked)

    def send_fatal_requests(self, ended: threading.Event) -> None:
        """Send the fatal request repeatedly, each time under a new id."""
        number = len(self.evidence.asked)
        while not ended.wait(FATAL_PAUSE_SECONDS):
            number += 1
            connection = http.client.HTTPConnection(
                gateways.HOST, self.port, timeout=CALLER_SECONDS
            )
            asked = self._ask(
                connection,
                f"{self.gateway}-fatal-{number}",
                f"{self.gateway}/{self.find_start()}",
                f"{evidences.FATAL_PREFIX}x",
                evidences.FATAL,
            )
            connection.close()
            self.evidence.add(asked)

    def _ask(
        self,
        connection: http.client.HTTPConnection,
        request: str,
        gateway: str,
        path: str = "",
        body: bytes = b"",
    ) -> evidences.Asked:
        path, body = path or f"/{self.kind}/{request}", body or request.encode() * 3
        at, status, parts, whole = time.monotonic(), 0, [], False
        headers = {"Host": "api", "Trestlestall-Request": request}
        if not path.startswith(evidences.FATAL_PREFIX):
            headers["Authorization"] = "Bearer k"
        try:
            connection.request("POST", path, body, headers)
            answer = connection.getresponse()
            status = answer.status
            while part := answer.read1():
                parts.append(part)
            whole = answer.chunked or not answer.length
            # Without the close, the library does not reuse the connection.
            answer.close()
        except (OSError, http.client.HTTPException):
            whole = False
        ended = time.monotonic()
        return evidences.Asked(
            request, path, body, gateway, at, ended, status, b"".join(parts), whole
        )


def shut_down(connection: http.client.HTTPConnection) -> None:
    """Shut a connection down, which wakes whoever reads the answer."""
    opened = connection.sock
    if opened is not None:
        with contextlib.suppress(OSError):
            opened.shutdown(socket.SHUT_RDWR)


@dataclasses.dataclass
class Operator:
    """Declares versions in turn, each until it is acknowledged, and reads them back."""

    ports: abc.Sequence[int]
    evidence: evidences.Evidence
    ended: threading.Event
    number: int = 0

    def declare_next(self) -> None:
        """Send the next version until a directory acknowledges it."""
        self.number += 1
        body = make_document(self.number)
        while not self.ended.is_set():
            port = random.choice(self.ports)
            if gateways.ask(port, "PUT", "/v1/declaration", body).status == 200:
                now = time.monotonic()
                done = evidences.Acknowledged("version", self.number, now)
                self.evidence.versions.append(done)
                return
            self.ended.wait(0.1)

    def run(self) -> None:
        """Declare versions until the end, and sometimes resend an older one."""
        while not self.ended.wait(0.6):
            self.declare_next()
            if self.number % 4 == 0:
                older = make_document(self.number - 1)
                gateways.ask(random.choice(self.ports), "PUT", "/v1/declaration", older)

    def run_reads(self) -> None:
        """Read the newest version from random directories until the end."""
        while not self.ended.wait(0.15):
            at = time.monotonic()
            port = random.choice(self.ports)
            found = gateways.ask(port, "GET", "/v1/declaration")
            if found.status == 200:
                number = gateways.read_version(found.body)
                self.evidence.add(evidences.Read(number, at))


def make_document(number: int) -> str:
    """Return a version of the declaration; its workspace's name holds the number."""
    routes = []
    for kind in KINDS:
        streams = kind == "stream"
        route = gateways.make_document(1, prefix=f"/{kind}/")["routes"][0]
        changes = {
            "name": kind,
            "streams": streams,
            "resumable": streams,
            "idempotent": kind == "again",
            "attempts": 1 if kind == "once" else 3,
            "public": False,
        }
        routes.append({**route, **changes})
    fatal = gateways.make_document(1, prefix=evidences.FATAL_PREFIX)["routes"][0]
    routes.append({**fatal, "name": "fatal", "idempotent": True, "attempts": 3})
    workspaces = [{"name": f"version-{number}", "keys": ["k"]}]
    return gateways.write_document(number, routes=routes, workspaces=workspaces)
