"""Upstreams that send bytes without end: bounded bytes and time, and a true answer."""

import time

from packages.daemon.tests import gateway_bench as bench, test_tunnels  # isort: skip

import eventlet

from trestlestall.daemon import settings

#: More than a gateway reads of any answer here, with the buffers of the kernel.
MOST_BYTES = 24 * 1024 * 1024
#: What the kernel buffers besides for a peer's connection in between.
PEER_BYTES = 10 * 1024 * 1024
#: Seconds within which an upstream must see its connection closed.
CLOSED_SECONDS = 2.0
PART = "x" * 65536
HEAD = "HTTP/1.1 200 OK\r\n" + bench.SIGNED
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
CHUNK = f"{len(PART):x}\r\n{PART}\r\n"
NOT_RUN = "HTTP/1.1 503 Busy\r\nTrestlestall-Not-Run: 1\r\n"
#: What is sent first and then again and again, by the part of an answer it belongs to.
HEADS = {
    "status line": ("HTTP/1.1 200 ", PART),
    "header line": (HEAD + "A: ", PART),
    "header lines": (HEAD, "A: b\r\n" * 1000),
    "interim answers": ("", "HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "no answer": ("", PART),
}
BODIES = {
    "until the end": (HEAD + "\r\n", PART),
    "long length": (HEAD + f"Content-Length: {10**15}\r\n\r\n", PART),
    "chunks": (CHUNKED, CHUNK),
    "chunk size": (CHUNKED, "0" * 65536),
    "chunk extension": (CHUNKED + "5;a=", PART),
    "trailers": (CHUNKED + "0\r\n", "A: b\r\n" * 1000),
    "event": (bench.STREAM, CHUNK),
}


class Endless:
    """A script that sends the first request's answer without end; others are served.

    ``sent`` counts the bytes that the system took, and ``closed_after`` says how many
    seconds after the first one the connection ended.
    """

    def __init__(self, head, part, pause=0.0, first=1):
        self.head, self.part, self.pause = head.encode(), part.encode(), pause
        self.left = first
        self.sent = 0
        self.closed_after = None

    def __call__(self, connection, received):
        if self.left <= 0:
            return bench.answer("")(connection, received)
        self.left -= 1
        started = time.monotonic()
        try:
            connection.sendall(self.head)
            while self.sent < 4 * MOST_BYTES:
                self.sent += connection.send(self.part)
                eventlet.sleep(self.pause)
        except OSError:
            self.closed_after = time.monotonic() - started
        return False


class EndlessCase(bench.GatewayCase):
    most_bytes = MOST_BYTES

    def begin(self, script, count=2):
        """Start upstreams that share a script."""
        for number in range(count):
            self.bench.add(f"u{number}", script)

    def check_left(self, script):
        """Check that the upstream was left, after a bounded number of bytes."""
        ended = bench.wait_until(lambda: script.closed_after is not None)
        self.assertTrue(ended, f"{script.sent} bytes")
        self.assertLess(script.closed_after, CLOSED_SECONDS)
        self.assertLess(script.sent, self.most_bytes)


class OtherUpstreamTest(EndlessCase):
    def check_served(self, cases, path, **options):
        for name, (head, part) in cases.items():
            with self.subTest(part=name):
                script = Endless(head, part, **options)
                self.renew()
                self.begin(script)
                status, _, _ = self.bench.ask(path)
                self.assertEqual(status, 200)
                self.check_left(script)

    def test_a_request_that_may_be_repeated_is_served_elsewhere(self):
        self.check_served(HEADS | BODIES, "/again/x")

    def test_a_head_that_trickles_in_is_left_in_time(self):
        for name, (head, part) in HEADS.items():
            with self.subTest(part=name):
                script = Endless(head, part[:25], pause=0.01)
                self.renew()
                self.begin(script)
                self.assertEqual(self.bench.ask("/again/x")[0], 200)
                self.check_left(script)

    def test_a_request_that_was_not_run_is_served_elsewhere(self):
        """Guards against a refusal that is taken for a run as its body has no end."""
        cases = {
            "until the end": (NOT_RUN + "\r\n", PART),
            "long length": (NOT_RUN + f"Content-Length: {10**15}\r\n\r\n", PART),
            "chunks": (NOT_RUN + "Transfer-Encoding: chunked\r\n\r\n", CHUNK),
        }
        self.check_served(cases, "/once/x")

    def test_a_refusal_whose_body_trickles_in_is_left_in_time(self):
        cases = {"until the end": (NOT_RUN + "\r\n", "x")}
        self.check_served(cases, "/once/x", pause=0.01)
        self.check_served(cases, "/once/x", pause=0.5)

    def test_an_answer_to_another_request_is_left(self):
        head = HEAD + "Trestlestall-Request: other\r\n\r\n"
        self.check_served({"foreign": (head, PART)}, "/again/x")


class OneUpstreamTest(EndlessCase):
    def test_a_request_that_may_have_run_is_not_told_otherwise(self):
        for name, (head, part) in (HEADS | BODIES).items():
            with self.subTest(part=name):
                script = Endless(head, part, first=9)
                self.renew()
                self.begin(script, count=1)
                status, head, _ = self.bench.ask("/once/x")
                self.assertEqual(status, 502)
                self.assertNotIn("Not-Run", head)
                self.check_left(script)

    def test_a_body_that_trickles_in_ends_with_the_time_of_the_route(self):
        for name, (head, part) in BODIES.items():
            with self.subTest(part=name):
                script = Endless(head, part[:25], pause=0.01, first=9)
                self.renew()
                self.begin(script, count=1)
                status, _, _ = self.bench.ask("/short/x")
                self.assertIn(status, (502, 504))
                self.check_left(script)

    def test_a_stream_is_cut_where_an_event_has_no_end(self):
        first = bench.frame(bench.event(1), end=False)
        script = Endless(bench.STREAM + first, CHUNK)
        self.begin(script, count=1)
        caller = self.bench.call()
        caller.ask("/stream/x")
        told = caller.read_to_end()
        self.assertIn(bench.event(1), told)
        self.assertNotIn("0\r\n\r\n", told)
        self.check_left(script)

    def test_bytes_after_a_whole_answer_close_the_connection(self):
        cases = {
            "length": (HEAD + "Content-Length: 2\r\n\r\nok", PART),
            "chunks": (CHUNKED + bench.frame("ok"), PART),
            "another answer": (HEAD + "Content-Length: 2\r\n\r\nok", HEAD),
        }
        for name, (head, part) in cases.items():
            for pause in (0.0, 0.01):
                with self.subTest(part=name, pause=pause):
                    script = Endless(head, part, pause)
                    self.renew()
                    self.begin(script, count=1)
                    status, _, body = self.bench.ask("/once/x")
                    self.assertEqual((status, body[:2]), (200, "ok"))
                    self.check_left(script)

    def test_many_at_one_time_are_held_within_one_bound(self):
        script = Endless(HEAD + "\r\n", PART, pause=0.001, first=99)
        self.begin(script, count=4)
        bound = 4 * 1024 * 1024
        most = 0
        buffers = self.bench.gateway.handler.buffers
        buffers.limits = settings.Answers(held_bytes=bound)
        asking = [eventlet.spawn(self.bench.ask, "/once/x") for _ in range(40)]
        while not all(one.dead for one in asking):
            most = max(most, buffers.held_bytes)
            eventlet.sleep(0.001)
        self.assertEqual({one.wait()[0] for one in asking}, {502})
        self.assertLessEqual(most, bound + 40 * 65536)
        self.assertEqual(buffers.held_bytes, 0)


class ThroughPeerTest(test_tunnels.TunnelCase, EndlessCase):
    most_bytes = MOST_BYTES + PEER_BYTES

    def test_an_upstream_that_a_peer_reaches_is_left(self):
        for name, (head, part) in (HEADS | BODIES).items():
            with self.subTest(part=name):
                script = Endless(head, part, first=9)
                self.renew()
                self.add_peer()
                self.add("u1", script)
                self.assertEqual(self.bench.ask("/once/x")[0], 502)
                self.check_left(script)
