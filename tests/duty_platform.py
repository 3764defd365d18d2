"""A stand-in for the platform that accepts the calls of duties and checks them."""

import dataclasses
import http.server
import itertools
import json
import threading
import time

from packages.duties.tests import checks

HOST = "127.0.0.1"
USAGE, ORDERS = "/v1/usage", "/v1/orders"


@dataclasses.dataclass(frozen=True)
class ReceivedCall:
    """A call and the status of its answer; ``number`` counts connections as opened."""

    number: int
    path: str
    token: int
    status: int


class Server(http.server.ThreadingHTTPServer):
    """Ignores connection resets: a caller that times out resets its connection.

    ``numbers`` counts the connections in the order of their opening: the threads that
    answer them may run in another one.
    """

    daemon_threads = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.numbers = {}
        self._count = itertools.count()

    def get_request(self):
        """Accept the next connection."""
        opened, address = super().get_request()
        self.numbers[address] = next(self._count)
        return opened, address

    def handle_error(self, request, client_address):
        return


class Platform:
    """Accepts usage reports and scaling orders, and checks them.

    ``faults`` lists the violations found; ``record_call`` is called with each accepted
    call. ``script`` holds the statuses of the next answers, which are delayed by
    ``delay_seconds``; while ``silent`` is set, calls get no answer. No call is excused:
    nothing here delays a call after it was sent.
    """

    def __init__(self, lease, record_call=lambda call: None):
        self.record_call = record_call
        self.record = checks.Platform(lease)
        self.faults = []
        self.usage = {}
        self.orders = {}
        self.calls = []
        self.script = []
        self.delay_seconds = 0.0
        self.silent = threading.Event()
        self._lock = threading.Lock()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802 (the library's name)
                outer.answer(self)

            def log_message(self, *args):
                return

        self.server = Server((HOST, 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def address(self):
        """The address of the listener."""
        return f"{HOST}:{self.server.server_address[1]}"

    def answer(self, handler):
        """Answer one call."""
        length = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(length))
        if self.silent.is_set():
            time.sleep(5.0)
            return
        with self._lock:
            is_scripted = bool(self.script)
            status = self.script.pop(0) if is_scripted else 200
            self.calls.append(self.describe(handler, status))
            if status == 200:
                self.take(handler, body)
        if is_scripted:
            time.sleep(self.delay_seconds)
        handler.send_response(status)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def describe(self, handler, status):
        """Return the record of a call."""
        number = self.server.numbers[handler.client_address]
        token = int(handler.headers["Trestlestall-Token"])
        return ReceivedCall(number, handler.path, token, status)

    def take(self, handler, body):
        """Record an accepted call, and check it against the guarantees of duties."""
        holder = handler.headers["Trestlestall-Holder"]
        token = int(handler.headers["Trestlestall-Token"])
        window, counts = body.get("window", 0), body.get("requests", {})
        if handler.path == ORDERS:
            subject = body["service"], body["data_centre"], body["reclaimable"]
            self.orders[subject] = body["count"]
            window, counts = -len(self.calls), {}
        try:
            call = checks.Call(time.monotonic(), holder, token, window, counts)
            self.record_call(call)
            self.record.take(call)
        except checks.Breach as breach:
            self.faults.append(str(breach))
        if handler.path == USAGE:
            self.usage[window] = counts

    def count(self, workspace):
        """Return the total number of requests reported for a workspace."""
        return sum(counts.get(workspace, 0) for counts in self.usage.values())

    def stop(self):
        """Stop the server."""
        self.server.shutdown()
        self.server.server_close()
