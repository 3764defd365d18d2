"""Attempts at upstreams that answer wrongly, break the connection or are absent."""

import contextlib
import threading
import time
import types
import unittest
from unittest import mock

from trestlestall.daemon import patching  # isort: skip

from eventlet.green import socket

from trestlestall.daemon.http import chunks
from trestlestall.daemon.router import attempts, calls, connections

__all__ = ["patching"]

HEAD = b"HTTP/1.1 200 OK\r\n"
JSON = b"Content-Type: application/json\r\n"
SSE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
TOKEN = b'data: {"choices":[{"text":"a"}]}\n\n'
LAST = b'data: {"choices":[{"text":"","finish_reason":"stop"}]}\n\n'
DONE = b"data: [DONE]\n\n"
WHOLE = b'{"choices":[{"text":"a","finish_reason":"stop"}],"usage":{}}'


def add_length(body: bytes, length: int | None = None) -> bytes:
    """Return a body after its Content-Length, or after a wrong one."""
    length = len(body) if length is None else length
    return b"Content-Length: %d\r\n\r\n%s" % (length, body)


def encode_chunks(*parts: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return a chunked body."""
    coded = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return CHUNKED + b"\r\n" + coded + end


class Sink:
    """Collects what an attempt reports."""

    def __init__(self):
        self.heads, self.pieces, self.end = [], [], None

    def handle_head(self, attempt, response):
        self.heads.append(response)

    def handle_piece(self, attempt, piece):
        self.pieces.append(piece.data)

    def handle_end(self, attempt, ending, reason, response):
        self.end = (ending, response)


def read_request(connection: socket.socket) -> bytes:
    """Return a request whose body is a JSON object; empty if none comes."""
    received = b""
    while not received.endswith(b"}"):
        part = connection.recv(65536)
        if not part:
            break
        received += part
    return received


def format_address(listener: socket.socket) -> str:
    """Return the listener's address in the form that upstreams announce."""
    return "{}:{}".format(*listener.getsockname())


@contextlib.contextmanager
def serve(answer: bytes, delay: float = 0.0):
    """Yield the address of a server that answers one connection, and what it received.

    ``delay`` is in seconds.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        received = []

        def run():
            connection, _ = listener.accept()
            with connection:
                received.append(read_request(connection))
                time.sleep(delay)
                connection.sendall(answer)

        thread = threading.Thread(target=run)
        thread.start()
        yield format_address(listener), received
        thread.join()


def run_attempt(address: str, target: str, streamed: bool, **extra: object) -> tuple:
    """Run one attempt and return it with the sink of its reports."""
    call = calls.Call(target, "POST", "/v1/x", b'{"model":"m1"}', streamed=streamed)
    upstream = types.SimpleNamespace(address=address, name="u1")
    attempt = attempts.Attempt("a1", "r1", call, upstream, extra)
    sink = Sink()
    attempt.run(sink)
    return attempt, sink


class AnswersTest(unittest.TestCase):
    def check(self, table: dict, target: str, streamed: bool, **extra: object) -> None:
        for name, (answer, expected) in table.items():
            with self.subTest(name), serve(answer) as (address, received):
                attempt, sink = run_attempt(address, target, streamed, **extra)
                self.assertEqual(sink.end[0].name, expected)
                self.assertTrue(attempt.sent)
                self.assertIn(b"X-Request-Id: a1", received[0])

    def test_streams(self):
        good = (TOKEN, LAST, DONE)
        table = {
            "whole": (HEAD + SSE + encode_chunks(*good), "COMPLETED"),
            "in one chunk": (HEAD + SSE + encode_chunks(b"".join(good)), "COMPLETED"),
            "to the close": (HEAD + SSE + b"\r\n" + b"".join(good), "COMPLETED"),
            "no end mark": (HEAD + SSE + encode_chunks(TOKEN, LAST), "BROKEN"),
            "cut in a chunk": (
                HEAD + SSE + encode_chunks(TOKEN, end=b"20\r\nda"),
                "BROKEN",
            ),
            "cut in a head": (HEAD + SSE + encode_chunks(TOKEN, end=b"2"), "BROKEN"),
            "bad chunk": (HEAD + SSE + encode_chunks(TOKEN, end=b"zz\r\n"), "BROKEN"),
            "no events": (HEAD + JSON + add_length(WHOLE), "BROKEN"),
            "overloaded": (b"HTTP/1.1 503 No\r\n" + add_length(b"{}"), "BROKEN"),
            "bad request": (b"HTTP/1.1 400 No\r\n" + add_length(b"{}"), "COMPLETED"),
            "moved": (
                b"HTTP/1.1 302 No\r\nLocation: /\r\n" + add_length(b""),
                "BROKEN",
            ),
            "not HTTP": (b"hello\r\n\r\n", "BROKEN"),
            "nothing": (b"", "BROKEN"),
        }
        self.check(table, "m1", True)

    def test_an_engine_that_cannot_resume_has_run_nothing(self):
        table = {"refused": (b"HTTP/1.1 409 No\r\n" + add_length(b"{}"), "NOT_SENT")}
        self.check(table, "m1", True, resume={"attempt": "a0", "tokens": 3})

    def test_whole_completions(self):
        table = {
            "whole": (HEAD + JSON + add_length(WHOLE), "COMPLETED"),
            "chunked": (HEAD + JSON + encode_chunks(WHOLE), "COMPLETED"),
            "too short": (HEAD + JSON + add_length(WHOLE, 500), "BROKEN"),
            "cut chunk": (HEAD + JSON + encode_chunks(WHOLE, end=b""), "BROKEN"),
            "not finished": (HEAD + JSON + add_length(b'{"choices":[]}'), "BROKEN"),
            "not JSON": (HEAD + JSON + add_length(b"{"), "BROKEN"),
        }
        self.check(table, "m1", False)

    def test_services(self):
        table = {
            "any status": (b"HTTP/1.1 500 No\r\n" + add_length(b"no"), "COMPLETED"),
            "too short": (HEAD + add_length(b"no", 9), "BROKEN"),
            "JSON to the close": (HEAD + JSON + b'\r\n{"a":1}', "COMPLETED"),
            "text to the close": (HEAD + b"\r\nbooked for Mon", "BROKEN"),
            "number to the close": (HEAD + JSON + b"\r\n12", "BROKEN"),
            "word to the close": (HEAD + JSON + b"\r\ntrue", "COMPLETED"),
        }
        self.check(table, "service:slots", False)

    def test_only_a_failed_connect_counts_as_not_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = format_address(closed)
        attempt, sink = run_attempt(address, "m1", False)
        self.assertEqual((sink.end[0].name, attempt.sent), ("NOT_SENT", False))

    def test_a_first_token_may_take_longer_than_a_connect(self):
        answer = HEAD + SSE + encode_chunks(TOKEN, LAST, DONE)
        short = mock.patch.object(connections, "CONNECT_TIMEOUT_SECONDS", 0.05)
        with short, serve(answer, delay=0.3) as (address, _):
            _, sink = run_attempt(address, "m1", True)
        self.assertEqual(sink.end[0].name, "COMPLETED")

    def test_a_cancelled_attempt_ends_its_connection_whatever_the_engine_says(self):
        for name, head in {"kept": b"", "closing": b"Connection: close\r\n"}.items():
            with self.subTest(name), socket.create_server(("127.0.0.1", 0)) as listener:
                ended = []

                def run(listener=listener, head=head, ended=ended):
                    connection, _ = listener.accept()
                    with connection:
                        read_request(connection)
                        connection.sendall(
                            HEAD + SSE + head + encode_chunks(TOKEN, end=b"")
                        )
                        ended.append(connection.recv(1))

                thread = threading.Thread(target=run)
                thread.start()
                sink = Sink()
                sink.handle_piece = lambda attempt, piece: attempt.cancel()
                call = calls.Call("m1", "POST", "/v1/x", b"{}", streamed=True)
                address = format_address(listener)
                upstream = types.SimpleNamespace(address=address, name="u1")
                attempts.Attempt("a1", "r1", call, upstream, {}).run(sink)
                thread.join()
                self.assertEqual((sink.end[0].name, ended), ("CANCELLED", [b""]))

    def test_an_attempt_cancelled_within_an_answer_without_a_length_is_not_whole(self):
        """Guards against an own shutdown that passes for the upstream's end."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            call = calls.Call("service:slots", "POST", "/v1/x", b"{}")
            upstream = types.SimpleNamespace(
                address=format_address(listener), name="u1"
            )
            attempt = attempts.Attempt("a1", "r1", call, upstream, {})

            def run():
                connection, _ = listener.accept()
                with connection:
                    read_request(connection)
                    connection.sendall(HEAD + JSON + b'\r\n{"a":1}')
                    time.sleep(0.1)
                    attempt.cancel()
                    connection.recv(1)

            thread = threading.Thread(target=run)
            thread.start()
            sink = Sink()
            attempt.run(sink)
            thread.join()
            self.assertEqual(sink.end[0].name, "CANCELLED")
            self.assertIsNone(attempt._link)


class ChunksTest(unittest.TestCase):
    def test_a_body_decodes_the_same_however_it_is_split(self):
        body = encode_chunks(b"abc", b"x" * 300, b"\r\n").partition(b"\r\n\r\n")[2]
        expected = b"abc" + b"x" * 300 + b"\r\n"
        for size in (1, 2, 3, 7, len(body)):
            with self.subTest(size):
                decoder = chunks.Decoder()
                parts = [body[at : at + size] for at in range(0, len(body), size)]
                got = b"".join(decoder.feed(part) for part in parts)
                self.assertEqual((got, decoder.finished), (expected, True))

    def test_broken_codings(self):
        table = (b"-1\r\n", b"x\r\n", b"\r\n", b"1\r\nab\r\n", b"1" * 2000)
        for coded in table:
            with self.subTest(coded[:10]):
                decoder = chunks.Decoder()
                decoder.feed(coded)
                self.assertTrue(decoder.failed)
