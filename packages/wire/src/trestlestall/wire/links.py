"""Links between the system's processes: one per pair, authenticated and bounded.

The process must have been patched by ``eventlet.monkey_patch()`` before this module is
imported; everything then runs in greenlets of one thread.

Example::

    peers = [Peer("control-1", "control", "a", "127.0.0.1:9000")]
    mesh = Mesh("router-a1", "router", "a", secret, "127.0.0.1:9001", peers,
                on_message=handle, on_change=note)
    mesh.start()
    mesh.send("control-1", messages.StatusCall(1))
"""

import contextlib
import dataclasses
import logging
import os
import random
import socket
import time
import typing
from collections import abc

import eventlet
from eventlet import greenthread
from websockets import exceptions as websocket_exceptions
from websockets.sync import client, server

from trestlestall.wire import (
    addresses,
    codec,
    connections,
    exceptions,
    handshake,
    link,
    messages,
)

HANDSHAKE_SECONDS = 2.0
CLOSE_SECONDS = 0.5
FIRST_WAIT = 0.1
LONGEST_WAIT = 1.5
CHECK_SECONDS = 0.25
FLUSH_SECONDS = 0.3
STABLE_SECONDS = 1.0
HANDSHAKE_FRAME = 4096
PENDING_LIMIT = 64
LINK_LIMIT = 1000
QUEUED_FRAMES = 4
ACCEPT_PAUSE = 0.2
CONTROL = "control"

# The library logs each refused handshake with a traceback; the mesh counts them.
LOGGER = logging.getLogger("trestlestall.wire.websockets")
LOGGER.setLevel(logging.CRITICAL)

# ValueError: the library refuses an HTTP redirect, since the socket is ours.
HANDSHAKE_FAILURES = (
    websocket_exceptions.WebSocketException,
    OSError,
    ValueError,
)

# What both sides ask of the library. Frames of the handshake are small; the bound is
# raised once the peer is authenticated.
BOUNDS = {
    "compression": None,
    "ping_interval": None,
    "close_timeout": CLOSE_SECONDS,
    "max_size": HANDSHAKE_FRAME,
    "max_queue": QUEUED_FRAMES,
    "logger": LOGGER,
}


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another process of the system; ``address`` is ``IP:port``."""

    name: str
    role: str
    data_centre: str
    address: str


class Mesh:
    """The links of one process.

    ``on_message(sender_name, message)`` is called in the link's greenlet: while it
    waits, nothing more is read from that link. ``on_change(name, linked)`` is called
    when a link opens (also when it replaces an older one) and when the last one to the
    peer ends. An exception from either ends the link and is printed by eventlet.

    The secret is a text that all processes of a deployment share. A listed peer is
    dialled by the side that ``should_dial`` names; the other side must then list it, or
    be a control process. Peers that dial in need not be listed.
    """

    def __init__(
        self,
        name: str,
        role: str,
        data_centre: str,
        secret: str | bytes,
        listen: str,
        peers: abc.Iterable[Peer],
        on_message: abc.Callable[[str, typing.Any], object],
        on_change: abc.Callable[[str, bool], object],
    ) -> None:
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.secret = secret.encode() if isinstance(secret, str) else secret
        self.listen = listen
        self.peers = {peer.name: peer for peer in peers}
        self.on_message = on_message
        self.on_change = on_change
        self.identity = os.urandom(8).hex()
        self.random = random.Random(self.identity)
        self.links: dict[str, link.Link] = {}
        self.pending: set[socket.socket] = set()
        self.refused = 0
        self.closed_sent = 0
        self.closed_received = 0
        self.greenlets: set[greenthread.GreenThread] = set()
        self.listener: socket.socket | None = None
        self.stopping = False

    # What the process calls.

    def start(self) -> None:
        """Listen and start to dial; raise ``ListenError`` if the address is taken."""
        for peer in self.peers.values():
            addresses.parse(peer.address)
        self.listener = open_listener(self.listen)
        acceptor = server.serve(
            self.serve_accepted,
            sock=self.listener,
            create_connection=connections.AcceptedConnection,
            open_timeout=HANDSHAKE_SECONDS,
            **BOUNDS,
        )
        self.spawn(self.run_acceptor, acceptor)
        self.spawn(self.run_checks)
        for peer in self.peers.values():
            if should_dial(self.name, self.role, peer):
                self.spawn(self.run_dialler, peer)

    def stop(self) -> None:
        """Send what is queued, for a moment, and end all links and greenlets."""
        self.stopping = True
        if self.listener is not None:
            close_socket(self.listener)
        self.flush()
        for open_link in list(self.links.values()):
            open_link.cut()
        for connection in list(self.pending):
            close_socket(connection)
        current = greenthread.getcurrent()
        others = [greenlet for greenlet in self.greenlets if greenlet is not current]
        for greenlet in others:
            greenlet.kill()

    def flush(self) -> None:
        """Wait until the queues are empty, at most ``FLUSH_SECONDS``."""
        deadline = time.monotonic() + FLUSH_SECONDS
        while time.monotonic() < deadline:
            if not any(one.is_sending() for one in self.links.values()):
                return
            eventlet.sleep(FLUSH_SECONDS / 10)

    def send(self, name: str, message: object) -> bool:
        """Queue the message for the peer; return false if it isn't linked.

        Also false for a message above the bound of a frame. Nothing tells whether a
        queued message arrives: the link may end, or drop its oldest ones.
        """
        open_link = self.links.get(name)
        if open_link is None:
            return False
        try:
            frame = codec.encode(message)
        except exceptions.OversizedMessageError:
            return False
        open_link.send(frame)
        return True

    def linked(self) -> set[str]:
        """Return the names of the peers with an open link."""
        return set(self.links)

    @property
    def address(self) -> str:
        """Return the address listened on, with the port that the kernel chose."""
        assert self.listener is not None
        return addresses.render(*self.listener.getsockname()[:2])

    @property
    def bytes_sent(self) -> int:
        """Return the bytes of websocket frames sent since the start."""
        return self.closed_sent + sum(one.bytes_sent for one in self.links.values())

    @property
    def bytes_received(self) -> int:
        """Return the bytes of websocket frames received since the start."""
        received = (one.bytes_received for one in self.links.values())
        return self.closed_received + sum(received)

    # The greenlets.

    def spawn(self, function: abc.Callable[..., object], *args: object) -> None:
        """Run the function in a greenlet that ``stop`` ends."""
        greenlet = eventlet.spawn(function, *args)
        self.greenlets.add(greenlet)
        greenlet.link(lambda ended: self.greenlets.discard(ended))

    def run_acceptor(self, acceptor: server.Server) -> None:
        """Accept connections until the mesh stops.

        The library's own loop would end for good when the process is out of files.
        """
        while not self.stopping:
            try:
                connection, address = self.listener.accept()
            except OSError:
                eventlet.sleep(ACCEPT_PAUSE)
                continue
            if len(self.pending) >= PENDING_LIMIT or len(self.links) >= LINK_LIMIT:
                self.refused += 1
                connection.close()
            else:
                self.pending.add(connection)
                self.spawn(self.run_accepted, acceptor, connection, address)

    def run_accepted(
        self, acceptor: server.Server, connection: socket.socket, address: object
    ) -> None:
        """Let the library open the websocket; it then calls ``serve_accepted``."""
        try:
            acceptor.handler(connection, address)
        finally:
            self.pending.discard(connection)

    def serve_accepted(self, connection: connections.AcceptedConnection) -> None:
        """Authenticate a peer that dialled, and run its link."""
        with contextlib.suppress(*HANDSHAKE_FAILURES):
            answer = self.authenticate_accepted(connection)
            if isinstance(answer, handshake.Refused):
                self.refused += 1
                return
            self.pending.discard(connection.socket)
            self.run_link(link.Link(connection, answer, dialled=False))

    def run_dialler(self, peer: Peer) -> None:
        """Keep a link to the peer, with growing and jittered waits between tries."""
        wait = FIRST_WAIT
        while not self.stopping:
            started = time.monotonic()
            with contextlib.suppress(*HANDSHAKE_FAILURES):
                self.dial(peer)
            stable = time.monotonic() - started > HANDSHAKE_SECONDS + STABLE_SECONDS
            wait = FIRST_WAIT if stable else min(LONGEST_WAIT, wait * 2)
            eventlet.sleep(wait * self.random.uniform(0.5, 1.0))

    def dial(self, peer: Peer) -> None:
        """Open a connection to the peer, authenticate, and run the link to its end."""
        target = addresses.parse(peer.address)
        opened = socket.create_connection(target, timeout=HANDSHAKE_SECONDS)
        connecting = client.connect(
            f"ws://{peer.address}",
            sock=opened,
            proxy=None,
            create_connection=connections.DialledConnection,
            open_timeout=HANDSHAKE_SECONDS,
            **BOUNDS,
        )
        with connecting as connection:
            answer = self.authenticate_dialled(connection, peer)
            if isinstance(answer, handshake.Refused):
                self.refused += 1
                return
            self.run_link(link.Link(connection, answer, dialled=True))

    def run_checks(self) -> None:
        """Keep links alive and cut those whose peer is gone."""
        last = time.monotonic()
        while not self.stopping:
            eventlet.sleep(CHECK_SECONDS)
            now = time.monotonic()
            stood_still = now - last - CHECK_SECONDS
            last = now
            for open_link in list(self.links.values()):
                if stood_still > CHECK_SECONDS:
                    open_link.excuse(stood_still)
                open_link.check(now)

    # The parts of the above.

    def authenticate_dialled(
        self, connection: connections.DialledConnection, peer: Peer
    ) -> messages.Challenge | handshake.Refused:
        """Prove who we are, then check the peer's proof; return its challenge."""
        deadline = time.monotonic() + HANDSHAKE_SECONDS
        own = self.make_challenge()
        connection.send(codec.encode(own))
        answer = handshake.check_challenge(own, receive(connection, deadline))
        if isinstance(answer, handshake.Refused):
            return answer
        if (answer.name, answer.role) != (peer.name, peer.role):
            return handshake.Refused(f"{answer.name!r} answers for {peer.name!r}")
        proof = handshake.sign(self.secret, handshake.DIALLING, own, answer)
        connection.send(codec.encode(proof))
        expected = handshake.sign(self.secret, handshake.ACCEPTING, own, answer)
        if not handshake.is_proven(expected, receive(connection, deadline)):
            return handshake.Refused(f"{peer.name!r} gave no valid proof")
        return answer

    def authenticate_accepted(
        self, connection: connections.AcceptedConnection
    ) -> messages.Challenge | handshake.Refused:
        """Check the dialling peer's proof, then prove who we are."""
        deadline = time.monotonic() + HANDSHAKE_SECONDS
        own = self.make_challenge()
        answer = handshake.check_challenge(own, receive(connection, deadline))
        if isinstance(answer, handshake.Refused):
            return answer
        listed = self.peers.get(answer.name)
        if listed is not None and listed.role != answer.role:
            return handshake.Refused(f"{answer.name!r} comes as a {answer.role!r}")
        connection.send(codec.encode(own))
        expected = handshake.sign(self.secret, handshake.DIALLING, answer, own)
        if not handshake.is_proven(expected, receive(connection, deadline)):
            return handshake.Refused(f"{answer.name!r} gave no valid proof")
        proof = handshake.sign(self.secret, handshake.ACCEPTING, answer, own)
        connection.send(codec.encode(proof))
        return answer

    def make_challenge(self) -> messages.Challenge:
        """Return a challenge with a fresh nonce."""
        nonce = os.urandom(handshake.NONCE_BYTES)
        return messages.Challenge(
            self.name, self.role, self.data_centre, self.identity, nonce
        )

    def run_link(self, opened: link.Link) -> None:
        """Take the place of an older link to the peer; serve this one to its end."""
        opened.connection.protocol.max_message_size = codec.MAX_FRAME
        opened.connection.start_queueing()
        older = self.links.get(opened.name)
        self.links[opened.name] = opened
        if older is not None:
            older.cut()
        try:
            with link.run_sender(opened):
                self.on_change(opened.name, True)
                self.deliver(opened)
        finally:
            self.end_link(opened)

    def deliver(self, opened: link.Link) -> None:
        """Hand over the peer's messages for as long as this is the link to it."""
        for message in opened.receive():
            if self.links.get(opened.name) is not opened or self.stopping:
                return
            self.on_message(opened.name, message)

    def end_link(self, ended: link.Link) -> None:
        """Forget the link, unless a newer one has taken its place."""
        self.closed_sent += ended.bytes_sent
        self.closed_received += ended.bytes_received
        if self.links.get(ended.name) is ended:
            del self.links[ended.name]
            self.on_change(ended.name, False)


def should_dial(name: str, role: str, peer: Peer) -> bool:
    """Return whether the process, and not the peer, opens their link."""
    if (role == CONTROL) != (peer.role == CONTROL):
        return peer.role == CONTROL
    return name < peer.name


def open_listener(address: str) -> socket.socket:
    """Return a listening socket, or raise ``ListenError``."""
    try:
        host, port = addresses.parse(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return socket.create_server((host, port), family=family)
    except OSError as error:
        raise exceptions.ListenError(f"{address}: {error}") from error


def receive(connection: typing.Any, deadline: float) -> object:
    """Return the next message of the handshake; raise ``TimeoutError`` when late."""
    timeout = max(0.0, deadline - time.monotonic())
    return codec.decode(connection.recv(timeout=timeout, decode=False))


def close_socket(opened: socket.socket) -> None:
    """Shut the socket down, which wakes whoever waits for it, and close it."""
    with contextlib.suppress(OSError):
        opened.shutdown(socket.SHUT_RDWR)
    opened.close()
