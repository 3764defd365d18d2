"""A connection to an upstream serves one request, and no other one ends it."""

import contextlib
import functools
import unittest
from unittest import mock

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import eventlet
from eventlet import event, hubs

from trestlestall.daemon.gateway import connections, exchanges, holds, process
from trestlestall.wire import clocks, sockets

#: How many events the answer to the request that stays has.
EVENTS = 6
LEAVING, STAYING = "r-leaving", "r-staying"
NOT_RUN = bench.answer("Trestlestall-Not-Run: 1\r\n", "", status="503 Full")
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


def encode_events(numbers):
    """Return the events with these numbers."""
    return "".join(map(bench.event, numbers))


def frame_by_end(first, second):
    """Return the parts of an answer that ends with its connection."""
    return f"{bench.OK}\r\n{first}", second, False


def frame_by_length(first, second):
    """Return the parts of an answer with a length."""
    length = len(first) + len(second)
    return f"{bench.OK}Content-Length: {length}\r\n\r\n{first}", second, True


def frame_by_chunks(first, second):
    """Return the parts of an answer in chunks."""
    begun = bench.OK + CHUNKED + bench.frame(first, end=False)
    return begun, bench.frame(second), True


FRAMINGS = (frame_by_end, frame_by_length, frame_by_chunks)
PATHS = ("/once/x", "/again/x", "/stream/x", "/resume/x")


def read_whole(caller):
    """Return the status of an answer, and its body up to the end that it states."""
    status, head = caller.read_head()
    with contextlib.suppress(OSError):
        if "chunked" not in head:
            caller.data = (head + "\r\n\r\n").encode() + caller.data
            return status, caller.read_answer()[2]
        return status, unframe(caller.read_to_end())
    return status, None


def unframe(text):
    """Return the body of a chunked answer; None if it breaks off."""
    body = ""
    while True:
        size, _, text = text.partition("\r\n")
        if not size:
            return None
        if size == "0":
            return body
        length = int(size, 16)
        body, text = body + text[:length], text[length + 2 :]


class LeftAfterAttempt:
    """A caller leaves while its request waits, after an upstream did not run it.

    The connection on which the upstream said so serves another request by then, whose
    answer has begun but not ended.
    """

    def __init__(self, made, path, framing):
        self.bench = made
        self.path = path
        self.parts = framing(
            encode_events(range(1, 3)), encode_events(range(3, EVENTS + 1))
        )
        self.waits, self.begun, self.may_end = (event.Event() for _ in range(3))
        self.upstream = made.add("u1", self.serve)

    def serve(self, connection, received):
        """Run the second request, and end its answer once that is allowed."""
        if received.find("Trestlestall-Request") == LEAVING:
            return NOT_RUN(connection, received)
        first, second, is_kept = self.parts
        connection.sendall(bench.name_request(first, received).encode())
        self.begun.send()
        self.may_end.wait()
        connection.sendall(second.encode())
        return is_kept

    def wait_until_left(self, service, deadline, is_wanted):
        """Stand for the wait for another upstream, up to the caller's leave."""
        self.waits.send()
        while is_wanted():
            eventlet.sleep(0.005)
        return []

    def play(self):
        """Return the status and the whole body that the caller who stays gets."""
        prober = self.bench.gateway.handler.prober
        with mock.patch.object(prober, "wait_until_reached", self.wait_until_left):
            leaving, staying = self.bench.call(), self.bench.call()
            leaving.ask(self.path, Trestlestall_Request=LEAVING)
            self.waits.wait()
            staying.ask(self.path, Trestlestall_Request=STAYING)
            self.begun.wait()
            eventlet.sleep(0.05)
            leaving.close()
            assert bench.wait_until(self.has_left)
            eventlet.sleep(0.05)
            self.may_end.send()
            return read_whole(staying)

    def has_left(self):
        """Return whether the request of the caller who left has ended."""
        ended = self.bench.list_lines("forward_ended")
        return [one for one in ended if one["outcome"] == "caller_left"]


class LeavingCallerTest(bench.GatewayCase):
    """A caller who leaves ends no other caller's answer."""

    def test_a_leave_after_an_attempt_does_not_cut_the_next_answer_there(self):
        """Guards against answers cut by the leave of another request's caller."""
        for path in PATHS:
            for framing in FRAMINGS:
                with self.subTest(path=path, framing=framing.__name__):
                    self.bench = bench.Bench(self.stack, self.document)
                    played = LeftAfterAttempt(self.bench, path, framing)
                    status, body = played.play()
                    whole = encode_events(range(1, EVENTS + 1))
                    self.assertEqual((status, body), (200, whole))
                    self.assertEqual(played.upstream.connections, 1)
                    self.assertEqual(len(played.upstream.received), 2)
                    check_not_blamed(self, self.bench)


class OwnEndTest(bench.GatewayCase):
    """An end that this gateway made itself is not taken for the upstream's."""

    def begin(self, path, framing):
        """Return a caller whose answer has begun, and the connection that it is on."""
        begun = event.Event()
        first, _, _ = framing(bench.event(1), bench.event(2))

        def serve(connection, received):
            connection.sendall(first.encode())
            begun.send()
            eventlet.sleep(5)
            return False

        made = self.bench.add("u1", serve)
        caller = self.bench.call()
        caller.ask(path)
        begun.wait()
        eventlet.sleep(0.05)
        (used,) = self.bench.gateway.handler.pool.list_open(made.row.address)
        return caller, used

    def test_a_connection_shut_down_here_completes_no_answer(self):
        """Guards against a part of an answer that looks whole after an own shutdown."""
        for path in ("/once/x", "/stream/x"):
            for framing in FRAMINGS:
                with self.subTest(path=path, framing=framing.__name__):
                    self.bench = bench.Bench(self.stack, self.document)
                    caller, used = self.begin(path, framing)
                    used.abort()
                    status, body = read_whole(caller)
                    if path == "/once/x":
                        self.assertEqual(status, 502)
                    else:
                        self.assertEqual((status, body), (200, None))
                    check_not_blamed(self, self.bench)

    def test_an_end_while_sending_does_not_count_as_a_closed_connection(self):
        """Guards against crashes that are blamed on upstreams for an own shutdown."""
        self.bench.add("u1", bench.answer("", "done"))
        send = connections.Connection.send

        def send_late(connection, data, seconds):
            connection.abort()
            return send(connection, data, seconds)

        crashes = self.bench.gateway.handler.crash_detector
        with (
            mock.patch.object(connections.Connection, "send", send_late),
            mock.patch.object(crashes, "record_broken") as record_broken,
        ):
            self.assertEqual(self.bench.ask("/once/x")[0], 502)
        record_broken.assert_not_called()
        check_not_blamed(self, self.bench)


class CallerEndTest(bench.GatewayCase):
    """How an answer ends for a caller of HTTP/1.0, without chunks."""

    def ask(self, script, path="/stream/x"):
        """Return a caller of HTTP/1.0 that has the first event."""
        self.bench.add("u1", script)
        caller = self.bench.call()
        head = (
            f"POST {path} HTTP/1.0",
            "Host: api",
            "Authorization: Bearer k1",
            "Trestlestall-Request: r-1",
            "Content-Length: 0",
        )
        caller.socket.sendall("\r\n".join([*head, "", ""]).encode())
        self.assertEqual(caller.read_head()[0], 200)
        while bench.event(1).encode() not in caller.data:
            caller.data += caller.socket.recv(65536)
        return caller

    def begin(self, connection, received):
        """Send an event, and end the connection within the answer a moment later."""
        first = bench.STREAM + bench.frame(bench.event(1), end=False)
        connection.sendall(first.encode())
        eventlet.sleep(0.1)
        return False

    def test_a_broken_answer_without_a_length_ends_by_a_reset(self):
        """Guards against a part of an answer that looks whole as it has no length."""
        caller = self.ask(self.begin)
        with self.assertRaises(ConnectionResetError):
            sockets.receive(caller.socket, 100, 3.0)

    def test_a_whole_answer_without_a_length_ends_in_order(self):
        whole = bench.STREAM + bench.frame(bench.event(1), bench.event(2))
        caller = self.ask(bench.send(whole, keep=True))
        self.assertIn(bench.event(2), caller.read_to_end())
        self.assertEqual(sockets.receive(caller.socket, 100, 3.0), b"")

    def test_an_answer_that_a_stop_breaks_off_ends_by_a_reset(self):
        """Guards against a part of an answer that looks whole after a shutdown."""

        def never_end(connection, received):
            first = bench.STREAM + bench.frame(bench.event(1), end=False)
            connection.sendall(first.encode())
            eventlet.sleep(5)

        caller = self.ask(never_end)
        with (
            mock.patch.object(process, "BALANCER_NOTICE_SECONDS", 0.0),
            mock.patch.object(process, "KILL_MARGIN_SECONDS", 1000.0),
        ):
            self.bench.gateway._stop()
        with self.assertRaises(ConnectionResetError):
            sockets.receive(caller.socket, 100, 3.0)


class KeepAliveTest(bench.GatewayCase):
    """How long a connection is kept after an exchange."""

    def test_an_answer_that_says_not_run_limits_the_keep_alive_time(self):
        """Guards against requests sent as the upstream closes an idle connection."""
        headers = "Trestlestall-Not-Run: 1\r\nKeep-Alive: timeout=1\r\n"
        made = self.bench.add("u1", bench.answer(headers, "", status="503 Full"))
        self.assertEqual(self.bench.ask("/once/x")[0], 503)
        pool = self.bench.gateway.handler.pool
        (kept,) = pool.list_open(made.row.address)
        self.assertLess(kept.reusable_until, clocks.read() + 1.0)


class SilentExchangeTest(unittest.TestCase):
    """Exchanges on a lost path are broken off, or no longer counted."""

    def test_an_exchange_that_ends_meanwhile_is_not_released(self):
        """Guards against a late release that ends the count of another attempt."""
        running = exchanges.Exchanges()
        blocks = [contextlib.ExitStack() for _ in range(2)]
        released = []

        def release(number):
            released.append(number)
            blocks[1 - number].close()

        for number, block in enumerate(blocks):
            tracked = running.track(
                "u1", 1.0, lambda: False, functools.partial(release, number)
            )
            block.enter_context(tracked).begin("")
        with mock.patch.object(exchanges, "HEARD_SECONDS", -1.0):
            running.leave_silent("u1", "")
        self.assertEqual(len(released), 1)


def check_not_blamed(test, made):
    """Check that nothing counts against the upstream of a gateway."""
    engines = made.gateway.view.placer.engines
    test.assertEqual(engines["u1"].find_failure_rate("a"), 0.0)
    for name in ("upstream_unreachable", "upstream_ended", "request_held"):
        test.assertEqual(made.list_lines(name), [])


class HoldTest(unittest.TestCase):
    """A hold on a connection, and the pool that has it afterwards."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.pool = connections.Pool()
        self.listening = self.stack.enter_context(
            contextlib.closing(eventlet.listen(("127.0.0.1", 0)))
        )
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"

    def open(self):
        """Return a connection, and the socket at its other end."""
        opened = self.pool.open(self.address, 1.0)
        accepted, _ = self.listening.accept()
        self.stack.callback(accepted.close)
        return opened, accepted

    def use(self, opened, accepted):
        """Hold a connection for one exchange; return the hold, which has ended."""
        with holds.hold(self.pool, opened) as held:
            held.send(b"ask", 1.0)
            accepted.sendall(b"answer")
            self.assertEqual(held.receive(1.0), b"answer")
            held.allow_reuse(None)
        return held

    def test_an_ended_hold_does_not_reach_the_connection(self):
        """Guards against late callbacks that shut down another one's connection."""
        opened, accepted = self.open()
        ended = self.use(opened, accepted)
        with holds.hold(self.pool, self.pool.take(self.address, "r")) as held:
            ended.abort()
            for act in (
                lambda: ended.send(b"x", 1.0),
                lambda: ended.receive(1.0),
                ended.is_readable,
            ):
                self.assertRaises(holds.EndedHoldError, act)
            held.send(b"ask", 1.0)
            self.assertEqual(accepted.recv(10), b"ask" * 2)
            accepted.sendall(b"whole")
            self.assertEqual(held.receive(1.0), b"whole")

    def test_an_aborted_connection_is_not_used_again(self):
        opened, accepted = self.open()
        with holds.hold(self.pool, opened) as held:
            held.send(b"ask", 1.0)
            held.allow_reuse(None)
            held.abort()
        self.assertIsNone(self.pool.take(self.address, "r"))

    def test_a_connection_shut_down_here_has_no_orderly_end(self):
        opened, _ = self.open()
        with holds.hold(self.pool, opened) as held:
            held.send(b"ask", 1.0)
            held.abort()
            with self.assertRaises(connections.AbortedError):
                held.receive(1.0)
            with self.assertRaises(connections.AbortedError):
                held.send(b"more", 1.0)

    def test_a_look_at_what_is_pending_takes_no_reset_from_the_reader(self):
        """Guards against half of an answer that looks whole after a silence."""
        opened, accepted = self.open()
        with holds.hold(self.pool, opened) as held:
            held.send(b"ask", 1.0)
            accepted.sendall(b"half")
            self.assertEqual(held.receive(1.0), b"half")
            bench.reset(accepted)
            self.assertTrue(bench.wait_until(held.is_readable))
            for _ in range(2):
                with self.assertRaises(ConnectionResetError):
                    held.receive(1.0)

    def test_a_connection_on_which_nothing_was_sent_is_kept(self):
        opened, _ = self.open()
        with holds.hold(self.pool, opened):
            pass
        self.assertIs(self.pool.take(self.address, "r"), opened)

    def test_a_connection_that_was_not_used_is_kept_no_longer_than_before(self):
        """Guards against requests sent as the upstream closes an idle connection."""
        opened, accepted = self.open()
        self.use(opened, accepted)
        until = opened.reusable_until = clocks.read() + 0.5
        with holds.hold(self.pool, self.pool.take(self.address, "r")):
            pass
        self.assertEqual(opened.reusable_until, until)

    def test_a_connection_is_not_kept_if_the_exchange_fails(self):
        opened, _ = self.open()
        with contextlib.suppress(ValueError), holds.hold(self.pool, opened) as held:
            held.send(b"ask", 1.0)
            raise ValueError
        self.assertIsNone(self.pool.take(self.address, "r"))

    def test_a_late_writer_ends_with_the_hold(self):
        """Guards against bytes of one request on the connection of the next one."""
        opened, accepted = self.open()
        with holds.hold(self.pool, opened) as held:
            held.send(b"x" * bench.BODY_BYTES, 5.0)
            accepted.sendall(b"answer")
            self.assertEqual(held.receive(1.0), b"answer")
            held.allow_reuse(None)
        self.assertIsNone(self.pool.take(self.address, "r"))
        writers = [one.fileno for one in hubs.get_hub().get_writers()]
        self.assertEqual(writers, [])
        following, other = self.open()
        with holds.hold(self.pool, following) as held:
            held.send(b"next", 1.0)
            self.assertEqual(other.recv(65536), b"next")
