"""Upstreams that certain requests crash, and that restart after a delay."""

import contextlib
import http.server
import socket
import threading
import time

from tests import gateways

#: The body of a request that crashes every upstream that begins to run it.
FATAL = b"fatal"
#: Seconds until a crashed upstream restarts, and between two announcements.
BACK_SECONDS = 0.8
ANNOUNCE_SECONDS = 0.3
#: Run time in seconds of a normal request, and of a fatal one until the crash.
WORK_SECONDS = 0.05
FATAL_SECONDS = 0.02


class Start:
    """One incarnation of an upstream: listener, connections and announcements."""

    slots = 8

    def __init__(self, fleet, identity):
        self.fleet = fleet
        self.identity = identity
        self.ended = threading.Event()
        self.connections = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                outer.connections.append(self.connection)

            def do_POST(self):  # noqa: N802 (the library's name)
                with contextlib.suppress(OSError):
                    outer.answer(self)

            def log_message(self, *args):
                return

        self.server = Server((gateways.HOST, 0), Handler)
        for work in (self.server.serve_forever, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def answer(self, handler):
        """Run one request; a fatal one crashes the upstream midway."""
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        self.fleet.runs.append((time.monotonic(), self.identity, body))
        if body.startswith(FATAL):
            time.sleep(FATAL_SECONDS)
            self.end()
            return
        time.sleep(WORK_SECONDS)
        if self.ended.is_set():
            return
        handler.send_response(200)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")

    def announce(self):
        """Announce this incarnation periodically until it crashes."""
        sequence = 0
        while not self.ended.wait(ANNOUNCE_SECONDS if sequence else 0.0):
            sequence += 1
            address = f"{gateways.HOST}:{self.server.server_address[1]}"
            row = gateways.make_row(address, sequence, slots=self.slots)
            port = self.fleet.ports[sequence % len(self.fleet.ports)]
            gateways.announce(port, self.identity, row)

    def end(self):
        """Crash as a process does: close the listener and all connections."""
        if self.ended.is_set():
            return
        self.ended.set()
        self.fleet.ends.append((time.monotonic(), self.identity))
        # A close alone takes effect only once the server's polling thread wakes up.
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.server.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.server.shutdown, daemon=True).start()


class Server(http.server.ThreadingHTTPServer):
    """A server that logs no errors about connections that end early."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignore the error: connections are closed on purpose here."""


class Fleet:
    """A set of upstreams, each restarted ``back_seconds`` after it crashed.

    ``runs`` and ``ends`` record requests run and crashes, with the monotonic time of
    this process.
    """

    start_class = Start
    back_seconds = BACK_SECONDS

    def __init__(self, ports, count):
        self.ports = ports
        self.runs = []
        self.ends = []
        self.starts = [
            self.start_class(self, f"u{number}-1") for number in range(count)
        ]
        self.stopped = threading.Event()
        threading.Thread(target=self.restart_crashed, daemon=True).start()

    def restart_crashed(self):
        """Restart crashed upstreams until stopped."""
        number = len(self.starts)
        while not self.stopped.wait(0.05):
            limit = time.monotonic() - self.back_seconds
            back = {identity for at, identity in self.ends if at < limit}
            for place, start in enumerate(self.starts):
                if start.identity in back:
                    number += 1
                    self.starts[place] = self.start_class(self, f"u{place}-{number}")

    def stop(self):
        """Stop all upstreams without restarting them."""
        self.stopped.set()
        for start in self.starts:
            start.end()

    def list_runs(self, body):
        """Return the start time of each run of a request with this body."""
        return [at for at, _, found in self.runs if found == body]
