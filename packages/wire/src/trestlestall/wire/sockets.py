"""Opening and closing sockets under eventlet."""

import contextlib
import select
import socket
import struct
from collections import abc

from eventlet import hubs, patcher

from trestlestall.wire import addresses, clocks, exceptions

#: Seconds of silence until the first probe and between probes, and how many may stay
#: unanswered. The last option, in milliseconds, also ends the probes.
KEEP_ALIVE = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 3,
    socket.TCP_USER_TIMEOUT: 4000,
}


#: Bytes of a connection from clients that wait unread in the kernel, which adds as many
#: for its own use.
UNREAD_BYTES = 32 * 1024


def open_listener(address: str) -> socket.socket:
    """Return a listening socket, or raise ``ListenError``."""
    try:
        host, port = addresses.parse(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return socket.create_server((host, port), family=family)
    except OSError as error:
        raise exceptions.ListenError(f"{address}: {error}") from error


def shut_down(opened: socket.socket) -> None:
    """Shut down both directions, which wakes every greenlet waiting for the socket."""
    with contextlib.suppress(OSError):
        opened.shutdown(socket.SHUT_RDWR)


def reset_on_close(opened: socket.socket) -> None:
    """Let a close reset the connection, and drop what the other side has not taken."""
    linger = struct.pack("ii", True, 0)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset(opened: socket.socket) -> None:
    """Close the socket, so that the other side sees no orderly end."""
    with contextlib.suppress(OSError):
        reset_on_close(opened)
    opened.close()


def close(opened: socket.socket) -> None:
    """Shut the socket down and close it."""
    shut_down(opened)
    opened.close()


def peek(opened: socket.socket) -> bytes:
    """Return the next byte and leave it unread, or none at an end of file.

    Raises ``OSError``: ``BlockingIOError`` if nothing is pending. An error that is
    raised here is not raised by a later call on the socket.
    """
    # Uses the underlying socket: eventlet's wrapper would wait for data.
    return opened.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def is_ended(opened: socket.socket) -> bool:
    """Return whether the other side has closed the connection, as far as is known."""
    try:
        return not peek(opened)
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_half_closed(opened: socket.socket) -> bool:
    """Return whether the other side has closed, also if unread data comes before."""
    poll = patcher.original("select").poll()
    poll.register(opened.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def is_readable(opened: socket.socket) -> bool:
    """Return whether data, an end of file or an error is pending."""
    try:
        peek(opened)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def receive(opened: socket.socket, size: int, seconds: float | None) -> bytes:
    """Return the next bytes, at most ``size``, or none at an orderly end of file.

    Raises ``OSError``: ``TimeoutError`` after ``seconds`` (with None it waits for as
    long as it takes), and with ``errno`` ``ETIMEDOUT`` if the other host has not
    acknowledged what was sent.

    The time-out of the socket is left alone, as it holds for whoever sends, too.
    eventlet's own ``recv`` also returns no bytes for a reset connection, so that a
    truncated message without a length would look complete.
    """
    deadline = None if seconds is None else clocks.read() + seconds
    while True:
        try:
            return opened.fd.recv(size)
        except BlockingIOError:
            left = None if deadline is None else max(0.001, deadline - clocks.read())
            hubs.trampoline(opened, read=True, timeout=left, timeout_exc=TimeoutError)


def keep_alive(opened: socket.socket) -> None:
    """Let the kernel end the connection once the other host has been lost."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, True)
    for option, value in KEEP_ALIVE.items():
        opened.setsockopt(socket.IPPROTO_TCP, option, value)


@contextlib.contextmanager
def hold(opened: socket.socket) -> abc.Iterator[None]:
    """Set ``TCP_NODELAY`` for the block, and close the socket after it."""
    try:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        yield
    finally:
        close(opened)


def bound_unread(listening: socket.socket) -> None:
    """Bound what the kernel holds of each connection that is accepted later.

    Otherwise it lets each grow to megabytes that the process has not read.
    """
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
