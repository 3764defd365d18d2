"""Limits that keep one bad client from using up the memory or time of the others."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one listener.

    ``body_bytes`` and ``header_bytes`` bound one request. ``read_seconds`` bounds the
    time from the first byte of a request to the end of its headers, and again from
    there to the end of its body; a connection without any read or write for that long
    is closed too. ``idle_seconds`` bounds the wait for the next request on a keep-alive
    connection, and ``connections`` the number of open connections. ``held_bytes``
    bounds the bodies of all requests together.
    """

    body_bytes: int = 1024 * 1024
    header_bytes: int = 16 * 1024
    read_seconds: float = 10.0
    idle_seconds: float = 75.0
    connections: int = 2000
    held_bytes: int = 64 * 1024 * 1024
