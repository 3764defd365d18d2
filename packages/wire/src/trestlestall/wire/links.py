"""Links between the system's processes: one per pair, authenticated and bounded.

``eventlet.monkey_patch()`` must have patched the process before this module is
imported; everything then runs in greenlets of one thread.

Example::

    peers = [Peer("control-1", "control", "a", "127.0.0.1:9000")]
    mesh = Mesh("router-a1", "router", "a", secret, "127.0.0.1:9001", peers,
                on_message=handle, on_change=record)
    mesh.start()
    mesh.send("control-1", messages.StatusCall(1))
"""

import dataclasses
import math
import os
import random
import socket
import typing
from collections import abc

import eventlet
from eventlet import greenthread

from trestlestall.wire import (
    addresses,
    clocks,
    codec,
    connections,
    exceptions,
    handshake,
    link,
    messages,
    redialling,
    sockets,
)

# Limits for a peer that is not authenticated yet: seconds, and bytes a frame.
HANDSHAKE_SECONDS = 2.0
HANDSHAKE_FRAME_BYTES = 4096
# Interval between two looks whether frames are written.
WRITTEN_POLL_SECONDS = 0.001
# Interval between checks of all links.
CHECK_SECONDS = 0.25
# Timeout of ``stop`` for sending what is queued.
FLUSH_SECONDS = 0.3
# Limits on concurrent connections in their handshake, and on open links.
PENDING_LIMIT = 64
LINK_LIMIT = 1000
# Wait after a failed accept, such as for lack of file descriptors.
ACCEPT_RETRY_SECONDS = 0.2
CONTROL = "control"


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another process of the system; ``address`` is ``IP:port``."""

    name: str
    role: str
    data_centre: str
    address: str

    def check(self, challenge: messages.Challenge) -> str | None:
        """Return why the challenge isn't from this peer, or ``None`` if it is."""
        if (challenge.name, challenge.role) != (self.name, self.role):
            return f"{challenge.name!r} answers for {self.name!r}"
        return None


class Mesh:
    """The links of one process.

    ``on_message(sender_name, message)`` is called in the link's greenlet: while it
    waits, nothing more is read from that link. ``on_change(name, linked)`` is called
    when a link opens (also when it replaces an older one) and when the last one to the
    peer ends. An exception from either ends the link and is printed by eventlet.

    The secret is shared by all processes of a deployment. A listed peer is dialled by
    the side that ``should_dial`` selects; the other side must then list it, or be a
    control process. Peers that dial this process need not be listed.
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
        self.closed_bytes_sent = 0
        self.closed_bytes_received = 0
        self.greenlets: set[greenthread.GreenThread] = set()
        self.listener: socket.socket | None = None
        self.stopping = False

    # Calls by the process.

    def start(self) -> None:
        """Listen and start to dial; raise ``ListenError`` if listening fails."""
        for peer in self.peers.values():
            addresses.parse(peer.address)
        self.listener = sockets.open_listener(self.listen)
        self.spawn(self.run_acceptor, self.listener)
        self.spawn(self.run_checks)
        for peer in self.peers.values():
            if should_dial(self.name, self.role, peer):
                self.spawn(self.run_dialler, peer)

    def stop(self) -> None:
        """Send queued frames for at most ``FLUSH_SECONDS``, then end all links."""
        self.stopping = True
        if self.listener is not None:
            sockets.close(self.listener)
        self.flush()
        for open_link in list(self.links.values()):
            open_link.abort()
        for connection in list(self.pending):
            sockets.close(connection)
        current = greenthread.getcurrent()
        others = [greenlet for greenlet in self.greenlets if greenlet is not current]
        for greenlet in others:
            greenlet.kill()

    def flush(self) -> None:
        """Wait until all queued frames are sent, for at most ``FLUSH_SECONDS``."""
        deadline = clocks.read() + FLUSH_SECONDS
        while clocks.read() < deadline:
            if not any(one.is_sending() for one in self.links.values()):
                return
            eventlet.sleep(FLUSH_SECONDS / 10)

    def send(self, name: str, message: object) -> bool:
        """Queue the message for the peer; return false if it isn't linked.

        Also returns false for a message above the size limit of a frame. Delivery of a
        queued message is not guaranteed: the link may end, or drop its oldest frames.
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

    def wait_written(self, names: abc.Iterable[str], seconds: float) -> None:
        """Wait until what is queued for these peers is written to their sockets.

        The kernel sends that on even if this process is killed. Waits for at most some
        seconds, and not for a link that ends.
        """
        until = clocks.read() + seconds
        waited = [self.links[name] for name in names if name in self.links]
        counts = [(one, one.outbox.added) for one in waited]
        eventlet.sleep(0)
        while not all(one.has_written(count) for one, count in counts):
            if clocks.read() >= until:
                return
            eventlet.sleep(WRITTEN_POLL_SECONDS)

    def linked(self) -> set[str]:
        """Return the names of the peers with an open link."""
        return set(self.links)

    @property
    def address(self) -> str:
        """Return the address of the listener, with the port that the kernel chose."""
        assert self.listener is not None
        return addresses.render(*self.listener.getsockname()[:2])

    @property
    def bytes_sent(self) -> int:
        """Return the bytes of websocket frames sent since the start."""
        return self.closed_bytes_sent + sum(
            one.bytes_sent for one in self.list_connections()
        )

    @property
    def bytes_received(self) -> int:
        """Return the bytes of websocket frames received since the start."""
        received = sum(one.bytes_received for one in self.list_connections())
        return self.closed_bytes_received + received

    def list_connections(self) -> list[connections.Connection]:
        """Return the connections of the open links."""
        return [open_link.connection for open_link in self.links.values()]

    def add_peer(self, peer: Peer, wait_timeout: float = 0.0) -> None:
        """Maintain a link to a peer that became known after the start.

        Both sides may add each other: each dials only while there is no link. The side
        that ``should_dial`` does not select passes a ``wait_timeout`` in seconds, for
        which it waits for the other side's link before it dials itself.
        """
        if peer.name in self.peers or peer.name == self.name:
            return
        self.peers[peer.name] = peer
        self.spawn(self.run_fallback_dialler, peer, wait_timeout)

    # Greenlets.

    def spawn(self, function: abc.Callable[..., object], *args: object) -> None:
        """Run the function in a greenlet that ``stop`` kills."""
        greenlet = eventlet.spawn(function, *args)
        self.greenlets.add(greenlet)
        greenlet.link(lambda ended: self.greenlets.discard(ended))

    def run_acceptor(self, listener: socket.socket) -> None:
        """Accept connections until the mesh stops, despite errors of ``accept``."""
        while not self.stopping:
            try:
                opened, _ = listener.accept()
            except OSError:
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            # Accepting from a ready socket doesn't make eventlet switch greenlets.
            eventlet.sleep(0)
            if len(self.pending) >= PENDING_LIMIT or len(self.links) >= LINK_LIMIT:
                self.refused += 1
                opened.close()
            else:
                self.pending.add(opened)
                self.spawn(self.run_accepted, opened)

    def run_accepted(self, opened: socket.socket) -> None:
        """Authenticate the side that connected, and run the link until it ends."""
        deadline = clocks.read() + HANDSHAKE_SECONDS
        try:
            with connections.accept(
                opened, deadline, HANDSHAKE_FRAME_BYTES
            ) as connection:
                if connection is None:
                    self.refused += 1
                    return
                own = self.make_challenge()
                answer = handshake.prove_accepted(
                    connection, own, self.secret, deadline, self.check_accepted
                )
                self.pending.discard(opened)
                self.run_link(connection, answer)
        finally:
            self.pending.discard(opened)

    def run_dialler(self, peer: Peer) -> None:
        """Maintain a link to the peer, with jittered exponential backoff."""
        backoff = redialling.Backoff(self.random)
        while not self.stopping:
            eventlet.sleep(backoff.find_next(self.dial(peer)))

    def run_fallback_dialler(self, peer: Peer, wait_timeout: float) -> None:
        """Dial the peer whenever ``wait_timeout`` seconds passed without a link."""
        backoff = redialling.Backoff(self.random)
        while not self.stopping:
            eventlet.sleep(wait_timeout)
            # A link that the peer opened counts as stable and resets the backoff.
            link_seconds = math.inf if peer.name in self.links else self.dial(peer)
            eventlet.sleep(backoff.find_next(link_seconds))

    def dial(self, peer: Peer) -> float:
        """Run a link to the peer until it ends; return the seconds that it lasted."""
        deadline = clocks.read() + HANDSHAKE_SECONDS
        connecting = connections.dial(peer.address, deadline, HANDSHAKE_FRAME_BYTES)
        with connecting as connection:
            if connection is None:
                return 0.0
            own = self.make_challenge()
            answer = handshake.prove_dialled(
                connection, own, self.secret, deadline, peer.check
            )
            started = clocks.read()
            self.run_link(connection, answer)
            return clocks.read() - started

    def run_checks(self) -> None:
        """Send heartbeats, and abort links to unresponsive peers."""
        last = clocks.read()
        while not self.stopping:
            eventlet.sleep(CHECK_SECONDS)
            now = clocks.read()
            stalled = now - last - CHECK_SECONDS
            last = now
            for open_link in list(self.links.values()):
                if stalled > CHECK_SECONDS:
                    open_link.discount_stall(stalled)
                open_link.check(now)

    # Internals.

    def make_challenge(self) -> messages.Challenge:
        """Return a challenge with this process's identity."""
        hello = messages.Hello(self.name, self.role, self.data_centre, self.identity)
        return handshake.make_challenge(hello)

    def check_accepted(self, challenge: messages.Challenge) -> str | None:
        """Return why a peer that dialled is refused: it is listed with another role."""
        listed = self.peers.get(challenge.name)
        if listed is not None and listed.role != challenge.role:
            return f"{challenge.name!r} comes as a {challenge.role!r}"
        return None

    def run_link(
        self,
        connection: connections.Connection,
        answer: messages.Challenge | handshake.Refused,
    ) -> None:
        """Run the link to the peer until it ends, in place of any older one."""
        if isinstance(answer, handshake.Refused):
            self.refused += 1
            return
        connection.lift_handshake_limits(codec.MAX_FRAME_BYTES)
        opened = link.Link(connection, answer)
        older = self.links.get(opened.name)
        self.links[opened.name] = opened
        if older is not None:
            older.abort()
        try:
            with link.run_sender(opened):
                self.on_change(opened.name, True)
                self.deliver(opened)
        finally:
            self.end_link(opened)

    def deliver(self, opened: link.Link) -> None:
        """Deliver the peer's messages while this is the current link to it."""
        for message in opened.receive():
            if self.links.get(opened.name) is not opened or self.stopping:
                return
            self.on_message(opened.name, message)

    def end_link(self, ended: link.Link) -> None:
        """Remove the link, unless a newer one has replaced it."""
        self.closed_bytes_sent += ended.connection.bytes_sent
        self.closed_bytes_received += ended.connection.bytes_received
        if self.links.get(ended.name) is ended:
            del self.links[ended.name]
            self.on_change(ended.name, False)


def should_dial(name: str, role: str, peer: Peer) -> bool:
    """Return whether the process, rather than the peer, opens their link.

    Other processes dial control processes; between equals the lesser name dials.
    """
    if (role == CONTROL) != (peer.role == CONTROL):
        return peer.role == CONTROL
    return name < peer.name
