"""Bounds that keep one bad sender from costing the others memory or time."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Limits:
    """What one listener accepts.

    ``body_bytes`` and ``header_bytes`` bound one request. ``read_seconds`` bounds the
    time from the first byte of a request to the end of its headers, and again from
    there to the end of its body; a connection that neither reads nor writes for that
    long is closed too. ``idle_seconds`` bounds the wait for the next request of a kept
    connection, and ``connections`` the connections open at one time.
    """

    body_bytes: int = 1024 * 1024
    header_bytes: int = 16 * 1024
    read_seconds: float = 10.0
    idle_seconds: float = 75.0
    connections: int = 4096
