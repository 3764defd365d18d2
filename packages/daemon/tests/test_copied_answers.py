"""An answer counts only if it is known to belong to the request that waits."""

import contextlib
import unittest
from unittest import mock

from packages.daemon.tests import gateway_bench as bench, test_tunnels  # isort: skip

import eventlet

from trestlestall.daemon.gateway import connections, questions
from trestlestall.wire import clocks

REQUEST = "Trestlestall-Request"
REFUSAL = "Trestlestall-Not-Run: 1\r\n"


def encode(request, body="ok", status="200 OK", headers=""):
    """Return an answer that names a request; none for None."""
    if request is not None:
        headers += f"{REQUEST}: {request}\r\n"
    head = f"HTTP/1.1 {status}\r\n{bench.SIGNED}{headers}Content-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}"


def send_late(copy, seen):
    """Return a script that sends ``copy`` before the second answer on a connection.

    ``seen`` gets the ids of the requests that ran, in their order.
    """
    used = set()

    def script(connection, received):
        request = received.find(REQUEST)
        if connection in used:
            connection.sendall(copy.encode())
        used.add(connection)
        seen.append(request)
        connection.sendall(encode(request, f"of {request}").encode())

    return script


class LateAnswerTest(test_tunnels.TunnelCase):
    """An answer too many comes before that of the second request on a connection."""

    copies = {
        "refusal without an id": encode(None, "full", "503 Full", REFUSAL),
        "success without an id": encode(None, "bad"),
        "empty id": encode("", "bad"),
        "id in another case": encode("R-1", "bad"),
        "two ids": encode("r-1", "bad", headers=f"{REQUEST}: r-0\r\n"),
        "two ids, the own one first": encode(
            "r-0", "bad", headers=f"{REQUEST}: r-1\r\n"
        ),
        "interim answer before it": "HTTP/1.1 100 Continue\r\n\r\n"
        + encode(None, "bad"),
        "two at once": encode(None, "bad") + encode("r-0", "bad"),
    }

    def check(self, add):
        """Check that each request gets its own answer, and runs once."""
        for name, copy in self.copies.items():
            with self.subTest(name):
                self.bench = bench.Bench(self.stack, self.document)
                self.peers = []
                seen = []
                add(send_late(copy, seen))
                for number in range(2):
                    request = f"r-{number}"
                    status, _, body = self.bench.ask(
                        "/once/x", Trestlestall_Request=request
                    )
                    self.assertEqual((status, body), (200, f"of {request}"))
                self.assertEqual(seen, ["r-0", "r-1"])
                self.assertEqual(len(set(self.bench.list_ports())), 1)

    def test_the_answer_that_is_not_known_to_be_the_requests_is_skipped(self):
        """Guards against answers that are taken for this send's by their place."""
        self.check(lambda script: self.bench.add("u1", script))

    def test_nor_is_one_taken_through_a_peer(self):
        def add(script):
            self.add_peer()
            self.add("u1", script)

        self.check(add)

    def test_too_many_of_them_end_the_request_without_an_answer_of_another(self):
        copy = encode(None, "bad") * 4
        self.bench.add("u1", send_late(copy, []))
        self.bench.ask("/once/x", Trestlestall_Request="r-0")
        status, _, body = self.bench.ask("/once/x", Trestlestall_Request="r-1")
        self.assertEqual(status, 502)
        self.assertNotIn("bad", body)

    def test_none_is_taken_for_the_answer_to_a_head_request(self):
        for copy in (encode("r-0", "bad"), encode(None, "bad"), encode(None, "")):
            self.bench = bench.Bench(self.stack, self.document)
            self.bench.add("u1", send_late(copy, []))
            self.bench.ask("/once/x", Trestlestall_Request="r-0")
            caller = self.bench.call()
            caller.ask("/once/x", method="HEAD", Trestlestall_Request="r-1")
            status, head = caller.read_head()
            self.assertTrue(status == 502 or f"{REQUEST}: r-1" in head, head)

    def test_an_upstream_that_names_no_request_gets_a_connection_for_each(self):
        """Guards against late answers that nothing tells from the one that is due."""

        def serve(connection, received):
            connection.sendall(encode(None).encode())

        made = self.bench.add("u1", serve)
        for number in range(3):
            answered = self.bench.ask("/once/x", Trestlestall_Request=f"r-{number}")
            self.assertEqual(answered[0], 200)
        self.assertEqual(made.connections, 3)


class SameIdTest(test_tunnels.TunnelCase):
    """A request with the id of one that was answered on a connection is sent again."""

    firsts = {
        "refusal": ("503 Full", REFUSAL, 503),
        "failure": ("500 Internal Server Error", "", 500),
        "success": ("200 OK", "", 200),
    }

    def check(self, add):
        """Check that the copy of the first answer is not that of the second send."""
        for name, (status, headers, expected) in self.firsts.items():
            with self.subTest(name):
                self.bench = bench.Bench(self.stack, self.document)
                self.peers = []
                first = encode("r-1", "first", status, headers)
                used = set()

                def serve(connection, received, first=first, used=used):
                    if not used:
                        used.add(connection)
                        connection.sendall(first.encode())
                        return
                    copy = first if connection in used else ""
                    connection.sendall((copy + encode("r-1", "second")).encode())

                add(serve)
                self.assertEqual(self.bench.ask("/once/x")[0], expected)
                status, _, body = self.bench.ask("/once/x")
                self.assertEqual((status, body), (200, "second"))

    def test_a_copy_does_not_answer_the_same_id_again(self):
        """Guards against 'not run' for a request that runs."""
        self.check(lambda script: self.bench.add("u1", script))

    def test_nor_through_a_peer(self):
        def add(script):
            self.add_peer()
            self.add("u1", script)

        self.check(add)


class FormerProcessTest(unittest.TestCase):
    """Answers to a gateway's former process come through a link of the next one."""

    def test_no_answer_to_a_former_question_is_taken(self):
        """Guards against an answer to one question that counts for another."""
        calls = []
        for _ in range(2):
            asking = questions.Questions()
            asking.list_directories = lambda: ["directory"]
            asking.send = lambda name, call: calls.append(call)
            with mock.patch.object(questions, "ANSWER_SECONDS", 0.01):
                asking.ask(lambda token: token, lambda answer: True)
        self.assertNotEqual(*calls)


class PoolTest(unittest.TestCase):
    """Which idle connection a request may have."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.pool = connections.Pool()
        self.listening = self.stack.enter_context(
            contextlib.closing(eventlet.listen(("127.0.0.1", 0)))
        )
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"

    def use(self, *requests):
        """Return a connection that was used for these requests and is idle."""
        opened = self.pool.open(self.address, 1.0)
        for request in requests:
            opened.record_request(request)
        self.pool.release(opened, None)
        return opened

    def test_a_connection_is_left_to_other_requests_than_it_has_carried(self):
        first, last = self.use("r-1"), self.use("r-2", "r-3")
        self.assertIs(self.pool.take(self.address, "r-3"), first)
        self.assertIsNone(self.pool.take(self.address, "r-2"))
        self.assertIs(self.pool.take(self.address, "r-1"), last)

    def test_data_that_waited_unread_does_not_show_a_live_process(self):
        """Guards against a former process's bytes that prove the next one."""
        opened = self.pool.open(self.address, 1.0)
        accepted, _ = self.listening.accept()
        accepted.sendall(b"late")
        self.assertTrue(bench.wait_until(opened.is_readable))
        next_opened_at = clocks.read()
        self.assertEqual(opened.receive(1.0), b"late")
        self.assertLess(opened.alive_at, next_opened_at)
        accepted.sendall(b"new")
        self.assertEqual(opened.receive(1.0), b"new")
        self.assertGreaterEqual(opened.alive_at, next_opened_at)

    def test_a_connection_is_closed_once_it_remembers_enough_requests(self):
        """Guards against memory that grows with each request on a connection."""
        self.use(*map(str, range(connections.MAX_REQUESTS)))
        self.assertIsNone(self.pool.take(self.address, "other"))
