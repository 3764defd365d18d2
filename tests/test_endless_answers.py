"""A gateway serves on while upstreams send it bytes without end.

Failure guarded against: a body without a length and without an end was held up to the
end of the request's time, 169 MB of one answer.
"""

import contextlib
import socket
import threading
import time
import unittest

from tests import gateways, signalling

#: The memory of a gateway's process, which hosts of 160 MB must bear, and the requests
#: that are answered without end at one time.
MEMORY_BYTES = 160e6
ENDLESS_REQUESTS = 12
#: Seconds in which a request must be served meanwhile.
SERVED_SECONDS = 1.0
PART = b"x" * 65536
EVENTS = b"data: x\n\n" * 4000
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"


class Upstream(signalling.Upstream):
    """An upstream that answers requests on some paths without end."""

    def answer(self, handler):
        head, part = {
            "/work/body": (HEAD + b"\r\n", PART),
            "/work/events": (HEAD + b"Content-Type: text/event-stream\r\n\r\n", EVENTS),
        }.get(handler.path, (b"", b""))
        if not part:
            super().answer(handler)
            return
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        handler.close_connection = True
        handler.wfile.write(head)
        while not self.stopped.is_set():
            handler.wfile.write(part)


class ServeOnTest(signalling.OneUpstreamCase):
    upstream_type = Upstream

    def read_to_end(self, path, request):
        """Send a request, read its answer as fast as it comes, and keep its head."""
        address = gateways.HOST, self.system.ports[self.asked]
        head = f"POST {path} HTTP/1.1\r\nHost: api\r\nTrestlestall-Request: {request}"
        with contextlib.suppress(OSError), socket.create_connection(address) as caller:
            caller.sendall(f"{head}\r\nConnection: close\r\n\r\n".encode())
            caller.settimeout(10.0)
            self.heads.append(caller.recv(len(PART)))
            while caller.recv(len(PART)):
                pass

    def check_served_on(self, path, count, status):
        """Check that requests are served while others are answered without end."""
        self.heads = []
        readers = [
            threading.Thread(
                target=self.read_to_end, args=(path, f"endless-{number}"), daemon=True
            )
            for number in range(count)
        ]
        for reader in readers:
            reader.start()
        slowest = 0.0
        while any(reader.is_alive() for reader in readers):
            started = time.monotonic()
            self.assertEqual(self.system.ask(self.asked), 200)
            slowest = max(slowest, time.monotonic() - started)
            time.sleep(0.05)
        self.assertLess(slowest, SERVED_SECONDS)
        statuses = [head.split(b" ")[1] for head in self.heads]
        self.assertEqual(statuses, [status] * count)

    def test_bodies_without_end(self):
        self.check_served_on("/work/body", ENDLESS_REQUESTS, b"502")
        self.assertLess(self.read_most_memory(), MEMORY_BYTES)

    def test_events_without_end(self):
        self.check_served_on("/work/events", 2, b"200")

    def read_most_memory(self):
        """Return the most memory that the gateway has had, in bytes."""
        pid = self.system.running[self.asked].pid
        with open(f"/proc/{pid}/status") as lines:
            (found,) = (line for line in lines if line.startswith("VmHWM"))
        return 1024 * int(found.split()[1])


if __name__ == "__main__":
    unittest.main()
