"""Listening sockets that serve a WSGI application."""

import contextlib
import errno
import ipaddress
from collections import abc

import eventlet
from eventlet import greenio, wsgi
from eventlet.green import socket

from trestlestall.daemon.http import limits, open_files, protocol
from trestlestall.wire import sockets

BACKLOG_CONNECTIONS = 1024
ACCEPT_RETRY_SECONDS = 0.05
#: Positions in the state of a connection, which eventlet reads and writes, too.
SOCKET_INDEX, STATE_INDEX = 1, 2
#: Greenlets of connections that were closed for new ones and have not ended yet.
SPARE_GREENLETS = 64


class Server(wsgi.Server):
    """eventlet's WSGI server with the limits of one listener."""

    bounds: limits.Limits


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``; an IPv6 address is in brackets.

    >>> split_address("[::1]:8000")
    ('::1', 8000)
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    return str(ipaddress.ip_address(host)), int(port)


def join_address(pair: tuple) -> str:
    """Return ``IP:port`` of a socket's own address."""
    host, port = pair[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Listener:
    """One bound address that serves one application.

    ``stop_accepting`` closes the address and lets each open connection finish its
    current request; ``wait`` returns once the last connection is closed.
    """

    def __init__(self, sock, app, bounds: limits.Limits):
        self._socket = sock
        self._connections: dict[int, list] = {}
        self._accepting = None
        self._bounds = bounds
        self._pool = eventlet.GreenPool(SPARE_GREENLETS + bounds.connections)
        self._server = Server(
            sock,
            sock.getsockname(),
            app,
            protocol=protocol.Protocol,
            log_output=False,
            debug=False,
            socket_timeout=bounds.read_seconds,
        )
        self._server.bounds = bounds
        self.address = join_address(sock.getsockname())

    def start(self) -> None:
        """Start to accept connections, in a greenlet of its own."""
        self._accepting = eventlet.spawn(self._accept)

    def disable_keep_alive(self) -> None:
        """Close each connection after its current answer; for a planned stop."""
        self._server.keepalive = False

    def stop_accepting(self) -> None:
        """Accept connections queued by the kernel, close the address and idle ones."""
        if self._accepting is not None:
            self._accepting.kill()
        self.disable_keep_alive()
        self._accept_queued()
        self._socket.close()
        for state in list(self._connections.values()):
            self._close_idle(state)

    def wait(self) -> None:
        """Wait until every connection is closed."""
        self._pool.waitall()

    def _accept(self) -> None:
        while True:
            try:
                client, address = self._socket.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                eventlet.sleep(
                    ACCEPT_RETRY_SECONDS
                )  # out of descriptors, or a lost client
                continue
            self._serve(client, address)
            # eventlet doesn't switch while the socket is ready: let others run, and
            # those end that were closed for this one.
            eventlet.sleep(0)

    def _make_room(self) -> None:
        """Close the connection that waits longest for its client, beyond the limit."""
        limit = open_files.limit_connections(self._bounds.connections)
        if len(self._connections) < limit:
            return
        waiting = [
            state
            for state in self._connections.values()
            if state[STATE_INDEX] == wsgi.STATE_IDLE or state[protocol.RECEIVING_INDEX]
        ]
        # Those between two requests come first, and they are in the order of arrival.
        waiting.sort(key=lambda state: state[STATE_INDEX] != wsgi.STATE_IDLE)
        if waiting:
            self._connections.pop(id(waiting[0]), None)
            with contextlib.suppress(OSError):
                waiting[0][SOCKET_INDEX].shutdown(socket.SHUT_RDWR)

    def _serve(self, client, address) -> None:
        self._make_room()
        client.settimeout(self._server.socket_timeout)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        state = [address, client, wsgi.STATE_IDLE, False]
        self._connections[id(state)] = state
        self._pool.spawn_n(self._process, state)

    def _process(self, state: list) -> None:
        try:
            self._server.process_request(state)
        except (OSError, ValueError):
            pass  # the client has disconnected
        finally:
            self._connections.pop(id(state), None)
            state[1].close()

    def _accept_queued(self) -> None:
        self._socket.setblocking(False)
        while True:
            try:
                client, address = self._socket.accept()
            except OSError:
                return
            self._serve(greenio.GreenSocket(client), address)

    def _close_idle(self, state: list) -> None:
        """Close a connection between two requests, unless the next one has arrived.

        The state is a list that eventlet's protocol reads and writes.
        """
        idle = state[STATE_INDEX] == wsgi.STATE_IDLE
        state[STATE_INDEX] = wsgi.STATE_CLOSE
        if idle and not has_input(state[1]):
            with contextlib.suppress(OSError):
                state[1].shutdown(socket.SHUT_RD)


def has_input(sock) -> bool:
    """Return whether bytes are ready to be read, without reading them."""
    try:
        return bool(sockets.peek(sock))
    except OSError:
        return False


@contextlib.contextmanager
def open_listener(
    address: str, app, bounds: limits.Limits | None = None
) -> abc.Iterator[Listener]:
    """Yield a started listener at ``IP:port``; port 0 selects any free port.

    Raises ``OSError`` when the address can't be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = eventlet.listen((host, port), family=family, backlog=BACKLOG_CONNECTIONS)
    sockets.bound_unread(sock)
    served = Listener(sock, app, bounds or limits.Limits())
    served.start()
    try:
        yield served
    finally:
        served.stop_accepting()
