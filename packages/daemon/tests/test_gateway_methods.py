"""Answers without a body: to HEAD, and by their status."""

import re
from unittest import mock

from packages.daemon.tests import gateway_bench as bench  # isort: skip

from trestlestall.daemon.gateway import callers

RETRY_AFTER = re.compile(r"(?<=^Retry-After: )[0-9.]+$")
UNKNOWN_KEY = {"Authorization": "Bearer unknown"}
FULL = "HTTP/1.1 503 Full\r\nTrestlestall-Not-Run: 1\r\nRetry-After: 7\r\n"


def read_lines(head):
    """Return the lines of a head, without the drawn part of the time to return."""
    return sorted(RETRY_AFTER.sub("", line) for line in head.split("\r\n"))


class HeadTest(bench.GatewayCase):
    """Guards against HEAD requests that the gateway answers itself with no byte."""

    def ask_both(self, path, **headers):
        """Ask GET and HEAD on one connection, twice; return the heads of the last."""
        caller = self.bench.call()
        for number in range(2):
            caller.ask(path, method="GET", Trestlestall_Request=f"g{number}", **headers)
            got = caller.read_answer()
            caller.ask(
                path, method="HEAD", Trestlestall_Request=f"h{number}", **headers
            )
            status, head = caller.read_head()
            self.assertEqual(status, got[0])
            self.assertEqual(caller.data, b"")
        return status, read_lines(got[1]), read_lines(head)

    def test_refusals_have_the_head_that_get_gets(self):
        cases = {
            401: ("/once/x", UNKNOWN_KEY),
            404: ("/nowhere/x", {}),
            503: ("/once/x", {}),
        }
        for status, (path, headers) in cases.items():
            with self.subTest(status=status):
                found, got, head = self.ask_both(path, **headers)
                self.assertEqual((found, head), (status, got))

    def test_full_upstreams(self):
        self.bench.add("u1", bench.send(FULL + "Content-Length: 0\r\n\r\n", keep=True))
        status, got, head = self.ask_both("/once/x")
        self.assertEqual((status, head), (503, got))
        self.assertIn("Retry-After: ", head)

    def test_an_upstreams_answer_keeps_its_length(self):
        def script(connection, received):
            body = "" if received.head.startswith("HEAD") else "hello"
            head = bench.OK + "Content-Length: 5\r\n\r\n"
            connection.sendall((head + body).encode())

        self.bench.add("u1", script)
        status, got, head = self.ask_both("/once/x")
        self.assertEqual((status, head), (200, got))
        self.assertIn("Content-Length: 5", head)

    def test_statuses_without_a_body(self):
        for status in (204, 304):
            with self.subTest(status=status):
                answer = f"HTTP/1.1 {status} None\r\n{bench.SIGNED}\r\n"
                self.doCleanups()
                self.setUp()
                self.bench.add("u1", bench.send(answer, keep=True))
                found, got, head = self.ask_both("/once/x")
                self.assertEqual((found, head), (status, got))


class MalformedTest(bench.GatewayCase):
    def test_head_requests_that_are_refused_before_they_are_whole(self):
        for head, status in (
            ("HEAD /once/x HTTP/1.1\r\n\r\n", 400),
            ("HEAD /once/x HTTP/1.1\r\nHost: api\r\nA: " + "x" * 9000, 431),
        ):
            with self.subTest(status=status):
                caller = self.bench.call()
                caller.socket.sendall(head.encode())
                self.assertEqual(caller.read_head()[0], status)


class FailedTest(bench.GatewayCase):
    """Guards against requests that an error of the program leaves without an answer."""

    def test_a_request_that_fails_here_is_answered_and_logged(self):
        handler = self.bench.gateway.handler
        patched = mock.patch.object(handler, "_admit", side_effect=ValueError("odd"))
        self.enterContext(patched)
        for method in ("GET", "HEAD", "POST"):
            with self.subTest(method=method):
                caller = self.bench.call()
                caller.ask("/once/x", method=method)
                self.assertEqual(caller.read_head()[0], 502)
        lines = self.bench.list_lines("forward_failed")
        self.assertEqual([line["request"] for line in lines], ["r-1"] * 3)
        self.assertEqual(lines[0]["error"], "ValueError: odd")

    def test_an_answer_that_has_begun_does_not_look_whole(self):
        self.bench.add("u1", bench.send(bench.STREAM + bench.frame(bench.event(1))))
        patched = mock.patch.object(
            callers.Caller, "end_answer", side_effect=ValueError("odd")
        )
        self.enterContext(patched)
        caller = self.bench.call()
        caller.ask("/stream/x")
        told = caller.read_to_end()
        self.assertIn(bench.event(1), told)
        self.assertFalse(told.endswith("0\r\n\r\n"))
        self.assertEqual(len(self.bench.list_lines("forward_failed")), 1)
