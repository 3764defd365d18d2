"""Answers that break off, or never end, at the own router's door and its own calls."""

import contextlib
import threading
import time
import types
import unittest

from packages.daemon.tests import test_router_attempts as cases  # isort: skip

from eventlet.green import socket

from packages.daemon.tests import malformed_heads
from trestlestall.daemon import dialects, settings
from trestlestall.daemon.directory import platform_client
from trestlestall.daemon.placement import engine_client
from trestlestall.daemon.router import attempts, calls
from trestlestall.placement import model
from trestlestall.wire import sockets

#: More than the kernel buffers for a connection whose peer does not read.
LONG = b'{"model":"m1","prompt":"' + b"z" * 8_000_000 + b'"}'
SERVICE, MODEL = "service:slots", "m1"
JSON = cases.HEAD + cases.JSON
EVENTS = cases.TOKEN + cases.LAST + cases.DONE
#: More than is read of any answer here, with the buffers of the kernel, and for how
#: long an answer has no end.
MOST_BYTES = 24 * 1024 * 1024
ENDLESS_SECONDS = 4.0


@contextlib.contextmanager
def serve(script):
    """Yield the address of a server that runs a script for one connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                script(connection)

        thread = threading.Thread(target=run)
        thread.start()
        yield cases.format_address(listener)
        thread.join()


def reset_after(data, pause=0.05):
    """Return a script that reads a request's start, answers and resets."""

    def script(connection):
        connection.recv(65536)
        connection.sendall(data)
        time.sleep(pause)
        sockets.reset(connection)

    return script


def end_early(data, is_reset):
    """Return a script that ends its answer early, then reads on or resets."""

    def script(connection):
        connection.recv(65536)
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.05)
        if is_reset:
            sockets.reset(connection)
        while connection.recv(65536):
            pass

    return script


def send_endlessly(head, part, sent):
    """Return a script that answers without end, and counts the bytes in ``sent``."""

    def script(connection):
        connection.recv(65536)
        connection.sendall(head)
        until = time.monotonic() + ENDLESS_SECONDS
        while time.monotonic() < until:
            sent.append(connection.send(part))

    return script


def run(address, target, streamed=False, body=b'{"model":"m1"}'):
    """Run one attempt; return how it ended, and its response."""
    call = calls.Call(target, "POST", "/v1/x", body, streamed=streamed)
    upstream = types.SimpleNamespace(address=address, name="u1")
    sink = cases.Sink()
    attempts.Attempt("a1", "r1", call, upstream, {}).run(sink)
    return sink.end


class ResetTest(unittest.TestCase):
    whole = {
        "service": (JSON + b'\r\n{"a": 1}', SERVICE, False),
        "completion": (JSON + b"\r\n" + cases.WHOLE, MODEL, False),
        "refusal": (b"HTTP/1.1 400 No\r\n\r\n{}", MODEL, False),
    }
    bodies = {"short": b'{"model":"m1"}', "long": LONG}

    def test_a_reset_does_not_end_an_answer_without_a_length(self):
        """Guards against a library that takes a reset for an orderly end."""
        for name, (answer, target, streamed) in self.whole.items():
            for size, body in self.bodies.items():
                with (
                    self.subTest(name, body=size),
                    serve(reset_after(answer)) as address,
                ):
                    ending, _ = run(address, target, streamed, body)
                    self.assertEqual(ending.name, "BROKEN")

    def test_an_answer_whose_end_came_early_is_whole(self):
        events = cases.HEAD + cases.SSE + b"\r\n" + EVENTS
        table = {**self.whole, "stream": (events, MODEL, True)}
        for name, (answer, target, streamed) in table.items():
            for is_reset in (False, True):
                with (
                    self.subTest(name, is_reset=is_reset),
                    serve(end_early(answer, is_reset)) as address,
                ):
                    ending, _ = run(address, target, streamed, LONG)
                    self.assertEqual(ending.name, "COMPLETED")


class HeadTest(unittest.TestCase):
    def ask_service(self, data):
        """Return how an attempt at a service ends that sends these bytes."""
        with cases.serve(data) as (address, _):
            return run(address, SERVICE)

    def test_a_malformed_head_is_a_broken_answer(self):
        """Guards against a head of which only the lines before a fault count."""
        for name, head in malformed_heads.MALFORMED.items():
            with self.subTest(name):
                ending, response = self.ask_service(head + malformed_heads.BODY)
                self.assertEqual((ending.name, response), ("BROKEN", None))

    def test_a_sound_head_is_believed(self):
        for name, head in malformed_heads.SOUND.items():
            with self.subTest(name):
                ending, response = self.ask_service(head + malformed_heads.BODY)
                self.assertEqual((ending.name, response.body), ("COMPLETED", b"true"))

    def test_an_answer_without_a_body_needs_no_length(self):
        ending, response = self.ask_service(b"HTTP/1.1 204 Done\r\n\r\n")
        self.assertEqual((ending.name, response.status), ("COMPLETED", 204))

    def test_the_end_of_the_connection_ends_no_head(self):
        head = malformed_heads.make_head(b"B: c\r\n")
        for size in (0, 9, 12, 15, 17, len(head) - 2, len(head) - 1):
            with self.subTest(size=size):
                self.assertEqual(self.ask_service(head[:size])[0].name, "BROKEN")


class EndlessTest(unittest.TestCase):
    def test_bytes_without_end_are_left(self):
        """Guards against interim answers and trailers that are read as they come."""
        chunked = cases.HEAD + cases.CHUNKED + b"\r\n"
        table = {
            "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
            "header lines": (cases.HEAD, b"A: b\r\n" * 1000),
            "trailers": (chunked + b"0\r\n", b"A: b\r\n" * 1000),
            "chunk extension": (chunked + b"5;a=", b"x" * 65536),
            "no answer": (b"", b"x" * 65536),
        }
        for name, (head, part) in table.items():
            sent = []
            with self.subTest(name):
                with serve(send_endlessly(head, part, sent)) as address:
                    ending, _ = run(address, SERVICE)
                self.assertEqual(ending.name, "BROKEN")
                self.assertLess(sum(sent), MOST_BYTES)


class OwnCallsTest(unittest.TestCase):
    """Calls to engines that place models, and to the platform."""

    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    broken = {
        "head cut off": head[:-2],
        "status line cut off": head[:12],
        "body cut off": head + b"{",
        "malformed": malformed_heads.MALFORMED["name with a blank at its end"],
        "status 000": malformed_heads.MALFORMED["status 000"],
    }

    def check(self, call, expected, taken):
        """Check that a call counts as answered only if its answer is whole."""
        for name, data in self.broken.items():
            with self.subTest(name), cases.serve(data) as (address, _):
                self.assertEqual(call(address), expected)
        with self.subTest("reset"), serve(reset_after(self.head + b"{")) as address:
            self.assertEqual(call(address), expected)
        with self.subTest("whole"), cases.serve(self.head + b"{}") as (address, _):
            self.assertEqual(call(address), taken)

    def test_an_order_is_taken_only_by_a_whole_answer(self):
        order = model.Order("load", "m1")

        def call(address):
            return engine_client.send_order(address, 1, order, lambda: True).result

        self.check(call, engine_client.Result.UNKNOWN, engine_client.Result.TAKEN)

    def test_a_call_to_the_platform_is_answered_only_by_a_whole_answer(self):
        post = dialects.Post("/v1/usage", b"{}")

        def call(address):
            host, _, port = address.partition(":")
            duties = settings.Duties(platform=settings.Address(host, int(port)))
            client = platform_client.PlatformClient(
                duties, dialects.DUTY_CALLS, "directory-1", lambda: 2.0
            )
            return client._exchange(post, 7)[0]

        self.check(call, None, 200)


if __name__ == "__main__":
    unittest.main()
