"""Upstreams that end under certain requests, and start again a while later."""

import contextlib
import http.server
import socket
import threading
import time

from tests import gateways

#: The body of a request that ends each upstream that begins to run it.
FATAL = b"fatal"
#: Seconds until an upstream that ended is back, and between two announcements.
BACK_SECONDS = 0.8
ANNOUNCE_SECONDS = 0.3
#: Seconds for which an upstream works on a request, and on a fatal one until it ends.
WORK_SECONDS = 0.05
FATAL_SECONDS = 0.02


class Start:
    """One start of an upstream: its listener, its connections, its announcements."""

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
        """Run one request; a fatal one ends the process in the middle of it."""
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
        """Announce the start until it has ended."""
        sequence = 0
        while not self.ended.wait(ANNOUNCE_SECONDS if sequence else 0.0):
            sequence += 1
            address = f"{gateways.HOST}:{self.server.server_address[1]}"
            row = gateways.make_row(address, sequence)
            port = self.fleet.ports[sequence % len(self.fleet.ports)]
            gateways.announce(port, self.identity, row)

    def end(self):
        """End as a process does: nobody listens, and all connections are closed."""
        if self.ended.is_set():
            return
        self.ended.set()
        self.fleet.ends.append((time.monotonic(), self.identity))
        # A close alone takes effect only once the thread that polls the socket wakes.
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.server.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.server.shutdown, daemon=True).start()


class Server(http.server.ThreadingHTTPServer):
    """A server that says nothing about connections that end early."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Keep quiet: connections are meant to end here."""


class Fleet:
    """Upstreams by name; each is started again some time after it has ended.

    ``runs`` and ``ends`` are what they saw, by the time of this process.
    """

    def __init__(self, ports, count):
        self.ports = ports
        self.runs = []
        self.ends = []
        self.starts = [Start(self, f"u{number}-1") for number in range(count)]
        self.stopped = threading.Event()
        threading.Thread(target=self.keep_starting, daemon=True).start()

    def keep_starting(self):
        """Start again what ended."""
        number = len(self.starts)
        while not self.stopped.wait(0.05):
            limit = time.monotonic() - BACK_SECONDS
            back = {identity for at, identity in self.ends if at < limit}
            for place, start in enumerate(self.starts):
                if start.identity in back:
                    number += 1
                    self.starts[place] = Start(self, f"u{place}-{number}")

    def stop(self):
        """End all for good."""
        self.stopped.set()
        for start in self.starts:
            start.end()

    def list_runs(self, body):
        """Return when each run with the body began."""
        return [at for at, _, found in self.runs if found == body]
