"""Links over real sockets: unknown peers, faulty peers, partitions (see test_links)."""

import contextlib
import dataclasses
import os
import socket
import time
import typing
import unittest
from collections import abc
from unittest import mock

import cbor2
import eventlet

from trestlestall.wire import codec, connections, handshake, link, links, messages

SECRET = "the shared secret"
WAIT_TIMEOUT_SECONDS = 20.0
UNKNOWN_PEER = messages.Hello("stranger", "router", "a", "00")


class Recorder:
    """A mesh that records messages and link changes and answers status calls."""

    def __init__(
        self, name: str, peers: abc.Iterable[links.Peer] = (), **settings: str
    ) -> None:
        self.received: list[tuple[str, typing.Any]] = []
        self.changes: list[tuple[str, bool]] = []
        self.mesh = links.Mesh(
            name=name,
            role=settings.get("role", name.partition("-")[0]),
            data_centre="a",
            secret=settings.get("secret", SECRET),
            listen=settings.get("listen", "127.0.0.1:0"),
            peers=peers,
            on_message=self.handle,
            on_change=lambda peer, linked: self.changes.append((peer, linked)),
        )

    def handle(self, sender: str, message: typing.Any) -> None:
        """Record the message, and answer it if it is a status call."""
        self.received.append((sender, message))
        if isinstance(message, messages.StatusCall):
            self.mesh.send(sender, messages.StatusAnswer(message.token, {}))

    def as_peer(self) -> links.Peer:
        """Return this mesh as an entry of other meshes' lists of peers."""
        return links.Peer(self.mesh.name, self.mesh.role, "a", self.mesh.address)


@contextlib.contextmanager
def run(*args: typing.Any, **settings: str) -> abc.Iterator[Recorder]:
    """Run a mesh for the block."""
    recorder = Recorder(*args, **settings)
    recorder.mesh.start()
    try:
        yield recorder
    finally:
        recorder.mesh.stop()


@contextlib.contextmanager
def run_pair() -> abc.Iterator[tuple[Recorder, Recorder]]:
    """Run a control process and a router that are linked."""
    listed = links.Peer("router-3", "router", "a", "127.0.0.1:1")
    with run("control-1", [listed]) as control:
        with run("router-1", [control.as_peer()]) as router:
            wait_for(lambda: router.mesh.linked() and control.mesh.linked())
            yield control, router


def wait_for(condition: abc.Callable[[], object]) -> None:
    """Let other greenlets run until the condition holds."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met within {WAIT_TIMEOUT_SECONDS} s")
        eventlet.sleep(0.01)


def echo(asker: Recorder, name: str, token: int) -> None:
    """Ask a peer for its status and wait for the answer."""
    answer = (name, messages.StatusAnswer(token, {}))
    assert asker.mesh.send(name, messages.StatusCall(token))
    wait_for(lambda: answer in asker.received)


def connect(address: str) -> socket.socket:
    """Return a plain connection to an ``IP:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT_SECONDS)


def is_ended(opened: socket.socket) -> bool:
    """Read until the other side ends the connection, and return true."""
    with contextlib.suppress(ConnectionError):
        while opened.recv(65536):
            pass
    return True


@contextlib.contextmanager
def open_websocket(address: str) -> abc.Iterator[connections.Connection]:
    """Open a websocket without the handshake's proof."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    with connections.dial(address, deadline, codec.MAX_FRAME_BYTES) as connection:
        assert connection is not None
        yield connection


@contextlib.contextmanager
def open_link(address: str, hello: messages.Hello) -> abc.Iterator[typing.Any]:
    """Open an authenticated link without a mesh, for a test to misbehave on it."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    with open_websocket(address) as connection:
        own = handshake.make_challenge(hello)
        answer = handshake.prove_dialled(
            connection, own, SECRET.encode(), deadline, lambda challenge: None
        )
        assert isinstance(answer, messages.Challenge), answer
        connection.lift_handshake_limits(codec.MAX_FRAME_BYTES)
        yield connection


class PairCase(unittest.TestCase):
    def test_messages_pass_both_ways_and_are_counted(self) -> None:
        with run_pair() as (control, router):
            echo(router, "control-1", 1)
            echo(control, "router-1", 2)
            self.assertEqual(control.changes, [("router-1", True)])
            self.assertEqual(router.changes, [("control-1", True)])
            sent, received = router.mesh.bytes_sent, control.mesh.bytes_received
            self.assertGreater(sent, 0)
            wait_for(lambda: control.mesh.bytes_received >= sent)
            self.assertGreater(received, 0)

    def test_send_returns_false_for_messages_that_cannot_be_sent(self) -> None:
        with run_pair() as (control, router):
            large = messages.StatusAnswer(1, {"text": "x" * codec.MAX_FRAME_BYTES})
            self.assertFalse(router.mesh.send("control-1", large))
            self.assertFalse(router.mesh.send("router-9", messages.StatusCall(1)))
            echo(router, "control-1", 2)

    def test_large_messages_cross_without_waiting_for_each_other(self) -> None:
        with run_pair() as (control, router):
            large = messages.StatusAnswer(
                1, {"data": b"x" * (codec.MAX_FRAME_BYTES - 100)}
            )
            for _ in range(2):
                self.assertTrue(router.mesh.send("control-1", large))
                self.assertTrue(control.mesh.send("router-1", large))
            wait_for(lambda: len(router.received) == 2 and len(control.received) == 2)
            self.assertEqual(router.received, [("control-1", large)] * 2)
            self.assertEqual(len(router.changes + control.changes), 2)

    def test_which_side_dials(self) -> None:
        cases = (
            ("router-1", "router", "control-1", "control", True),
            ("control-1", "control", "router-1", "router", False),
            ("router-1", "router", "router-2", "router", True),
            ("router-2", "router", "router-1", "router", False),
            ("control-1", "control", "control-2", "control", True),
        )
        for name, role, peer, peer_role, is_dialler in cases:
            with self.subTest(name=name, peer=peer):
                listed = links.Peer(peer, peer_role, "a", "127.0.0.1:1")
                self.assertEqual(links.should_dial(name, role, listed), is_dialler)

    def test_idle_links_stay(self) -> None:
        with run_pair() as (control, router):
            eventlet.sleep(link.SILENCE_TIMEOUT_SECONDS + 1.0)
            self.assertEqual(len(router.changes + control.changes), 2)

    def test_stop_ends_greenlets_and_sockets(self) -> None:
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(3):
            with run_pair() as (control, router), connect(control.mesh.address):
                echo(router, "control-1", 1)
                router.mesh.send("control-1", messages.StatusCall(2))
                router.mesh.stop()
                last = ("router-1", messages.StatusCall(2))
                wait_for(lambda last=last, received=control.received: last in received)
        wait_for(lambda: not control.mesh.greenlets and not router.mesh.greenlets)
        wait_for(lambda: len(os.listdir("/proc/self/fd")) <= before)


class UnknownPeerCase(unittest.TestCase):
    def check(self, disturb: abc.Callable[[str], None]) -> None:
        """Check that an unauthenticated connection doesn't affect a linked pair."""
        with run_pair() as (control, router):
            disturb(control.mesh.address)
            echo(router, "control-1", 1)
            wait_for(lambda: not control.mesh.pending)
            echo(control, "router-1", 2)
            self.assertEqual(control.changes, [("router-1", True)])
            self.assertEqual(router.changes, [("control-1", True)])
            self.assertEqual(control.mesh.linked(), {"router-1"})

    def test_bytes_that_are_not_a_websocket(self) -> None:
        cases = {
            "rubbish": bytes(range(256)) * 64,
            "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            "endless line": b"GET /" + b"x" * 100_000,
            "nothing": b"",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.check(lambda address, data=data: self.send_plain(address, data))

    def send_plain(self, address: str, data: bytes) -> None:
        """Send bytes and wait until the other side ends the connection."""
        with connect(address) as opened:
            with contextlib.suppress(ConnectionError):
                opened.sendall(data)
            self.assertTrue(is_ended(opened))

    def test_websockets_without_a_proof(self) -> None:
        challenge = handshake.make_challenge(UNKNOWN_PEER)
        cases = {
            "silent": [],
            "rubbish": [b"\xff\xfe"],
            "message too early": [codec.encode(messages.StatusCall(1))],
            "huge": [b"\x00" * 100_000],
            "empty": [b""],
            "guessed proof": [
                codec.encode(challenge),
                codec.encode(messages.Proof(b"\x00" * 32)),
            ],
            "short nonce": [
                codec.encode(messages.Challenge("stranger", "router", "a", "0", b"1"))
            ],
        }
        for name, frames in cases.items():
            with self.subTest(name):
                self.check(lambda address, sent=frames: self.send_all(address, sent))

    def send_all(self, address: str, sent: list[bytes]) -> None:
        """Send frames and wait until the other side ends the connection."""
        with open_websocket(address) as connection:
            for frame in sent:
                connection.send(frame)
            self.assertTrue(is_ended(connection.socket))

    def test_a_proof_is_valid_for_one_challenge_and_one_side(self) -> None:
        ours = handshake.make_challenge(UNKNOWN_PEER)
        theirs = handshake.make_challenge(messages.Hello("other", "control", "a", "1"))
        secret = SECRET.encode()
        expected = handshake.sign(secret, handshake.DIALLING, ours, theirs)
        fresh = handshake.make_challenge(UNKNOWN_PEER)
        renewed = dataclasses.replace(theirs, nonce=fresh.nonce)
        proofs = {
            "other nonce": (secret, handshake.DIALLING, fresh, theirs),
            "other side": (secret, handshake.ACCEPTING, ours, theirs),
            "sides swapped": (secret, handshake.DIALLING, theirs, ours),
            "other secret": (b"guess", handshake.DIALLING, ours, theirs),
            "other answer": (secret, handshake.DIALLING, ours, renewed),
        }
        for name, parts in proofs.items():
            with self.subTest(name):
                proof = handshake.sign(*parts)
                self.assertFalse(handshake.is_proven(expected, proof))
        self.assertTrue(handshake.is_proven(expected, expected))

    def test_processes_with_an_unexpected_identity_are_refused(self) -> None:
        cases = {
            "another secret": ("control-1", {"name": "router-2", "secret": "guess"}),
            "another role": ("control-1", {"name": "router-3", "role": "operator"}),
            "the own name": ("control-1", {"name": "control-1", "role": "router"}),
            "another target": ("control-9", {"name": "router-2"}),
        }
        for name, (target, settings) in cases.items():
            with self.subTest(name):
                self.check(
                    lambda address, target=target, settings=settings: self.dial(
                        links.Peer(target, "control", "a", address), settings
                    )
                )

    def dial(self, target: links.Peer, settings: dict[str, str]) -> None:
        """Let a process dial until it was refused twice, and check it got no link."""
        with run(peers=[target], **settings) as process:
            wait_for(lambda: process.mesh.refused >= 2)
            self.assertEqual(process.changes, [])

    def test_connections_without_proof_are_bounded(self) -> None:
        with run_pair() as (control, router), contextlib.ExitStack() as stack:
            max_pending = 0
            for _ in range(links.PENDING_LIMIT + 20):
                stack.enter_context(connect(control.mesh.address))
                eventlet.sleep(0)
                max_pending = max(max_pending, len(control.mesh.pending))
            self.assertEqual(max_pending, links.PENDING_LIMIT)
            echo(router, "control-1", 1)

    def test_addresses_where_another_protocol_answers(self) -> None:
        switching = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
        answers = {
            "nothing": b"",
            "rubbish": bytes(range(256)),
            "page": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "redirect": b"HTTP/1.1 302 Found\r\nLocation: ws://127.0.0.1:1/\r\n\r\n",
            "no key": switching + b"Connection: Upgrade\r\n\r\n",
        }
        for name, answer in answers.items():
            listener = socket.create_server(("127.0.0.1", 0))
            with self.subTest(name), listener:
                server = eventlet.spawn(self.answer, listener, answer)
                address = "127.0.0.1:" + str(listener.getsockname()[1])
                deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
                with connections.dial(address, deadline, 1000) as connection:
                    self.assertIsNone(connection)
                server.wait()

    def answer(self, listener: socket.socket, answer: bytes) -> None:
        """Send this answer on one connection and close it."""
        opened, _ = listener.accept()
        with opened:
            opened.recv(65536)
            opened.sendall(answer)


class PeerCase(unittest.TestCase):
    """Faulty peers that hold the secret."""

    def test_frames_that_are_not_understood(self) -> None:
        refusal = messages.NotUnderstood
        cases = {
            "later version": ([2, "hello", {"x": 1}], refusal("hello", 1)),
            "later message": ([1, "novelty", {}], refusal("novelty", 1)),
            "unknown key": ([1, "status_call", {"token": 1, "x": 1}], None),
            "no frame": ("rubbish", None),
        }
        with run_pair() as (control, router):
            with open_link(control.mesh.address, UNKNOWN_PEER) as opened:
                for token, (name, (frame, answer)) in enumerate(cases.items()):
                    with self.subTest(name):
                        opened.send(cbor2.dumps(frame))
                        opened.send(codec.encode(messages.StatusCall(token)))
                        replies = list(self.read_until(opened, token))
                        self.assertEqual(replies, [answer] if answer else [])
                echo(router, "control-1", 1)

    def read_until(
        self, opened: connections.Connection, token: int
    ) -> abc.Iterator[typing.Any]:
        """Yield the messages that precede the status with the token."""
        while (frame := opened.receive()) is not None:
            if frame == link.HEARTBEAT:
                continue
            message = codec.decode(frame)
            if message == messages.StatusAnswer(token, {}):
                return
            yield message
        raise AssertionError("the link ended before the status answer")

    def test_links_to_faulty_peers_are_aborted(self) -> None:
        cases = {
            "huge frame": lambda opened: opened.send(
                b"\x00" * (codec.MAX_FRAME_BYTES + 1)
            ),
            "text frame": lambda opened: self.send_text(opened),
            "silent": lambda opened: None,
        }
        for name, misbehave in cases.items():
            with self.subTest(name), run_pair() as (control, router):
                with open_link(control.mesh.address, UNKNOWN_PEER) as opened:
                    wait_for(lambda known=control: "stranger" in known.mesh.linked())
                    misbehave(opened)
                    if name != "silent":
                        eventlet.spawn(self.keep_alive, opened)
                    self.assertTrue(is_ended(opened.socket))
                wait_for(lambda known=control: ("stranger", False) in known.changes)
                echo(router, "control-1", 1)
                self.assertEqual(router.changes, [("control-1", True)])

    def send_text(self, opened: connections.Connection) -> None:
        """Send a text frame, which the links don't use."""
        opened.protocol.send_text(b"hello")
        opened.flush()

    def test_a_peer_that_reads_nothing(self) -> None:
        with run_pair() as (control, router):
            with open_link(control.mesh.address, UNKNOWN_PEER) as opened:
                wait_for(lambda: "stranger" in control.mesh.linked())
                outbox = control.mesh.links["stranger"].outbox
                for count in range(100):
                    message = messages.StatusAnswer(count, {"data": b"x" * 1_000_000})
                    control.mesh.send("stranger", message)
                    self.assertLess(outbox.bytes, 17 * 1024 * 1024)
                self.assertGreater(outbox.dropped, 70)
                keepalive = eventlet.spawn(self.keep_alive, opened)
                wait_for(lambda: ("stranger", False) in control.changes)
                keepalive.kill()
                echo(router, "control-1", 1)

    def test_a_wait_until_messages_are_written(self) -> None:
        with run_pair() as (control, router):
            router.mesh.send("control-1", messages.StatusCall(1))
            queued = router.mesh.links["control-1"].outbox.frames
            self.assertEqual(len(queued), 1)
            router.mesh.wait_written(["control-1", "unknown"], WAIT_TIMEOUT_SECONDS)
            self.assertEqual(len(queued), 0)
            wait_for(
                lambda: ("control-1", messages.StatusAnswer(1, {})) in router.received
            )

    def test_a_wait_for_a_peer_that_reads_nothing_ends(self) -> None:
        with run_pair() as (control, _):
            with open_link(control.mesh.address, UNKNOWN_PEER):
                wait_for(lambda: "stranger" in control.mesh.linked())
                opened = control.mesh.links["stranger"]
                for count in range(20):
                    message = messages.StatusAnswer(count, {"data": b"x" * 1_000_000})
                    control.mesh.send("stranger", message)
                control.mesh.wait_written(["stranger"], 0.05)
                self.assertFalse(opened.has_written(opened.outbox.added))
                opened.abort()
                self.assertTrue(opened.has_written(opened.outbox.added))

    def keep_alive(self, opened: connections.Connection) -> None:
        """Send heartbeats, so that not reading is the peer's only fault."""
        while opened.send(link.HEARTBEAT):
            eventlet.sleep(link.KEEPALIVE_SECONDS)

    def test_a_flood_does_not_starve_other_greenlets(self) -> None:
        # Name: messages sent at once, bytes of each, most handled without a switch to
        # another greenlet.
        cases = {
            "small": (2000, 10, 2 * link.FRAMES_PER_TURN),
            "large": (10, 40_000, 3),
        }
        for name, (count, size, max_streak) in cases.items():
            with self.subTest(name):
                seen = self.flood(count, messages.StatusAnswer(1, {"x": b"x" * size}))
                self.assertLessEqual(max(seen.count(turn) for turn in seen), max_streak)

    def flood(self, count: int, message: messages.StatusAnswer) -> list[int]:
        """Send all messages at once; return, for each arrival, the switches so far."""
        turns = 0
        seen: list[int] = []

        def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                eventlet.sleep(0)

        with run_pair() as (control, _):
            control.mesh.on_message = lambda sender, message: seen.append(turns)
            with open_link(control.mesh.address, UNKNOWN_PEER) as opened:
                for _ in range(count):
                    opened.protocol.send_binary(codec.encode(message))
                other = eventlet.spawn(take_turns)
                opened.socket.sendall(b"".join(opened.protocol.data_to_send()))
                wait_for(lambda: len(seen) == count)
                other.kill()
        return seen

    def test_the_newest_link_of_a_name_replaces_older_ones(self) -> None:
        endless = mock.patch.object(link, "SILENCE_TIMEOUT_SECONDS", 1000.0)
        with endless, run_pair() as (control, router):
            with run("router-1", [control.as_peer()]) as second:
                wait_for(lambda: second.mesh.linked())
                wait_for(lambda: ("control-1", False) in router.changes)
                router.mesh.stop()
                wait_for(lambda: second.mesh.linked())
                echo(control, "router-1", 7)
                answer = ("router-1", messages.StatusAnswer(7, {}))
                self.assertEqual(control.received.count(answer), 1)
                self.assertNotIn(("router-1", False), control.changes)


class Proxy:
    """A TCP proxy whose connections can be refused, ended or stalled."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.open = True
        self.stalls = False
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        eventlet.spawn(self.accept)

    def accept(self) -> None:
        """Forward connections while the proxy is open."""
        while True:
            opened, _ = self.listener.accept()
            if not self.open:
                opened.close()
                continue
            other = connect(self.target)
            other.settimeout(None)
            self.sockets += [opened, other]
            eventlet.spawn(self.pump, opened, other)
            eventlet.spawn(self.pump, other, opened)

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward bytes, or drop them while the proxy stalls."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if not self.stalls:
                    sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Refuse new connections and end the open ones."""
        self.open = False
        for opened in self.sockets:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)


class RecoveryCase(unittest.TestCase):
    @contextlib.contextmanager
    def run_proxied(self) -> abc.Iterator[tuple[Recorder, Recorder, Proxy]]:
        """Run a control process and two routers, the first behind a proxy."""
        with run("control-1") as control:
            proxy = Proxy(control.mesh.address)
            proxied = links.Peer("control-1", "control", "a", proxy.address)
            with run("router-1", [proxied]) as router:
                with run("router-2", [control.as_peer()]) as other:
                    wait_for(lambda: len(control.mesh.linked()) == 2)
                    wait_for(lambda: router.mesh.linked() and other.mesh.linked())
                    yield control, router, proxy
                    echo(other, "control-1", 99)
                    self.assertEqual(other.changes, [("control-1", True)])

    def test_a_partition_that_heals(self) -> None:
        with self.run_proxied() as (control, router, proxy):
            proxy.abort()
            wait_for(lambda: not router.mesh.linked())
            wait_for(lambda: control.mesh.linked() == {"router-2"})
            self.assertFalse(router.mesh.send("control-1", messages.StatusCall(1)))
            proxy.open = True
            wait_for(lambda: router.mesh.linked())
            echo(router, "control-1", 2)

    def test_a_link_that_stalls(self) -> None:
        with self.run_proxied() as (control, router, proxy):
            proxy.stalls = True
            wait_for(lambda: not router.mesh.linked())
            wait_for(lambda: control.mesh.linked() == {"router-2"})
            proxy.stalls = False
            wait_for(lambda: router.mesh.linked())
            echo(router, "control-1", 1)

    def test_a_peer_that_restarts(self) -> None:
        with run("control-1") as first:
            peer = first.as_peer()
            with run("router-1", [peer]) as router:
                wait_for(lambda: router.mesh.linked())
                first.mesh.stop()
                wait_for(lambda: not router.mesh.linked())
                with run("control-1", listen=peer.address):
                    wait_for(lambda: router.mesh.linked())
                    echo(router, "control-1", 1)

    def test_a_process_that_stalled_keeps_its_links(self) -> None:
        with run_pair() as (control, router):
            opened = router.mesh.links["control-1"]
            opened.connection.reading_since -= 10.0
            opened.discount_stall(10.0)
            opened.check(time.monotonic())
            echo(router, "control-1", 1)
            opened.connection.reading_since -= 10.0
            opened.check(time.monotonic())
            wait_for(lambda: ("control-1", False) in router.changes)
