"""Upstreams that say in answers what they want of gateways, and count what comes."""

import contextlib
import dataclasses
import http.server
import itertools
import threading
import time

from tests import gateways

#: Seconds between two announcements, and for which a request is worked on.
ANNOUNCE_SECONDS = 0.3
WORK_SECONDS = 0.01
LIMIT = "Trestlestall-Limit"
LEAVING = "Trestlestall-Leaving"
REST = "Retry-After"
#: By what callers tell an upstream through which gateway a request comes.
GATEWAY_HEADER = "X-Gateway"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an upstream; ``told`` is what its answer said."""

    at: float
    gateway: str
    status: int
    told: dict


@dataclasses.dataclass(frozen=True)
class Said:
    """How an upstream answers: status and further headers."""

    status: int = 200
    headers: dict = dataclasses.field(default_factory=dict)


class Upstream:
    """One start of an upstream; ``say`` may be changed while it serves.

    ``born`` tells starts under one name apart; 0 leaves it out.
    """

    def __init__(self, ports, identity, say=None, born=0):
        self.ports = ports
        self.identity = identity
        self.born = born
        self.say = say or (lambda gateway: Said())
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
        for work in (self.server.serve_forever, self.keep_announcing):
            threading.Thread(target=work, daemon=True).start()

    def answer(self, handler):
        """Answer one request as ``say`` tells, and note it."""
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        gateway = handler.headers.get(GATEWAY_HEADER, "")
        said = self.say(gateway)
        with self.lock:
            arrival = Arrival(time.monotonic(), gateway, said.status, said.headers)
            self.arrivals.append(arrival)
        time.sleep(WORK_SECONDS)
        handler.send_response(said.status)
        if said.status != 200:
            handler.send_header("Trestlestall-Not-Run", "1")
        for name, value in said.headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")

    def keep_announcing(self):
        """Announce the start until it is stopped."""
        sequence = 0
        while not self.stopped.wait(ANNOUNCE_SECONDS if sequence else 0.0):
            sequence += 1
            row = gateways.make_row(self.address, sequence, born=self.born)
            port = self.ports[sequence % len(self.ports)]
            gateways.announce(port, self.identity, row)

    def stop(self):
        """Serve no longer."""
        if not self.stopped.is_set():
            self.stopped.set()
            self.server.shutdown()
            self.server.server_close()

    def list_arrivals(self):
        """Return the requests that have reached it so far."""
        with self.lock:
            return list(self.arrivals)


class Callers:
    """Callers that ask gateways in turn; ``statuses`` has each answer's, by time."""

    def __init__(self, system, rate):
        self.system = system
        self.pause = 1.0 / rate
        self.answers = []
        self.stopped = threading.Event()
        self.numbers = itertools.count(1)
        self.threads = []

    def ask(self, name):
        """Send one request through a gateway, which the upstream will know by name."""
        request = f"r{next(self.numbers)}"
        headers = {"Host": "api", "Trestlestall_Request": request}
        headers[GATEWAY_HEADER.replace("-", "_")] = name
        port = self.system.ports[name]
        started = time.monotonic()
        found = gateways.ask(port, "POST", "/work/x", b"body", 6.0, **headers)
        self.answers.append((started, name, request, found))
        return found

    @contextlib.contextmanager
    def keep_asking(self, names):
        """Ask these gateways in turn while the block runs.

        What was asked before, until all gateways serve, is no part of ``answers``.
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
            self.stopped.set()
            runner.join()
            for worker in self.threads:
                worker.join()

    def list_statuses(self):
        """Return the statuses that callers got."""
        return {found.status for _, _, _, found in self.answers}

    def list_unserved(self, since=0.0):
        """Return what came in the place of a whole answer, with the gateway's lines."""
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
        """Return the lines of a gateway's log that name a request."""
        lines = self.system.running[name].read_log().splitlines()
        return [line for line in lines if f'"{request}"' in line]
