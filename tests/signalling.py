"""Upstreams that send signals to gateways in response headers and record requests."""

import contextlib
import dataclasses
import http.server
import itertools
import tempfile
import threading
import time
import unittest

from tests import gateways

#: Seconds between two announcements, and the run time of a request.
ANNOUNCE_SECONDS = 0.3
WORK_SECONDS = 0.01
LIMIT_HEADER = "Trestlestall-Limit"
LEAVING_HEADER = "Trestlestall-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
#: Request header in which callers name the gateway that they send through.
GATEWAY_HEADER = "X-Gateway"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an upstream, and the signal headers of its response."""

    at: float
    gateway: str
    status: int
    sent_headers: dict
    request: str = ""


@dataclasses.dataclass(frozen=True)
class Reply:
    """An upstream's response: status and additional headers."""

    status: int = 200
    headers: dict = dataclasses.field(default_factory=dict)


class Upstream:
    """One incarnation of an upstream.

    ``make_reply`` returns the response to a request, given the gateway's name; a test
    may replace it at run time. ``born`` distinguishes incarnations under one name; 0
    omits it.
    """

    def __init__(self, ports, identity, make_reply=None, born=0):
        self.ports = ports
        self.identity = identity
        self.born = born
        self.make_reply = make_reply or (lambda gateway: Reply())
        self.arrivals = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802 (the library's name)
                with contextlib.suppress(OSError):
                    outer.answer(self)

            def log_message(self, *args):
                return

        self.server = http.server.ThreadingHTTPServer((gateways.HOST, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{gateways.HOST}:{self.server.server_address[1]}"
        for work in (self.server.serve_forever, self.announce_periodically):
            threading.Thread(target=work, daemon=True).start()

    def answer(self, handler):
        """Answer one request with ``make_reply``, and record its arrival."""
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        gateway = handler.headers.get(GATEWAY_HEADER, "")
        reply = self.make_reply(gateway)
        with self.lock:
            request = handler.headers.get("Trestlestall-Request", "")
            arrival = Arrival(
                time.monotonic(), gateway, reply.status, reply.headers, request
            )
            self.arrivals.append(arrival)
        time.sleep(WORK_SECONDS)
        handler.send_response(reply.status)
        if reply.status != 200:
            handler.send_header("Trestlestall-Not-Run", "1")
        for name, value in reply.headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")

    def announce_periodically(self):
        """Announce this incarnation periodically until it is stopped."""
        sequence = 0
        while not self.stopped.wait(ANNOUNCE_SECONDS if sequence else 0.0):
            sequence += 1
            row = gateways.make_row(self.address, sequence, born=self.born)
            port = self.ports[sequence % len(self.ports)]
            gateways.announce(port, self.identity, row)

    def stop(self):
        """Stop the server."""
        if not self.stopped.is_set():
            self.stopped.set()
            self.server.shutdown()
            self.server.server_close()

    def list_arrivals(self):
        """Return the requests received so far."""
        with self.lock:
            return list(self.arrivals)


class OneUpstreamCase(unittest.TestCase):
    """A directory, and gateways of which the first one is ``asked``, with one upstream.

    ``upstream_type`` is its class.
    """

    gateways = 1
    upstream_type = Upstream

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        temporary = tempfile.TemporaryDirectory(prefix="trestle-")
        folder = self.stack.enter_context(temporary)
        self.system = gateways.Deployment(folder, 1, self.gateways)
        self.asked = self.system.gateways[0]
        self.prepare(folder)
        self.stack.callback(self.system.stop_all)
        self.system.start_all()
        self.assertEqual(self.system.declare(self.make_document()), 200)
        ports = [self.system.ports[name] for name in self.system.names]
        self.upstream = self.upstream_type(ports, "u1")
        self.stack.callback(self.upstream.stop)
        self.connect()
        gateways.wait_until(lambda: self.system.ask(self.asked) == 200, "served")

    def make_document(self):
        """Return the declaration, whose paths below ``/work/`` are for any request."""
        return gateways.make_document(5)

    def prepare(self, folder):
        """Prepare the links of gateways before they start."""

    def connect(self):
        """Prepare the links to the upstream."""


class Callers:
    """Callers that send requests to gateways in turn; ``answers`` has the results.

    The requests of each gateway are for the ``paths`` in turn. ``load_ended_at`` is
    when the last load ended; its answers may come later.
    """

    def __init__(self, system, rate, paths=("/work/x",)):
        self.system = system
        self.paths = paths
        self.pause = 1.0 / rate
        self.answers = []
        self.stopped = threading.Event()
        self.load_ended_at = 0.0
        self.numbers = itertools.count(1)
        self.threads = []

    def ask(self, name):
        """Send one request through a gateway, naming the gateway in a header."""
        number = next(self.numbers)
        request = f"r{number}"
        headers = {"Host": "api", "Trestlestall_Request": request}
        headers[GATEWAY_HEADER.replace("-", "_")] = name
        port = self.system.ports[name]
        started = time.monotonic()
        path = self.paths[number // len(self.system.gateways) % len(self.paths)]
        found = gateways.ask(port, "POST", path, b"body", 6.0, **headers)
        self.answers.append((started, name, request, found))
        return found

    @contextlib.contextmanager
    def generate_load(self, names):
        """Send requests to these gateways in turn while the block runs.

        Clears ``answers`` first, so that warm-up requests are not counted.
        """
        self.answers.clear()

        def run():
            count = 0
            due = time.monotonic()
            while not self.stopped.is_set():
                name = names[count % len(names)]
                count += 1
                worker = threading.Thread(target=self.ask, args=(name,), daemon=True)
                worker.start()
                self.threads.append(worker)
                due += self.pause
                self.stopped.wait(max(0.0, due - time.monotonic()))

        runner = threading.Thread(target=run, daemon=True)
        runner.start()
        try:
            yield
        finally:
            self.load_ended_at = time.monotonic()
            self.stopped.set()
            runner.join()
            for worker in self.threads:
                worker.join()

    def list_statuses(self):
        """Return the set of response statuses."""
        return {found.status for _, _, _, found in self.answers}

    def list_failures(self, since=0.0):
        """Return requests without a 200, each with the gateway's log lines."""
        unserved = [
            (name, request, found)
            for at, name, request, found in self.answers
            if at >= since and found.status != 200
        ]
        return [
            (request, found.status, self.find_lines(name, request))
            for name, request, found in unserved
        ]

    def find_lines(self, name, request):
        """Return the lines of a gateway's log that contain a request id."""
        lines = self.system.running[name].read_log().splitlines()
        return [line for line in lines if f'"{request}"' in line]
