"""The listening socket for callers, opened before the rest of the gateway is imported.

Importing takes longer than all else at start-up. Callers that connect meanwhile wait in
the kernel's accept queue instead of being refused. So this module imports little.
"""

import contextlib
import socket
from collections import abc

import eventlet

from trestlestall.daemon import settings as process_settings
from trestlestall.wire import sockets

#: Length of the accept queue: as many as all callers of a host open within a second.
BACKLOG = 1024


@contextlib.contextmanager
def open_caller_listener(
    settings: process_settings.GatewaySettings,
) -> abc.Iterator[socket.socket]:
    """Listen on the address for callers during the block; raises ``OSError``."""
    address = settings.listen.callers
    accepting = eventlet.listen((address.host, address.port), backlog=BACKLOG)
    sockets.bound_unread(accepting)
    try:
        yield accepting
    finally:
        accepting.close()
