"""The bodies of requests that a process holds, and how they are received."""

import contextlib
import gc
import random
import tracemalloc
import unittest

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import h11

from trestlestall.daemon.http import bodies, chunks

LIMIT = 1000
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class AccountTest(unittest.TestCase):
    """Which body is dropped when there is no room."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.bodies = bodies.Bodies(LIMIT)

    def open(self, size, whole=False):
        """Return a body that has received some bytes."""
        body = self.stack.enter_context(self.bodies.open())
        body.add(b"x" * size)
        if whole:
            body.finish()
        return body

    def test_the_largest_unfinished_body_makes_room(self):
        whole, large, small = self.open(500, True), self.open(400), self.open(50)
        self.open(60)
        self.assertTrue(large.is_dropped)
        self.assertFalse(whole.is_dropped or small.is_dropped)
        self.assertEqual(self.bodies.held_bytes, 610)

    def test_of_two_bodies_the_one_that_stood_still_is_dropped(self):
        """Guards against clients who stop and keep the room of those who go on."""
        stalled, going_on = self.open(450), self.open(450)
        going_on.add(b"")
        self.open(150)
        self.assertEqual((stalled.is_dropped, going_on.is_dropped), (True, False))

    def test_a_body_within_an_equal_part_is_never_dropped(self):
        for _ in range(2):
            self.open(500, whole=True)
        self.assertFalse(self.open(100).is_dropped)
        with self.assertRaises(bodies.NoRoomError):
            self.open(300)

    def test_what_ended_is_not_held(self):
        with self.bodies.open() as body:
            body.add(b"x" * LIMIT)
            self.assertEqual(body.finish(), b"x" * LIMIT)
            self.assertEqual(self.bodies.held_bytes, LIMIT)
            body.clear()
            body.add(b"yz")
        self.assertEqual(self.bodies.held_bytes, 0)


class DecoderTest(unittest.TestCase):
    """The chunked coding, as it arrives in any parts."""

    def decode(self, parts):
        """Return the decoder and the body after some parts."""
        decoder = chunks.Decoder()
        return decoder, b"".join(map(decoder.feed, parts))

    def test_drawn_bodies_in_drawn_parts(self):
        for seed in range(200):
            draw = random.Random(seed)
            pieces = [draw.randbytes(draw.choice((1, 2, 16, 300))) for _ in range(9)]
            framed = b"".join(
                b"%X%s\r\n%b\r\n" % (len(one), draw.choice((b"", b";a=b", b" ")), one)
                for one in pieces
            )
            framed += b"0\r\n" + draw.choice((b"", b"Some: trailer\r\n")) + b"\r\n"
            framed += b"GET next"
            cuts = sorted(draw.sample(range(len(framed)), 5))
            edges = zip([0, *cuts], [*cuts, len(framed)], strict=True)
            decoder, body = self.decode(framed[a:b] for a, b in edges)
            self.assertTrue(decoder.ended)
            self.assertEqual((body, decoder.rest), (b"".join(pieces), b"GET next"))

    def test_what_h11_refuses_is_refused(self):
        """Guards against bodies that servers behind each other read differently."""
        for framed in (
            b"0x5\r\nhello\r\n",
            b"+5\r\nhello\r\n",
            b"-1\r\n",
            b"5\nhello\r\n",
            b"5\r\nhelloXX",
            b"1_0\r\n",
            b"\r\n",
            b" 5\r\nhello\r\n",
            b"1" * 20_000,
            b"0\r\n" + b"a: b\r\n" * 5000,
        ):
            with self.subTest(framed[:20]):
                http = h11.Connection(h11.SERVER)
                head = (
                    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                http.receive_data(head + framed)
                with self.assertRaises(h11.RemoteProtocolError):
                    while http.next_event() is not h11.NEED_DATA:
                        pass
                self.assertTrue(self.decode([framed])[0].failed)


@contextlib.contextmanager
def hold_garbage():
    """Collect no garbage during the block, and trace what is allocated in it."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


class DoorTest(bench.GatewayCase):
    """What callers get whose bodies, or connections, have no room."""

    def set_limit(self, limit):
        """Let the gateway hold so many bytes of bodies."""
        self.bench.gateway._callers._bodies.limit = limit

    def begin(self, size):
        """Return a caller who stops within a body, which has arrived."""
        caller = self.bench.call()
        head = f"POST /once/x HTTP/1.1\r\nHost: api\r\nContent-Length: {size}\r\n\r\n"
        caller.socket.sendall(head.encode() + b"x" * (size - 1))
        held = self.bench.gateway._callers._bodies
        before = held.held_bytes
        self.assertTrue(bench.wait_until(lambda: held.held_bytes >= before + size - 1))
        return caller

    def test_a_body_that_stopped_makes_room_and_is_refused_truly(self):
        """Guards against memory that clients hold who stop within their bodies."""
        self.set_limit(100_000)
        upstream = self.bench.add("u1", bench.answer("", "done"))
        stopped = self.begin(90_000)
        self.assertEqual(self.bench.ask("/once/x", b"x" * 50_000)[0], 200)
        status, head, body = stopped.read_answer()
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", head)
        self.assertIn("too many bytes", body)
        self.assertEqual(len(upstream.received), 1)

    def test_a_body_counts_until_its_answer(self):
        self.set_limit(100_000)
        answered = bench.eventlet.event.Event()

        def serve(connection, received):
            answered.wait()
            return bench.answer("", "done")(connection, received)

        self.bench.add("u1", serve)
        waiting = self.bench.call()
        waiting.ask("/once/x", b"x" * 80_000, Trestlestall_Request="r-0")
        held = self.bench.gateway._callers._bodies
        self.assertTrue(bench.wait_until(lambda: held.held_bytes == 80_000))
        self.assertEqual(self.bench.ask("/once/x", b"x" * 80_000)[0], 503)
        answered.send()
        self.assertEqual(waiting.read_answer()[0], 200)
        self.assertTrue(bench.wait_until(lambda: not held.held_bytes))

    def test_no_garbage_keeps_the_bodies_of_ended_requests(self):
        """Guards against bodies and answers held until the garbage is collected."""
        size = 1_000_000
        upstream = self.bench.add("u1", bench.answer("", "done"))
        refused = bench.answer("Trestlestall-Not-Run: 1\r\n", "", status="503 Full")
        long = bench.answer("", "y" * size)
        for script in (upstream.script, refused, long):
            upstream.script = script
            self.bench.ask("/once/x", b"x" * size)
            upstream.received.clear()
            with hold_garbage():
                for number in range(10):
                    request = f"r-{number}"
                    self.bench.ask("/once/x", b"x" * size, Trestlestall_Request=request)
                    upstream.received.clear()
                held, _ = tracemalloc.get_traced_memory()
            self.assertLess(held, 5 * size)

    def test_a_caller_who_announces_too_much_gets_the_answer(self):
        """Guards against a reset in place of 413, after which callers come back."""
        caller = self.bench.call()
        caller.ask("/once/x", b"z" * (bench.BODY_BYTES + 1))
        self.assertEqual(caller.read_head()[0], 413)

    def test_an_open_connection_follows_the_limits_in_force(self):
        """Guards against limits that hold on for who connected before a change."""
        self.bench.add("u1", bench.answer("", "done"))
        caller = self.bench.call()
        for version, limit, expected in ((2, 20, 200), (3, 5, 413)):
            limits = {**bench.DOCUMENT["limits"], "body_bytes": limit}
            self.bench.declare({**bench.DOCUMENT, "limits": limits}, version)
            caller.ask("/once/x", b"x" * 10, Trestlestall_Request=f"r-{version}")
            self.assertEqual(caller.read_answer()[0], expected)

    def begin_head(self):
        """Return a caller who stops within a head."""
        caller = self.bench.call()
        caller.socket.sendall(b"POST /once/x HTTP/1.1\r\nHost: api\r\n")
        return caller

    def test_the_caller_that_waits_longest_yields_to_a_new_one(self):
        """Guards against callers who take all descriptors and send nothing."""
        self.bench.add("u1", bench.answer("", "done"))
        limits = {**bench.DOCUMENT["limits"], "header_seconds": 5.0}
        self.bench.declare({**bench.DOCUMENT, "limits": limits}, 2)
        self.bench.gateway._callers._connections = 3
        opened = self.bench.gateway._callers.open
        waiting = []
        for begin in (self.begin_head, self.begin_head, self.bench.call):
            waiting.append(begin())
            self.assertTrue(bench.wait_until(lambda: len(opened) == len(waiting)))
        for yields in (waiting[2], waiting[0]):
            caller = self.bench.call()
            caller.ask("/once/x", Trestlestall_Request="r")
            self.assertEqual(caller.read_answer()[0], 200)
            self.assertEqual(yields.socket.recv(1), b"")
            caller.socket.sendall(b"POST /once/x HTTP/1.1\r\n")
            self.assertTrue(bench.wait_until(lambda: not any(c.idle for c in opened)))
        self.assertTrue(self.bench.list_lines("caller_closed"))
