"""Processes of a host that was suspended for seconds account for the elapsed time.

CLOCK_MONOTONIC does not count a suspension. A process that measured by it would
continue as if no time had passed: wait for answers past their deadline, and send
requests whose callers have timed out.
"""

import contextlib
import tempfile
import threading
import time
import unittest

from tests import gateways, suspension

#: Deadline of a request, and length of a suspension, which exceeds it.
WHOLE_SECONDS = 3.0
SUSPENDED_SECONDS = 4.0


class Silent(gateways.Upstream):
    """An upstream that holds each request until ``release_requests`` is set."""

    def __init__(self, identity):
        self.release_requests = threading.Event()
        super().__init__(identity)

    def answer(self, handler):
        """Record one request, and close its connection later without an answer."""
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        self.seen.append(handler.headers["Trestlestall-Request"])
        self.release_requests.wait(60.0)
        handler.close_connection = True


class SuspendedGatewayTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        self.host = suspension.Host(folder)
        self.system = gateways.Deployment(folder, directories=1, gateways=1)
        stack.callback(self.system.stop_all)
        self.silent = [Silent("u1"), Silent("u2")]
        for one in self.silent:
            stack.callback(one.stop)
            stack.callback(one.release_requests.set)
        # Its link breaks meanwhile, and alone a gateway has a small retry budget.
        self.system.settings["retries"] = {"ratio": 50.0}
        (gateway,) = self.system.gateways
        self.system.hosts[gateway] = self.host
        self.system.start_all()
        document = gateways.make_document(5)
        document["routes"][0].update(
            idempotent=True, attempts=2, whole_seconds=WHOLE_SECONDS, first_seconds=2.9
        )
        self.assertEqual(self.system.declare(document), 200)
        (self.directory,) = self.system.names
        (self.gateway,) = self.system.gateways
        for one in self.silent:
            self.assertEqual(one.announce(self.system.ports[self.directory]), 200)
        gateways.wait_until(lambda: self.system.is_ready(self.gateway), "ready")

    def suspend_at_work(self, meanwhile):
        """Suspend the gateway while a request runs.

        Returns the request's status, and the seconds from the gateway's resumption to
        the answer.
        """
        ended = []

        def ask():
            port = self.system.ports[self.gateway]
            headers = {"Host": "api", "Trestlestall_Request": "r1"}
            found = gateways.ask(port, "POST", "/work/x", b"b", timeout=20.0, **headers)
            ended.append((found.status, time.monotonic()))

        asking = threading.Thread(target=ask)
        asking.start()
        gateways.wait_until(lambda: self.count_runs() == 1, "it runs")
        with self.host.suspended(self.system.running[self.gateway]):
            meanwhile()
            time.sleep(SUSPENDED_SECONDS)
        resumed = time.monotonic()
        asking.join(20.0)
        ((status, at),) = ended
        return status, at - resumed

    def list_suspensions(self):
        """Return the length in seconds of each suspension that the gateway logged."""
        events = self.system.running[self.gateway].read_events()
        return [one["seconds"] for one in events if one["name"] == "host_suspended"]

    def count_runs(self):
        return sum(len(one.seen) for one in self.silent)

    def test_a_request_whose_time_is_over_is_ended_and_not_waited_for(self):
        status, seconds = self.suspend_at_work(lambda: None)
        gateways.wait_until(lambda: self.list_suspensions(), "the log line")
        (noticed,) = self.list_suspensions()
        self.assertAlmostEqual(noticed, SUSPENDED_SECONDS, delta=0.5)
        port = self.system.ready[self.gateway]
        shown = gateways.ask(port, "GET", "/metrics").body.decode()
        self.assertNotIn("trestlestall_host_suspended_seconds 0.0", shown)
        self.assertEqual(status, 504)
        # By CLOCK_MONOTONIC the gateway would wait for another 2.9 s.
        self.assertLess(seconds, 0.6 * WHOLE_SECONDS)

    def test_a_request_whose_time_is_over_is_sent_nowhere(self):
        def break_off():
            for one in self.silent:
                one.release_requests.set()

        status, _ = self.suspend_at_work(break_off)
        self.assertEqual(self.count_runs(), 1)
        self.assertIn(status, (502, 504))


if __name__ == "__main__":
    unittest.main()
