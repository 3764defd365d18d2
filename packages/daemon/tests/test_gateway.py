"""A gateway forwards requests and responses unchanged, whatever its peers do."""

import contextlib
import dataclasses
import unittest
from unittest import mock

from packages.daemon.tests import gateway_bench as bench
from trestlestall.daemon.gateway import cached_view
from trestlestall.forwarding import upstreams


class RequestTest(bench.GatewayCase):
    """What reaches the upstream."""

    def test_method_path_query_body_and_headers_are_unchanged(self):
        upstream = self.bench.add("u1", bench.answer("X-Mine: 1\r\n", "done"))
        status, head, body = self.bench.ask(
            "/once/a%20b?q=1&q=2", b"payload", X_Odd_CASE="v", Accept="a/b"
        )
        self.assertEqual((status, body), (200, "done"))
        self.assertIn("X-Mine: 1", head)
        received = upstream.received[0]
        self.assertTrue(received.head.startswith("POST /once/a%20b?q=1&q=2 HTTP/1.1"))
        self.assertEqual(received.body, b"payload")
        self.assertIn("X-Odd-CASE: v", received.head)

    def test_a_chunked_body_arrives_whole(self):
        upstream = self.bench.add("u1", bench.answer("", "done"))
        caller = self.bench.call()
        caller.ask("/once/x", Transfer_Encoding="chunked")
        caller.socket.sendall(bench.frame("first ", "second").encode())
        self.assertEqual(caller.read_answer()[0], 200)
        self.assertEqual(upstream.received[0].body, b"first second")

    def test_the_gateway_sets_the_workspace_and_the_expected_upstream(self):
        upstream = self.bench.add("u1", bench.answer(""))
        forged = {
            "Trestlestall_Workspace": "other",
            "Trestlestall_Expected_Upstream": "u9",
            "Trestlestall_Tier": "0",
        }
        self.bench.ask("/once/x", **forged)
        received = upstream.received[0]
        self.assertEqual(received.find("Trestlestall-Workspace"), "basu")
        self.assertEqual(received.find("Trestlestall-Expected-Upstream"), "u1")
        self.assertIsNone(received.find("Trestlestall-Tier"))
        self.assertIsNone(received.find("Authorization"))
        self.assertNotIn("k1", received.head)

    def test_an_upstream_is_expected_under_the_name_that_it_announces(self):
        made = self.bench.add("u1", bench.answer("", "done"))
        start = dataclasses.replace(
            made.row,
            identity=upstreams.format_identity("u1", 1000),
            name="u1",
            born=1000,
        )
        self.bench.gateway.view.merge_rows((start,), "test")
        self.assertEqual(self.bench.ask("/once/x")[2], "done")
        expected = made.received[0].find("Trestlestall-Expected-Upstream")
        self.assertEqual(expected, "u1")

    def test_hop_by_hop_headers_are_not_forwarded(self):
        upstream = self.bench.add("u1", bench.answer(""))
        self.bench.ask(
            "/once/x",
            Connection="close, X-Hop, Trestlestall-Request",
            X_Hop="1",
            Keep_Alive="5",
            TE="trailers",
        )
        received = upstream.received[0]
        for name in ("X-Hop", "Keep-Alive", "TE", "Connection"):
            self.assertIsNone(received.find(name), name)
        self.assertEqual(received.find("Trestlestall-Request"), "r-1")

    def test_the_deadline_shrinks_and_never_exceeds_the_routes_limit(self):
        upstream = self.bench.add("u1", bench.answer(""))
        name = "Trestlestall-Deadline-Milliseconds"
        self.bench.ask("/once/x", Trestlestall_Deadline_Milliseconds="60000")
        self.bench.ask("/once/x", Trestlestall_Deadline_Milliseconds="500")
        first, second = (int(each.find(name)) for each in upstream.received)
        self.assertLessEqual(first, 3000)
        self.assertLessEqual(second, 500)
        self.assertGreater(second, 300)

    def test_a_number_that_is_none_is_refused(self):
        """Guards against a dropped connection, and a deadline that never comes."""
        upstream = self.bench.add("u1", bench.answer(""))
        for given in (
            {"Trestlestall_Length_Estimate": "inf"},
            {"Trestlestall_Length_Estimate": "nan"},
            {"Trestlestall_Deadline_Milliseconds": "nan"},
        ):
            with self.subTest(given):
                self.assertEqual(self.bench.ask("/once/x", **given)[0], 400)
        self.assertEqual(upstream.received, [])

    def test_a_body_framed_by_both_length_and_chunks_is_refused(self):
        upstream = self.bench.add("u1", bench.answer(""))
        status, _, _ = self.bench.ask(
            "/once/x", Transfer_Encoding="chunked", Content_Length="3"
        )
        self.assertEqual(status, 400)
        self.assertEqual(upstream.received, [])

    def test_limits_on_headers_body_and_time(self):
        upstream = self.bench.add("u1", bench.answer(""))
        self.assertEqual(self.bench.ask("/once/x", X_Long="y" * 9000)[0], 431)
        self.assertEqual(
            self.bench.ask("/once/x", b"z" * (bench.BODY_BYTES + 1))[0], 413
        )
        slow = self.bench.call()
        slow.socket.sendall(b"POST /once/x HTTP/1.1\r\n")
        self.assertEqual(slow.read_head()[0], 408)
        self.assertEqual(upstream.received, [])

    def test_a_head_that_trickles_in_times_out(self):
        caller = self.bench.call()

        def trickle():
            with contextlib.suppress(OSError):
                for _ in range(100):
                    caller.socket.sendall(b"G")
                    bench.eventlet.sleep(0.1)

        writer = bench.eventlet.spawn(trickle)
        self.addCleanup(writer.kill)
        started = bench.time.monotonic()
        self.assertEqual(caller.read_head()[0], 408)
        self.assertLess(bench.time.monotonic() - started, 5.0)

    def test_two_requests_on_one_connection(self):
        self.bench.add("u1", bench.answer("", "done"))
        caller = self.bench.call()
        for _ in range(2):
            caller.ask("/once/x", b"1")
            self.assertEqual(caller.read_answer()[2], "done")


class RefusalTest(bench.GatewayCase):
    """Responses that the gateway generates itself."""

    def test_unknown_route_and_unknown_key(self):
        upstream = self.bench.add("u1", bench.answer(""))
        self.assertEqual(self.bench.ask("/nowhere/x")[0], 404)
        self.assertEqual(self.bench.ask("/once/x", Authorization="Bearer no")[0], 401)
        self.assertEqual(upstream.received, [])
        self.assertEqual(self.bench.ask("/open/x", Authorization="Bearer no")[0], 200)
        self.assertIsNone(upstream.received[0].find("Authorization"))

    def test_no_configuration(self):
        empty = bench.Bench(self.stack)
        status, head, _ = empty.ask("/once/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After:", head)

    def test_a_request_at_start_up_waits_for_the_configuration(self):
        made = bench.Bench(self.stack)
        made.add("u1", bench.answer("", "done"))
        bench.eventlet.spawn_after(0.3, made.declare, bench.DOCUMENT)
        self.assertEqual(made.ask("/once/x")[2], "done")

    def test_a_request_at_start_up_waits_for_the_first_upstream(self):
        script = bench.answer("", "done")
        bench.eventlet.spawn_after(0.3, self.bench.add, "u1", script)
        self.assertEqual(self.bench.ask("/once/x")[2], "done")

    def test_after_start_up_a_request_without_a_configuration_is_refused_at_once(self):
        made = bench.Bench(self.stack)
        made.gateway.handler.started_at -= 60.0
        patched = mock.patch.object(
            cached_view.CachedView, "can_place", autospec=True, return_value=False
        )
        with patched as can_place:
            self.assertEqual(made.ask("/once/x")[0], 503)
        can_place.assert_called_once()

    def test_no_upstream(self):
        status, head, _ = self.bench.ask("/once/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After:", head)

    def test_a_request_times_out_at_the_routes_limit(self):
        self.bench.add("u1", bench.send("", keep=True, after=5))
        self.assertEqual(self.bench.ask("/short/x")[0], 504)

    def test_an_older_configuration_is_ignored(self):
        self.bench.add("u1", bench.answer(""))
        self.bench.declare({**bench.DOCUMENT, "routes": []}, version=3)
        self.bench.declare(bench.DOCUMENT, version=2)
        self.assertEqual(self.bench.ask("/once/x")[0], 404)


class StartTest(unittest.TestCase):
    """A gateway whose listening socket is open before its modules are imported."""

    def test_a_caller_that_connected_before_the_gateway_started_is_served(self):
        with contextlib.ExitStack() as stack:
            callers = []

            def connect(port):
                callers.append(bench.Caller(port))
                stack.callback(callers[0].close)
                callers[0].ask("/once/x")

            made = bench.Bench(stack, bench.DOCUMENT, early=connect)
            made.add("u1", bench.answer("", "done"))
            self.assertEqual(callers[0].read_answer()[2], "done")


class StopTest(bench.GatewayCase):
    """Graceful shutdown."""

    def test_late_streams_are_refused_and_short_requests_are_served(self):
        self.bench.add("u1", bench.send(bench.STREAM + bench.frame(bench.event(1))))
        handler = self.bench.gateway.handler
        now = bench.time.monotonic()
        handler.stop_at = now + 4.0
        handler.refuse_at = now + 100.0
        self.assertEqual(self.bench.ask("/stream/x")[0], 200)
        handler.refuse_at = now
        status, head, _ = self.bench.ask("/stream/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After: 0.05", head)
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        handler.stop_at = now + 1.0
        self.assertEqual(self.bench.ask("/once/x")[0], 503)

    def test_a_request_that_has_just_arrived_is_answered(self):
        """Guards against a request that a stop closes unread on a kept connection."""
        self.bench.add("u1", bench.answer("", "done"))
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertEqual(caller.read_answer()[2], "done")
        (kept,) = self.bench.gateway._callers.open
        self.assertTrue(kept.idle)
        caller.ask("/once/x")  # without a switch to the greenlet that reads it
        kept.closing = True
        kept.close_if_idle()
        status, head, body = caller.read_answer()
        self.assertEqual((status, body), (200, "done"))
        self.assertIn("Connection: close", head)

    def test_an_idle_connection_is_closed(self):
        caller = self.bench.call()
        self.assertTrue(bench.wait_until(lambda: self.bench.gateway._callers.open))
        (idle,) = self.bench.gateway._callers.open
        idle.close_if_idle()
        self.assertEqual(caller.read_head()[0], 0)


class AnswerTest(bench.GatewayCase):
    """What the caller receives when an upstream misbehaves."""

    def ask(self, data, path="/once/x", keep=False):
        self.bench.add("u1", bench.send(data, keep))
        return self.bench.ask(path)

    def test_a_failure_is_forwarded_with_its_signature(self):
        self.bench.add("u1", bench.answer("", "oops", status="500 No"))
        status, head, body = self.bench.ask("/once/x")
        self.assertEqual((status, body), (500, "oops"))
        self.assertIn("Trestlestall-Signature: s1", head)

    def test_repeated_headers_are_preserved(self):
        head = f"{bench.OK}Set-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"
        _, text, _ = self.ask(head)
        self.assertEqual(text.count("Set-Cookie"), 2)

    def test_a_response_without_a_length_ends_with_its_connection(self):
        _, _, body = self.ask(f"{bench.OK}\r\nall of it")
        self.assertEqual(body, "all of it")

    def test_a_truncated_response_is_no_success(self):
        for data in (
            f"{bench.OK}Content-Length: 50\r\n\r\ntoo short",
            f"{bench.OK}Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            f"{bench.OK}Content-Le",
            "gibberish\r\n\r\n",
            "",
        ):
            with self.subTest(data=data):
                self.bench = bench.Bench(self.stack, bench.DOCUMENT)
                status, head, _ = self.ask(data)
                self.assertEqual(status, 502)
                self.assertNotIn("Signature", head)

    def test_a_reset_response_without_a_length_is_no_success(self):
        def script(connection, received):
            connection.sendall(f"{bench.OK}\r\nhalf of it".encode())
            bench.eventlet.sleep(0.1)
            bench.reset(connection)
            return False

        self.bench.add("u1", script)
        self.assertEqual(self.bench.ask("/once/x")[0], 502)

    def test_a_response_to_another_request_is_skipped(self):
        foreign = f"{bench.OK}Trestlestall-Request: r-0\r\nContent-Length: 3\r\n\r\nbad"
        own = f"{bench.OK}Trestlestall-Request: r-1\r\nContent-Length: 4\r\n\r\ngood"
        status, _, body = self.ask(foreign + own)
        self.assertEqual((status, body), (200, "good"))

    def test_an_extra_response_is_discarded(self):
        extra = f"{bench.OK}Content-Length: 4\r\n\r\n"
        self.bench.add("u1", bench.send(extra + "mine" + extra + "more", keep=True))
        for _ in range(3):
            self.assertEqual(self.bench.ask("/once/x")[2], "mine")

    def test_a_response_before_the_request_body_is_read(self):
        def script(connection, received):
            return None

        upstream = self.bench.add("u1", script)
        data = f"{bench.OK}Content-Length: 5\r\n\r\nearly"

        def serve(connection):
            connection.recv(1000)
            connection.sendall(data.encode())
            bench.eventlet.sleep(0.3)
            while connection.recv(65536):
                pass

        upstream.serve = serve
        status, _, body = self.bench.ask("/once/x", b"z" * bench.BODY_BYTES)
        self.assertEqual((status, body), (200, "early"))
        self.bench.ask("/once/x", b"z" * bench.BODY_BYTES)
        self.assertEqual(upstream.connections, 2)

    def test_connections_are_reused_after_complete_responses(self):
        upstream = self.bench.add("u1", bench.answer("", "x"))
        for number in range(5):
            self.bench.ask("/once/x", Trestlestall_Request=f"r-{number}")
        self.assertEqual((upstream.connections, len(upstream.received)), (1, 5))
