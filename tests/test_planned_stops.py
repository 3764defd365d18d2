"""A planned stop cuts no request off: what comes late is served whole, or refused."""

import collections
import contextlib
import dataclasses
import http.client
import itertools
import signal
import threading
import time
import unittest

from tests import gateways, signalling

REQUEST = "Trestlestall-Request"
#: Seconds that each kind of request runs, on routes that allow ``WHOLE_SECONDS``: at
#: most what is left of the grace period once callers are told of the stop.
RUN_SECONDS = {"quick": 0.3, "slow": 4.6, "events": 2.0, "upload": 0.3}
WHOLE_SECONDS = 5.0
EVENT_SECONDS = 0.1
EVENT = b"data: x\n\n"
UPLOAD_PARTS, PART = 20, b"z" * 50_000
#: Seconds between the parts of an upload.
PART_SECONDS = 0.12
#: Connections of callers for each kind of request, and seconds between their starts.
CONNECTIONS = 4
STAGGER_SECONDS = 1.2
BEFORE_SECONDS = 1.5
#: Seconds after the signal from which a request comes late in the grace period, and
#: from which an answer ends late in it.
LATE_SECONDS = 3.0
LATE_END_SECONDS = 6.0
#: Seconds within which a request that is not read any more must see the end.
SLACK_SECONDS = 0.2


class Upstream(signalling.Upstream):
    """Runs each kind of request for as long as that takes."""

    def answer(self, handler):
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        kind = handler.path.split("/")[1]
        request = handler.headers[REQUEST]
        arrival = signalling.Arrival(time.monotonic(), "", 200, {}, request)
        self.arrivals.append(arrival)
        if kind in RUN_SECONDS:
            self.run(handler, RUN_SECONDS[kind], kind == "events")
        else:
            self.run(handler, 0.0, False)

    def run(self, handler, seconds, streams):
        """Answer with events while the request runs, or once it has run."""
        handler.close_connection = True
        handler.send_response(200)
        if streams:
            handler.send_header("Content-Type", "text/event-stream")
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            for _ in range(round(seconds / EVENT_SECONDS)):
                time.sleep(EVENT_SECONDS)
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
            handler.wfile.write(b"0\r\n\r\n")
            return
        time.sleep(seconds)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")


@dataclasses.dataclass(frozen=True)
class Try:
    """A request; status 0 means that the connection ended without a whole answer.

    ``sent_at`` is when its last byte was sent; infinite if it ended before that.
    """

    request: str
    kind: str
    sent_at: float
    ended_at: float
    status: int


class Callers:
    """Callers who send on connections that they keep until the gateway is gone."""

    def __init__(self, port):
        self.port = port
        self.tries = []
        self.numbers = itertools.count(1)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.call, args=(kind, number), daemon=True)
            for kind in RUN_SECONDS
            for number in range(CONNECTIONS)
        ]

    def call(self, kind, number):
        """Send requests of a kind, and connect anew where a connection has ended."""
        time.sleep(number * STAGGER_SECONDS)
        while not self.stopped.is_set():
            connection = http.client.HTTPConnection(gateways.HOST, self.port, timeout=9)
            try:
                connection.connect()
            except OSError:
                return  # the process is gone
            connection.auto_open = False
            with contextlib.closing(connection):
                while not self.stopped.is_set() and self.ask(connection, kind):
                    pass

    def ask(self, connection, kind):
        """Send one request; return whether the connection can carry another one."""
        request = f"r{next(self.numbers)}"
        status, sent_at = 0, float("inf")
        try:
            self.send(connection, kind, request)
            sent_at = time.monotonic()
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            pass  # recorded as a try without an answer
        made = Try(request, kind, sent_at, time.monotonic(), status)
        self.tries.append(made)
        return status and connection.sock is not None

    def send(self, connection, kind, request):
        """Send a request, an upload part by part."""
        parts = UPLOAD_PARTS if kind == "upload" else 0
        connection.putrequest("POST", f"/{kind}/x", skip_host=True)
        connection.putheader("Host", "api")
        connection.putheader(REQUEST, request)
        connection.putheader("Content-Length", str(parts * len(PART)))
        connection.endheaders()
        for _ in range(parts):
            connection.send(PART)
            time.sleep(PART_SECONDS)


class PlannedStopTest(signalling.OneUpstreamCase):
    upstream_type = Upstream

    def make_document(self):
        (route,) = gateways.make_document(5)["routes"]
        routes = [
            {
                **route,
                "name": kind,
                "prefix": f"/{kind}/",
                "streams": kind == "events",
                "whole_seconds": WHOLE_SECONDS,
            }
            for kind in RUN_SECONDS
        ]
        return gateways.make_document(5, routes=[route, *routes])

    def stop_under_load(self):
        """Stop the gateway while callers send; return when it was told to."""
        self.callers = Callers(self.system.ports[self.asked])
        for thread in self.callers.threads:
            thread.start()
        time.sleep(BEFORE_SECONDS)
        process = self.system.running[self.asked]
        process.send_signal(signal.SIGTERM)
        told_at = time.monotonic()
        self.assertEqual(process.child.wait(12), 0)
        self.callers.stopped.set()
        for thread in self.callers.threads:
            thread.join(10.0)
        return told_at

    def test_late_requests_are_served_whole_or_refused(self):
        """Guards against requests that are passed on and cut as the process ends."""
        told_at = self.stop_under_load()
        arrived = {one.request for one in self.upstream.list_arrivals()}
        late = collections.Counter()
        for one in self.callers.tries:
            if one.status == 0:
                self.assertNotIn(one.request, arrived, one)
                self.assertLess(one.ended_at - one.sent_at, SLACK_SECONDS, one)
            elif one.status != 200:
                self.assertEqual(one.status, 503, one)
                self.assertNotIn(one.request, arrived, one)
            if told_at + LATE_SECONDS < one.sent_at < one.ended_at:
                late[one.kind, one.status] += 1
        refused = {kind for kind, status in late if status == 503}
        self.assertEqual(refused, set(RUN_SECONDS), late)
        served = [one.ended_at for one in self.callers.tries if one.status == 200]
        self.assertGreater(max(served), told_at + LATE_END_SECONDS)


if __name__ == "__main__":
    unittest.main()
