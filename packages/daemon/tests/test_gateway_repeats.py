"""When a gateway retries a request, and how it relays streams."""

import contextlib
import dataclasses
import errno
from unittest import mock

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import eventlet
from eventlet.green import socket

from trestlestall.daemon import placement_protocol
from trestlestall.daemon.gateway import attempts, connections, outcomes, placing
from trestlestall.forwarding import origins, upstreams
from trestlestall.wire import byte_streams, clocks


class RetryTest(bench.GatewayCase):
    """When a request is retried, and when it must not be."""

    def test_a_request_that_is_not_idempotent_is_not_retried(self):
        first = self.bench.add("u1", bench.send(""))
        second = self.bench.add("u2", bench.send(""))
        self.assertEqual(self.bench.ask("/once/x")[0], 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    def test_a_request_that_did_not_run_is_retried(self):
        full = "Trestlestall-Not-Run: 1\r\n"
        refusing = self.bench.add("u1", bench.answer(full, "", status="503 Full"))
        serving = self.bench.add("u2", bench.answer("", "done"))
        for _ in range(2):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertGreaterEqual(len(refusing.received), 1)
        self.assertEqual(len(serving.received), 2)

    def test_an_idempotent_request_is_retried_after_a_failure(self):
        self.bench.add("u1", bench.answer("", "", status="500 No"))
        serving = self.bench.add("u2", bench.answer("", "done"))
        self.assertEqual(self.bench.ask("/again/x")[2], "done")
        self.assertEqual(len(serving.received), 1)

    def test_a_request_that_is_no_stream_is_retried_at_any_version(self):
        self.bench.add("u1", bench.answer("", "", status="500 No"))
        self.bench.add("u2", bench.answer("", "done"), version="v2")
        self.assertEqual(self.bench.ask("/again/x")[2], "done")

    def test_a_forwarded_failure_counts_against_its_upstream(self):
        self.bench.add("u1", bench.answer("", "", status="500 No"))
        for _ in range(4):
            self.assertEqual(self.bench.ask("/once/x")[0], 500)
        last = self.bench.list_lines("forward_sent")[-1]
        self.assertGreater(last["failure_rate"], 0.2)

    def test_the_routes_limit_of_attempts_is_respected(self):
        made = [
            self.bench.add(f"u{number}", bench.answer("", "", status="500 No"))
            for number in (1, 2, 3)
        ]
        self.assertEqual(self.bench.ask("/again/x")[0], 500)
        self.assertEqual(sum(len(one.received) for one in made), 2)

    def test_an_unreachable_upstream_costs_no_attempt(self):
        stopped = self.bench.add("u1", bench.answer(""))
        # Both listen before one stops: else the other could get the same port.
        self.bench.add("u2", bench.answer("", "done"))
        stopped.stop()
        for _ in range(4):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertEqual(len(self.bench.list_lines("upstream_unreachable")), 1)

    def fill_listen_queue(self, made):
        """Make an upstream accept nothing, and fill its queue; return the sockets."""
        made.accepting.kill()
        made.socket.listen(0)
        filling = []
        with contextlib.suppress(TimeoutError):
            while len(filling) < 10:
                address = ("127.0.0.1", made.port)
                filling.append(socket.create_connection(address, timeout=0.05))
        return filling

    def test_a_request_waits_for_the_only_upstream_if_its_queue_was_full(self):
        # Regression: refused 0.26 s after it came, with 4.75 s left.
        only = self.bench.add("u1", bench.answer("", "done"))
        filling = self.fill_listen_queue(only)

        def accept():
            for each in filling:
                each.close()
            only.accepting = eventlet.spawn(only.accept)

        eventlet.spawn_after(0.4, accept)
        self.assertEqual(self.bench.ask("/once/x")[2], "done")
        (line,) = self.bench.list_lines("upstream_awaited")
        self.assertEqual(line["reached"], ["u1"])

    def test_a_request_does_not_wait_long_for_an_upstream_that_stays_silent(self):
        only = self.bench.add("u1", bench.answer("", "done"))
        filling = self.fill_listen_queue(only)
        self.assertEqual(self.bench.ask("/once/x")[0], 503)
        (waited,) = self.bench.list_lines("upstream_awaited")
        self.assertLess(waited["seconds"], 1.0)
        self.assertEqual(self.bench.ask("/once/x")[0], 503)
        self.assertEqual(len(self.bench.list_lines("upstream_awaited")), 1)
        for each in filling:
            each.close()

    def test_an_unresponsive_upstream_is_probed_and_then_avoided(self):
        silent = self.bench.add("u1", bench.send("", keep=True, after=5))
        self.bench.ask("/short/x")
        self.assertEqual(self.bench.list_lines("upstream_unreachable"), [])
        silent.stop()
        self.bench.ask("/short/x")
        found = bench.wait_until(lambda: self.bench.list_lines("upstream_unreachable"))
        self.assertTrue(found)
        self.assertEqual(self.bench.ask("/short/x")[0], 503)

    def test_an_upstream_that_is_only_slow_finishes_its_request(self):
        slow = self.bench.add("u1", bench.send(f"{bench.OK}\r\nlate", after=0.8))
        self.assertEqual(self.bench.ask("/again/x")[2], "late")
        self.assertEqual(len(slow.received), 1)
        self.assertEqual(self.bench.list_lines("upstream_unreachable"), [])

    def test_the_reason_of_a_connection_without_an_answer_is_readable(self):
        self.bench.add("u1", lambda connection, received: False)
        status, _, body = self.bench.ask("/once/x")
        self.assertEqual(status, 502)
        self.assertIn("the connection ended before an answer", body)

    def test_unacknowledged_data_is_a_lost_path_and_no_silence(self):
        opened = mock.Mock()
        opened.fd.recv.side_effect = TimeoutError(errno.ETIMEDOUT, "timed out")
        with self.assertRaises(connections.PathLostError):
            connections.receive(byte_streams.ByteStream(opened), 1.0)

    def test_unacknowledged_data_that_a_writer_meets_is_a_lost_path(self):
        """Guards against the end of an answer that only this host has decided."""
        opened = mock.Mock()
        opened.send.side_effect = TimeoutError(errno.ETIMEDOUT, "timed out")
        opened.fd.recv.return_value = b""
        stream = byte_streams.ByteStream(opened)
        self.assertRaises(TimeoutError, stream.send, b"more")
        with self.assertRaises(connections.PathLostError):
            connections.receive(stream, 1.0)

    def test_an_upstream_that_is_silent_for_a_second_is_not_left(self):
        silent = bench.send(f"{bench.OK}\r\nlate", after=1.1)
        both = [self.bench.add(name, silent) for name in ("u1", "u2")]
        self.assertEqual(self.bench.ask("/again/x")[2], "late")
        self.assertEqual(sum(len(one.received) for one in both), 1)
        self.assertEqual(self.bench.list_lines("forward_repeated"), [])

    def test_the_only_upstream_is_not_left_while_it_is_silent(self):
        """Guards against a 502 while the answer is under way, for want of another."""
        slow = self.bench.add("u1", bench.send(f"{bench.OK}\r\nlate", after=1.8))
        self.assertEqual(self.bench.ask("/again/x")[::2], (200, "late"))
        self.assertEqual(len(slow.received), 1)

    def test_a_silent_upstream_that_is_gone_is_left(self):
        """Guards against a request that waits until its deadline for nobody."""
        gone = self.bench.add("u1", bench.send("", keep=True, after=5))
        row = dataclasses.replace(gone.row, state=upstreams.State.GONE, sequence=2)
        eventlet.spawn_after(0.5, self.bench.gateway.view.merge_rows, (row,), "test")
        started = clocks.read()
        self.assertEqual(self.bench.ask("/again/x")[0], 502)
        self.assertLess(clocks.read() - started, 2.0)

    def test_a_silent_upstream_is_left_for_another_one(self):
        silent = self.bench.add("u1", bench.send("", keep=True, after=5))
        serving = self.bench.add("u2", bench.answer("", "done"))
        bodies = [self.bench.ask("/again/x")[2] for _ in range(2)]
        self.assertEqual(bodies, ["done", "done"])
        self.assertEqual((len(silent.received), len(serving.received)), (1, 2))

    def test_an_answer_that_comes_while_another_upstream_is_placed_is_used(self):
        slow = self.bench.add("u1", bench.send(f"{bench.OK}\r\nlate", after=1.5))
        other = self.bench.add("u2", bench.send(f"{bench.OK}\r\nlate", after=1.5))
        handler = self.bench.gateway.handler
        place = handler.placing.place

        def place_slowly(descriptor, tried, purpose, workspace):
            if purpose == placement_protocol.RETRY:
                eventlet.sleep(0.5)
            return place(descriptor, tried, purpose, workspace)

        with mock.patch.object(handler.placing, "place", place_slowly):
            self.assertEqual(self.bench.ask("/again/x")[::2], (200, "late"))
        self.assertEqual(len(slow.received) + len(other.received), 1)
        self.assertEqual(handler.view.placer.count_slots("work")[0], 0)

    def test_another_incarnation_at_the_address_gets_no_more_requests(self):
        other = self.bench.add("u1", bench.answer("", "", status="421 Other"))
        self.bench.add("u2", bench.answer("", "done"))
        for _ in range(4):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertLessEqual(len(other.received), 1)

    def test_a_crash_is_distinguished_from_a_closed_connection(self):
        lasting = self.bench.add("u1", bench.send(""))
        self.bench.ask("/once/x", b"body", Trestlestall_Request="r-1")
        eventlet.sleep(0.05)
        self.assertEqual(self.bench.list_lines("upstream_ended"), [])
        lasting.script = lambda connection, received: lasting.stop() or False
        self.bench.ask("/once/x", b"body", Trestlestall_Request="r-2")
        found = bench.wait_until(lambda: self.bench.list_lines("upstream_ended"))
        self.assertTrue(found)
        lines = self.bench.list_lines("upstream_ended")
        self.assertEqual([line["upstream"] for line in lines], ["u1"])

    def test_attempts_of_one_caller_with_the_same_body_share_a_digest(self):
        self.bench.add("u1", bench.answer("", "done"))
        for number, body in enumerate((b"one", b"one", b"two")):
            self.bench.ask("/once/x", body, Trestlestall_Request=f"r-{number}")
        self.bench.ask("/open/x", b"one")
        digests = [line["digest"] for line in self.bench.list_lines("forward_sent")]
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(len(set(digests)), 3)

    def test_a_request_that_broke_while_being_sent_may_have_run(self):
        self.bench.add("u1", bench.answer(""))
        broken = outcomes.Broken("while sending")
        with mock.patch.object(attempts.Attempt, "_write", return_value=broken):
            self.assertEqual(self.bench.ask("/once/x")[0], 502)

    def test_refusals_of_upstreams_are_forwarded_as_not_run(self):
        full = "Trestlestall-Not-Run: 1\r\nRetry-After: 0.25\r\n"
        self.bench.add("u1", bench.answer(full, "", status="503 Full"))
        status, head, _ = self.bench.ask("/once/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After: 0.25", head)
        self.assertNotIn("Signature", head)


UNFRAMED = f"{bench.OK}Content-Type: text/event-stream\r\n\r\n"


class StreamTest(bench.GatewayCase):
    """Streams of events."""

    def read_stream(self, path):
        caller = self.bench.call()
        caller.ask(path)
        status, _ = caller.read_head()
        return status, caller.read_to_end()

    def test_events_are_relayed_as_they_arrive(self):
        def script(connection, received):
            connection.sendall(
                (bench.STREAM + bench.frame("id: 1", end=False)).encode()
            )
            connection.sendall(bench.frame("\ndata: x\n\n", end=False).encode())
            bench.wait_until(lambda: self.received_first)
            connection.sendall(bench.frame(bench.event(2)).encode())

        self.received_first = False
        self.bench.add("u1", script)
        caller = self.bench.call()
        caller.ask("/stream/x")
        self.assertEqual(caller.read_head()[0], 200)
        self.assertTrue(bench.wait_until(lambda: caller.data or self.read(caller)))
        self.received_first = True
        text = caller.read_to_end()
        self.assertIn("data: x\n\n", text)
        self.assertIn("x2", text)

    def read(self, caller):
        caller.data += caller.socket.recv(1000)
        return caller.data

    def test_a_truncated_stream_looks_truncated(self):
        part = bench.STREAM + bench.frame(bench.event(1), "id: 2\nda", end=False)
        self.bench.add("u1", bench.send(part))
        status, text = self.read_stream("/stream/x")
        self.assertEqual(status, 200)
        self.assertIn("x1", text)
        self.assertNotIn("id: 2", text)
        self.assertFalse(text.endswith("0\r\n\r\n"))

    def test_a_resumable_stream_continues_at_another_upstream(self):
        def script(connection, received):
            latest = received.find("Last-Event-Id")
            if latest is None:
                part = bench.frame(bench.event(1), bench.event(2), "id: 3", end=False)
                connection.sendall((bench.STREAM + part).encode())
                return False
            rest = [bench.event(number) for number in range(int(latest) + 1, 5)]
            connection.sendall((bench.STREAM + bench.frame(*rest)).encode())
            return True

        self.bench.add("u1", script)
        self.bench.add("u2", script)
        status, text = self.read_stream("/resume/x")
        self.assertEqual(status, 200)
        self.assertTrue(text.endswith("0\r\n\r\n"))
        numbers = [line[4:] for line in text.split("\n") if line.startswith("id: ")]
        self.assertEqual(numbers, ["1", "2", "3", "4"])

    def test_a_stream_that_broke_goes_on_at_no_other_version(self):
        broken = bench.STREAM + bench.frame(bench.event(1), end=False)
        self.bench.add("u1", bench.send(broken))
        other = self.bench.add("u2", bench.send(broken), version="v2")
        _, text = self.read_stream("/resume/x")
        self.assertIn("id: 1", text)
        self.assertFalse(text.endswith("0\r\n\r\n"))
        resumed = [one for one in other.received if one.find("Last-Event-Id")]
        self.assertEqual(resumed, [])
        (line,) = self.bench.list_lines("forward_ended")
        self.assertEqual(line["reason"], origins.NO_UPSTREAM)

    def test_a_stream_is_truncated_at_a_gap_after_resuming(self):
        def script(connection, received):
            numbers = (1, 2) if received.find("Last-Event-Id") is None else (4, 5)
            events = [bench.event(number) for number in numbers]
            whole = numbers == (4, 5)
            text = bench.STREAM + bench.frame(*events, end=whole)
            connection.sendall(text.encode())
            return whole

        self.bench.add("u1", script)
        self.bench.add("u2", script)
        _, text = self.read_stream("/resume/x")
        self.assertNotIn("id: 4", text)
        self.assertFalse(text.endswith("0\r\n\r\n"))

    def test_a_stream_that_breaks_before_its_first_event(self):
        self.bench.add("u1", bench.send(bench.STREAM))
        self.assertEqual(self.bench.ask("/stream/x")[0], 502)

    def test_a_stream_that_ends_with_its_connection_is_whole(self):
        self.bench.add("u1", bench.send(UNFRAMED + bench.event(1) + bench.event(2)))
        _, text = self.read_stream("/stream/x")
        self.assertIn("x2", text)
        self.assertTrue(text.endswith("0\r\n\r\n"))

    def test_a_stream_that_ends_with_its_connection_in_an_event_goes_on(self):
        def script(connection, received):
            if received.find("Last-Event-Id") is None:
                connection.sendall((UNFRAMED + bench.event(1) + "id: 2\nda").encode())
            else:
                connection.sendall((UNFRAMED + bench.event(2)).encode())
            return False

        self.bench.add("u1", script)
        self.bench.add("u2", script)
        _, text = self.read_stream("/resume/x")
        numbers = [line[4:] for line in text.split("\n") if line.startswith("id: ")]
        self.assertEqual(numbers, ["1", "2"])
        self.assertTrue(text.endswith("0\r\n\r\n"))

    def test_a_stream_that_ends_with_its_connection_in_an_event_looks_truncated(self):
        self.bench.add("u1", bench.send(UNFRAMED + bench.event(1) + "id: 2\nda"))
        _, text = self.read_stream("/stream/x")
        self.assertNotIn("id: 2", text)
        self.assertFalse(text.endswith("0\r\n\r\n"))

    def test_a_connection_that_ends_before_any_event_is_no_answer(self):
        self.bench.add("u1", bench.send(UNFRAMED))
        self.assertEqual(self.bench.ask("/stream/x")[0], 502)

    def test_a_caller_that_leaves_before_placement_reaches_no_upstream(self):
        upstream = self.bench.add("u1", bench.answer("", "done"))
        choose = placing.Placing.place

        def choose_slowly(*args):
            bench.eventlet.sleep(0.3)
            return choose(*args)

        with mock.patch.object(placing.Placing, "place", choose_slowly):
            caller = self.bench.call()
            caller.ask("/once/x")
            bench.eventlet.sleep(0.1)
            caller.close()
            ended = bench.wait_until(lambda: self.bench.list_lines("forward_ended"))
        self.assertTrue(ended)
        line = self.bench.list_lines("forward_ended")[0]
        self.assertEqual(line["outcome"], "caller_left")
        self.assertEqual(upstream.received, [])
        placer = self.bench.gateway.view.placer
        self.assertEqual(placer.count_slots("work")[0], 0)

    def test_a_caller_that_leaves_cancels_the_run(self):
        def script(connection, received):
            connection.sendall(bench.STREAM.encode())
            for number in range(100):
                part = bench.frame(bench.event(number), end=False)
                connection.sendall(part.encode())
                bench.eventlet.sleep(0.02)

        for path, streams in {"/stream/x": True, "/once/x": False}.items():
            with self.subTest(path):
                self.bench = bench.Bench(self.stack, bench.DOCUMENT)
                quiet = bench.send("", keep=True, after=0.5)
                upstream = self.bench.add("u1", script if streams else quiet)
                caller = self.bench.call()
                caller.ask(path)
                if streams:
                    caller.read_head()
                bench.wait_until(lambda made=upstream: made.received)
                caller.close()
                left = bench.wait_until(
                    lambda made=self.bench: made.list_lines("forward_ended")
                )
                self.assertTrue(left)
                line = self.bench.list_lines("forward_ended")[0]
                self.assertEqual(line["outcome"], "caller_left")
                self.assertTrue(bench.wait_until(lambda made=upstream: made.ended))
