"""A stand-in of the platform that takes the calls of duties and checks them."""

import http.server
import json
import threading
import time

from packages.duties.tests import checks

HOST = "127.0.0.1"
USAGE, ORDERS = "/v1/usage", "/v1/orders"


class Server(http.server.ThreadingHTTPServer):
    """Says nothing of connections that are reset: that is how a call is given up."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        return


class Platform:
    """Takes reports and orders; ``faults`` is what went wrong, ``note`` gets each call.

    ``script`` names the statuses of the next calls, ``silent`` keeps calls waiting. No
    call is excused: nothing here cuts the way of one that was sent.
    """

    def __init__(self, lease, note=lambda call: None):
        self.note = note
        self.record = checks.Platform(lease)
        self.faults = []
        self.usage = {}
        self.orders = {}
        self.calls = []
        self.script = []
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
        """Where it listens."""
        return f"{HOST}:{self.server.server_address[1]}"

    def answer(self, handler):
        """Take one call."""
        length = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(length))
        if self.silent.is_set():
            time.sleep(5.0)
            return
        with self._lock:
            status = self.script.pop(0) if self.script else 200
            self.calls.append((handler.path, status))
            if status == 200:
                self.take(handler, body)
        handler.send_response(status)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def take(self, handler, body):
        """Note what was taken, and whether it breaks a promise."""
        holder = handler.headers["Trestlestall-Holder"]
        token = int(handler.headers["Trestlestall-Token"])
        window, counts = body.get("window", 0), body.get("requests", {})
        if handler.path == ORDERS:
            subject = body["service"], body["data_centre"], body["reclaimable"]
            self.orders[subject] = body["count"]
            window, counts = -len(self.calls), {}
        try:
            call = checks.Call(time.monotonic(), holder, token, window, counts)
            self.note(call)
            self.record.take(call)
        except checks.Breach as breach:
            self.faults.append(str(breach))
        if handler.path == USAGE:
            self.usage[window] = counts

    def count(self, workspace):
        """Return how many requests of a workspace were reported in all."""
        return sum(counts.get(workspace, 0) for counts in self.usage.values())

    def stop(self):
        """Serve no longer."""
        self.server.shutdown()
        self.server.server_close()
