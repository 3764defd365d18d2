"""Detects a disconnect of a caller while its request waits or is answered."""

import contextlib
from collections import abc

from eventlet import hubs

from trestlestall.wire import sockets


@contextlib.contextmanager
def watch(sock, on_hang_up: abc.Callable[[], None]) -> abc.Iterator[None]:
    """Call ``on_hang_up`` once when the peer closes the connection.

    Nothing else may read from the socket meanwhile. The WSGI server itself would notice
    the disconnect only at its next write. A caller that closes only its sending side
    counts as disconnected too; one that sends its next request early (pipelining) is no
    longer watched.

    The callback runs on eventlet's hub: it must not block.
    """
    hub = hubs.get_hub()
    listeners = []

    def stop() -> None:
        while listeners:
            hub.remove(listeners.pop())

    def handle_readable(_) -> None:
        stop()
        if sockets.is_ended(sock):
            on_hang_up()

    def close() -> None:
        stop()

    listeners.append(
        hub.add(hub.READ, sock.fileno(), handle_readable, handle_readable, close)
    )
    try:
        yield
    finally:
        stop()
