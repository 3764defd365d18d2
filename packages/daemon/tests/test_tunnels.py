"""Requests of a gateway that can't reach an upstream itself, through peer gateways."""

import contextlib
import dataclasses
import io
import json
import random
import time
import unittest
import zlib
from unittest import mock

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import eventlet

from trestlestall.daemon import environment, settings
from trestlestall.daemon.gateway import (
    connections,
    process,
    tunnel_race,
    tunnel_server,
    tunnels,
)
from trestlestall.standins import addresses
from trestlestall.wire import handshake, tunnel_messages

UNCLOSED = "HTTP/1.1 200 OK\r\nTrestlestall-Signature: s1\r\n\r\nno length"


class Peer:
    """A gateway that opens tunnels and reaches all upstreams."""

    def __init__(self, stack, name, secret="s"):
        self.name = name
        self.address = f"127.0.0.1:{addresses.reserve_port()}"
        self.output = io.StringIO()
        made = bench.make_settings(addresses.reserve_port(), addresses.reserve_port())
        listening = settings.Address("127.0.0.1", int(self.address.rpartition(":")[2]))
        made = dataclasses.replace(
            made,
            name=name,
            listen=dataclasses.replace(made.listen, tunnels=listening),
            secrets=settings.Secrets(secret, "", {}),
        )
        env = environment.Environment(
            None, self.output, None, environment.Clock(), random.Random(1)
        )
        self.gateway = process.Gateway(made, env)
        self.server = self.gateway._tunnels
        self.opened = stack.enter_context(contextlib.ExitStack())
        self.opened.enter_context(self.gateway.open())
        packed = zlib.compress(json.dumps(bench.DOCUMENT).encode())
        self.gateway.view.apply_declaration(1, packed, "test")

    def lose(self):
        """End all tunnels at once, as if the host were lost."""
        for one in list(self.server._open):
            one.carrier.abort()

    def list_lines(self, name):
        """Return the log lines with this name."""
        lines = map(json.loads, self.output.getvalue().splitlines())
        return [line for line in lines if line["name"] == name]


class TunnelCase(bench.GatewayCase):
    """A gateway for which nothing listens at the address of each upstream."""

    def setUp(self):
        super().setUp()
        self.peers = []

    def add_peer(self, name="peer-1", **changes):
        """Start a peer and name it to the gateway."""
        made = Peer(self.stack, name, **changes)
        self.peers.append(made)
        rows = tuple([one.name, one.address, "a", []] for one in self.peers)
        known = self.bench.gateway.handler.peers
        known.handle_answer("directory", tunnel_messages.PeersAnswer(rows))
        return made

    def add(self, identity, script, known_to=None):
        """Start an upstream that only peers reach."""
        made = bench.Upstream(identity, script)
        self.stack.callback(made.stop)
        nobody = f"127.0.0.1:{addresses.reserve_port()}"
        lost = dataclasses.replace(made.row, address=nobody)
        self.bench.gateway.view.merge_rows((lost,), "test")
        for peer in self.peers if known_to is None else known_to:
            peer.gateway.view.merge_rows((made.row,), "test")
        return made


class PassTest(TunnelCase):
    def test_a_request_is_served_whole_and_counted_where_it_was_admitted(self):
        peer = self.add_peer()
        upstream = self.add("u1", bench.answer("", "done"))
        for number in range(3):
            name = f"r-{number}"
            status, _, body = self.bench.ask(
                "/once/x", b"x" * 200_000, Trestlestall_Request=name
            )
            self.assertEqual((status, body), (200, "done"))
        received = upstream.received[0]
        self.assertEqual(len(received.body), 200_000)
        self.assertEqual(received.find("Trestlestall-Workspace"), "basu")
        self.assertIsNone(received.find("Authorization"))
        left = int(received.find("Trestlestall-Deadline-Milliseconds"))
        self.assertLessEqual(left, 3000)
        self.assertEqual(len(self.bench.list_lines("forward_ended")), 3)
        self.assertEqual(peer.list_lines("forward_ended"), [])

    def test_both_hops_of_a_request_are_logged_under_its_id(self):
        peer = self.add_peer()
        self.add("u1", bench.answer("", "done"))
        self.bench.ask("/once/x", Trestlestall_Request="r-7")
        (sent,) = self.bench.list_lines("forward_sent_by_peer")
        (used,) = peer.list_lines("tunnel_used")
        self.assertEqual((sent["request"], used["request"]), ("r-7", "r-7"))
        self.assertEqual((sent["peer"], used["gateway"]), ("peer-1", "gateway-1"))

    def test_events_pass_as_they_arrive(self):
        self.add_peer()

        def script(connection, received):
            first = bench.STREAM + bench.frame(bench.event(1), end=False)
            connection.sendall(first.encode())
            eventlet.sleep(0.5)
            connection.sendall(bench.frame(bench.event(2)).encode())

        self.add("u1", script)
        caller = self.bench.call()
        caller.ask("/stream/x")
        self.assertEqual(caller.read_head()[0], 200)
        started = time.monotonic()
        while bench.event(1).encode() not in caller.data:
            caller.data += caller.socket.recv(65536)
        self.assertLess(time.monotonic() - started, 0.4)
        self.assertIn(bench.event(2), caller.read_to_end())

    def test_an_upstream_learns_soon_that_the_caller_left(self):
        self.add_peer()
        ended = []

        def script(connection, received):
            connection.settimeout(3)
            with contextlib.suppress(OSError):
                connection.recv(1)
            ended.append(time.monotonic())
            return False

        upstream = self.add("u1", script)
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertTrue(bench.wait_until(lambda: upstream.received))
        left = time.monotonic()
        caller.close()
        self.assertTrue(bench.wait_until(lambda: ended))
        self.assertLess(ended[0] - left, 0.5)


#: More than the buffers of all sockets on the way through a peer take.
LONG_BODY_BYTES = 40_000_000


class SlowReader(bench.Upstream):
    """Reads a request in steps: a pause in seconds, then up to so many bytes in all."""

    def __init__(self, steps):
        super().__init__("u1", bench.answer("", "done"))
        self.steps = steps
        self.taken = 0
        self.ended_at = None

    def serve(self, connection):
        with contextlib.closing(connection), contextlib.suppress(OSError):
            for pause, size in self.steps:
                eventlet.sleep(pause)
                while self.taken < size and (data := connection.recv(65536)):
                    self.taken += len(data)
            self.script(connection, None)
            while connection.recv(65536):
                pass
        self.ended_at = time.monotonic()


class LongBodyTest(TunnelCase):
    """A body that is still being sent while the answer is waited for."""

    document = {
        **bench.DOCUMENT,
        "routes": (
            bench.make_route("once", whole_seconds=10.0),
            bench.make_route("again", idempotent=True, attempts=2, whole_seconds=10.0),
        ),
        "limits": {**bench.DOCUMENT["limits"], "body_bytes": LONG_BODY_BYTES},
    }

    def add_reader(self, *steps):
        """Start an upstream that only the peer reaches, and that reads in steps."""
        self.add_peer()
        made = SlowReader(steps)
        self.stack.callback(made.stop)
        nobody = f"127.0.0.1:{addresses.reserve_port()}"
        lost = dataclasses.replace(made.row, address=nobody)
        self.bench.gateway.view.merge_rows((lost,), "test")
        self.peers[0].gateway.view.merge_rows((made.row,), "test")
        return made

    def test_a_body_that_is_read_late_arrives_whole(self):
        """Guards against a peer that leaves out a part of a body after a pause."""
        made = self.add_reader((1.2, bench.BODY_BYTES))
        status, _, body = self.bench.ask("/again/x", b"z" * bench.BODY_BYTES)
        self.assertEqual((status, body), (200, "done"))
        self.assertGreater(made.taken, bench.BODY_BYTES)

    def test_waiting_for_the_answer_does_not_end_the_sending_of_the_body(self):
        """Guards against a time-out of the reader that holds for the writer, too."""
        self.add_reader((1.4, LONG_BODY_BYTES // 8), (0.9, LONG_BODY_BYTES))
        status, _, body = self.bench.ask("/again/x", b"z" * LONG_BODY_BYTES)
        self.assertEqual((status, body), (200, "done"))

    def test_an_upstream_that_does_not_read_learns_that_the_caller_left(self):
        """Guards against a peer that waits for the upstream and not for the caller."""
        made = self.add_reader((0.0, 1000), (8.0, bench.BODY_BYTES))
        caller = self.bench.call()
        caller.ask("/once/x", b"z" * bench.BODY_BYTES)
        self.assertTrue(bench.wait_until(lambda: made.taken))
        caller.close()
        server = self.peers[0].server
        self.assertTrue(bench.wait_until(lambda: not server.count, seconds=1.0))


class LostPeerTest(TunnelCase):
    def test_a_request_that_may_run_once_is_not_sent_again(self):
        for name in ("peer-1", "peer-2"):
            self.add_peer(name)
        upstream = self.add("u1", bench.send("", keep=True, after=5))
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertTrue(bench.wait_until(lambda: upstream.received))
        for peer in self.peers:
            peer.lose()
        self.assertEqual(caller.read_answer()[0], 502)
        self.assertEqual(len(upstream.received), 1)

    def test_a_request_that_may_be_repeated_goes_on_through_another_peer(self):
        for name in ("peer-1", "peer-2"):
            self.add_peer(name)
        answers = iter((bench.send("", keep=True, after=5), bench.answer("", "done")))
        upstream = self.add("u1", lambda *given: next(answers)(*given))
        caller = self.bench.call()
        caller.ask("/again/x")
        self.assertTrue(bench.wait_until(lambda: upstream.received))
        for peer in self.peers:
            peer.lose()
        self.assertEqual(caller.read_answer()[::2], (200, "done"))
        self.assertEqual(len(upstream.received), 2)

    def test_a_stream_goes_on_after_the_event_that_the_caller_has(self):
        for name in ("peer-1", "peer-2"):
            self.add_peer(name)
        begun = []

        def script(connection, received):
            first = int(received.find("Last-Event-Id") or 0) + 1
            events = [bench.event(number) for number in range(first, first + 3)]
            if first > 1:
                data = bench.STREAM + bench.frame(*events)
                return bench.send(data, keep=True)(connection, received)
            data = bench.STREAM + bench.frame(*events, end=False)
            connection.sendall(data.encode())
            begun.append(True)
            eventlet.sleep(5)
            return False

        self.add("u1", script)
        caller = self.bench.call()
        caller.ask("/resume/x")
        self.assertTrue(bench.wait_until(lambda: begun))
        eventlet.sleep(0.1)
        for peer in self.peers:
            peer.lose()
        whole = caller.read_to_end()
        self.assertTrue(whole.endswith("0\r\n\r\n"))
        for number in range(1, 7):
            self.assertEqual(whole.count(bench.event(number)), 1, number)

    def test_an_answer_without_a_length_that_a_peer_cuts_off_is_not_complete(self):
        peer = self.add_peer()
        sent = []

        def script(connection, received):
            connection.sendall(UNCLOSED.encode())
            sent.append(True)
            eventlet.sleep(5)
            return False

        self.add("u1", script)
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertTrue(bench.wait_until(lambda: sent))
        eventlet.sleep(0.1)
        peer.lose()
        self.assertEqual(caller.read_answer()[0], 502)

    def test_a_tunnel_shut_down_here_completes_no_answer(self):
        """Guards against a part of an answer that looks whole after an own shutdown."""
        self.add_peer()
        sent = []

        def script(connection, received):
            connection.sendall(UNCLOSED.encode())
            sent.append(True)
            eventlet.sleep(5)
            return False

        self.add("u1", script)
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertTrue(bench.wait_until(lambda: sent))
        eventlet.sleep(0.1)
        (tunnel,) = self.bench.gateway.handler.peers._list_open()
        tunnel.abort()
        self.assertEqual(caller.read_answer()[0], 502)

    def test_an_answer_without_a_length_ends_with_the_upstreams_connection(self):
        self.add_peer()
        self.add("u1", bench.send(UNCLOSED))
        self.assertEqual(self.bench.ask("/once/x")[::2], (200, "no length"))

    def test_a_reset_of_the_upstream_is_not_the_end_of_its_answer(self):
        self.add_peer()

        def script(connection, received):
            connection.sendall(UNCLOSED.encode())
            eventlet.sleep(0.1)
            bench.reset(connection)

        self.add("u1", script)
        self.assertEqual(self.bench.ask("/once/x")[0], 502)

    def test_the_next_request_after_a_loss_is_served_through_another_peer(self):
        for name in ("peer-1", "peer-2"):
            self.add_peer(name)
        self.add("u1", bench.answer("", "done"))
        for number in range(3):
            name = f"r-{number}"
            found = self.bench.ask("/once/x", Trestlestall_Request=name)
            self.assertEqual(found[0], 200)
        lost = self.bench.list_lines("forward_sent_by_peer")[-1]["peer"]
        (peer,) = [one for one in self.peers if one.name == lost]
        peer.opened.close()
        for number in range(3, 6):
            name = f"r-{number}"
            found = self.bench.ask("/once/x", Trestlestall_Request=name)
            self.assertEqual(found[0], 200)

    def hold_up_peers(self, seconds):
        """Let the handshakes of peers take that long, for the block."""
        prove = handshake.prove_accepted

        def prove_late(*arguments):
            eventlet.sleep(seconds)
            return prove(*arguments)

        return mock.patch.object(handshake, "prove_accepted", prove_late)

    def test_a_peer_that_is_held_up_for_a_moment_does_not_count_as_lost(self):
        self.add_peer()
        self.add("u1", bench.answer("", "done"))
        with self.hold_up_peers(1.0):
            self.assertEqual(self.bench.ask("/once/x")[0], 200)
        self.assertEqual(len(self.bench.list_lines("tunnel_opened")), 1)

    def test_a_caller_with_little_time_does_not_make_a_peer_count_as_lost(self):
        self.add_peer()
        upstream = self.add("u1", bench.answer("", "done"))
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        gateway = self.bench.gateway
        (row,) = gateway.view.table.rows.values()
        gateway.handler.pool.drop(row.address, "peer-1")
        with self.hold_up_peers(0.6):
            started = time.monotonic()
            status, _, _ = self.bench.ask(
                "/once/x", Trestlestall_Deadline_Milliseconds="300"
            )
            self.assertLess(time.monotonic() - started, 0.5)
            self.assertIn(status, (503, 504))
            eventlet.sleep(0.6)
        self.assertEqual(self.bench.list_lines("upstream_lost_by_peers"), [])
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        self.assertEqual(len(upstream.received), 2)

    def test_a_stopping_peer_gets_no_further_request(self):
        peer = self.add_peer()
        self.add("u1", bench.answer("", "done"))
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        peer.server.stop()
        other = self.add_peer("peer-2")
        known = list(peer.gateway.view.table.rows.values())
        other.gateway.view.merge_rows(known, "test")
        eventlet.sleep(0.05)
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        self.assertEqual(len(other.list_lines("tunnel_used")), 1)


class LostUpstreamTest(TunnelCase):
    def test_a_path_that_a_peer_loses_does_not_count_as_a_closed_connection(self):
        """Guards against crashes blamed on an upstream that its peer can't reach."""
        self.add_peer()

        def lose(opened, seconds):
            eventlet.sleep(0.1)
            raise connections.PathLostError("not acknowledged")

        upstream = self.add("u1", bench.send("", keep=True, after=5))
        crashes = self.bench.gateway.handler.crash_detector
        with (
            mock.patch.object(connections, "receive", lose),
            mock.patch.object(crashes, "record_broken") as record_broken,
        ):
            self.assertEqual(self.bench.ask("/once/x")[0], 502)
        record_broken.assert_not_called()
        self.assertEqual(len(upstream.received), 1)


class RefusedTest(TunnelCase):
    def check_not_run(self, upstream):
        """Check that a request is refused as not run, with a time to return."""
        status, head, _ = self.bench.ask("/once/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", head)
        self.assertEqual(upstream.received, [])

    def test_a_process_without_the_secret_gets_no_tunnel(self):
        peer = self.add_peer(secret="other")
        self.check_not_run(self.add("u1", bench.answer("", "done")))
        self.assertTrue(peer.list_lines("tunnel_refused"))

    def test_a_caller_gets_nothing_from_the_address_for_peers(self):
        peer = self.add_peer()
        upstream = self.add("u1", bench.answer("", "done"))
        caller = bench.Caller(int(peer.address.rpartition(":")[2]))
        self.stack.callback(caller.close)
        caller.ask("/open/x")
        self.assertNotEqual(caller.read_head()[0], 200)
        self.assertEqual(upstream.received, [])

    def test_connections_that_prove_nothing_yield_to_a_gateway(self):
        """Guards against clients that take a peer's descriptors."""
        peer = self.add_peer()
        self.add("u1", bench.answer("", "done"))
        port = int(peer.address.rpartition(":")[2])
        callers = [bench.Caller(port) for _ in range(3 * tunnel_server.PENDING_LIMIT)]
        for caller in callers:
            self.stack.callback(caller.close)
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        pending = len(peer.server._pending)
        self.assertLessEqual(pending, tunnel_server.PENDING_LIMIT)

    def test_a_peer_connects_only_to_upstreams_that_it_knows(self):
        peer = self.add_peer()
        self.check_not_run(self.add("u1", bench.answer("", "done"), known_to=()))
        reasons = {line["reason"] for line in peer.list_lines("tunnel_refused")}
        self.assertEqual(reasons, {tunnel_server.UNKNOWN})

    def test_there_is_one_hop_at_most(self):
        far = self.add_peer("peer-1")
        near = self.add_peer("peer-2")
        upstream = self.add("u1", bench.answer("", "done"), known_to=(far,))
        nobody = f"127.0.0.1:{addresses.reserve_port()}"
        lost = dataclasses.replace(upstream.row, address=nobody)
        near.gateway.view.merge_rows((lost,), "test")
        rows = (["peer-1", far.address, "a", []],)
        known = near.gateway.handler.peers
        known.handle_answer("directory", tunnel_messages.PeersAnswer(rows))
        rows = (["peer-2", near.address, "a", []],)
        known = self.bench.gateway.handler.peers
        known.handle_answer("directory", tunnel_messages.PeersAnswer(rows))
        self.check_not_run(upstream)

    def test_a_peer_that_carries_too_many_opens_no_more(self):
        peer = self.add_peer()
        upstream = self.add("u1", bench.answer("", "done"))
        with mock.patch.object(tunnel_server, "TUNNELS_LIMIT", 0):
            self.check_not_run(upstream)
        reasons = {line["reason"] for line in peer.list_lines("tunnel_refused")}
        self.assertEqual(reasons, {tunnel_server.FULL})


class RaceTest(unittest.TestCase):
    def test_only_the_first_tunnel_is_kept(self):
        made = []

        def open_one(record):
            tunnel = mock.create_autospec(tunnels.Tunnel, instance=True)
            made.append(tunnel)
            eventlet.sleep(record)
            return tunnel

        race = tunnel_race.TunnelRace(open_one)
        for seconds in (0.02, 0.02, 0.1):
            race.start(seconds)
        kept = race.wait(1.0)
        eventlet.sleep(0.2)
        closed = [one for one in made if one.close.called]
        self.assertEqual(len(closed), 2)
        self.assertNotIn(kept, closed)


class HungRequestTest(TunnelCase):
    def test_a_request_that_hangs_on_a_lost_path_takes_no_room(self):
        """Guards against upstreams that seem slow to all gateways after a cut."""
        peer = self.add_peer()
        upstream = self.bench.add("u1", bench.send("", keep=True, after=5))
        peer.gateway.view.merge_rows((upstream.row,), "test")
        view = self.bench.gateway.view
        caller = self.bench.call()
        caller.ask("/once/x")
        self.assertTrue(bench.wait_until(lambda: upstream.received))
        self.assertEqual(view.placer.count_requests("u1"), 1)
        eventlet.sleep(0.25)
        prober = self.bench.gateway.handler.prober
        prober.mark_unreachable(upstream.row, "timed out", timed_out=True)
        released = bench.wait_until(
            lambda: not view.placer.count_requests("u1"), seconds=1.0
        )
        self.assertTrue(released)
        self.assertEqual(caller.read_answer()[0], 504)
        self.assertEqual(len(upstream.received), 1)


class ReturnTest(TunnelCase):
    def test_the_direct_way_is_taken_again_as_soon_as_it_is_steady(self):
        peer = self.add_peer()
        upstream = self.add("u1", bench.answer("", "done"))
        self.assertEqual(self.bench.ask("/once/x")[0], 200)
        gateway = self.bench.gateway
        lost = gateway.view.table.rows["u1"]
        port = int(lost.address.rpartition(":")[2])
        direct = eventlet.listen(("127.0.0.1", port))
        self.stack.callback(direct.close)
        self.stack.callback(eventlet.spawn(self.pass_on, direct, upstream).kill)
        self.assertTrue(
            bench.wait_until(lambda: self.bench.list_lines("upstream_reached"))
        )
        used = len(peer.list_lines("tunnel_used"))
        gateway.handler.pool.drop(lost.address, "peer-1")
        for number in range(3):
            self.assertEqual(self.bench.ask("/once/x")[0], 200, number)
        self.assertEqual(len(peer.list_lines("tunnel_used")), used)

    def pass_on(self, listening, upstream):
        """Serve connections as the upstream does."""
        while True:
            connection, _ = listening.accept()
            eventlet.spawn(upstream.serve, connection)


class CrashTest(TunnelCase):
    def test_a_partition_that_refuses_connections_is_no_crash(self):
        self.add_peer()
        closing = self.add("u1", lambda connection, received: False)
        for number in range(4):
            name = f"r-{number}"
            self.bench.ask("/again/x", Trestlestall_Request=name)
        self.assertTrue(closing.received)
        self.assertEqual(self.bench.list_lines("upstream_ended"), [])
        self.assertEqual(self.bench.list_lines("request_held"), [])
