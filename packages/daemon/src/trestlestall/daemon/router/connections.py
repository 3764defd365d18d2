"""Connections to upstreams: a fresh one for each attempt, and no hidden retries.

An HTTP library that keeps connections alive may write a request on one that the
upstream has already closed, and then retry it silently: whether the first try ran is
unknown. So each attempt opens a connection of its own, and the boundary between "not
sent" and "unknown" is exactly the return of ``connect``.

Answers are read without the library: ``http.client`` takes an end of the connection for
the end of a head, and drops the lines behind one that is no header.
"""

import contextlib
import dataclasses
import http.client
import socket
from collections import abc

import eventlet
import urllib3
from urllib3 import connection as urllib3_connection

from trestlestall.daemon.http import answer_reader, listener
from trestlestall.wire import byte_streams

CONNECT_TIMEOUT_SECONDS = 1.0
# Between two reads; the policy detects a stalled engine much earlier.
READ_TIMEOUT_SECONDS = 120.0
READ_BYTES = 65536

TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    answer_reader.BrokenAnswerError,
)


@dataclasses.dataclass(frozen=True)
class Link:
    """An open connection, and its socket as a stream of bytes."""

    connection: urllib3_connection.HTTPConnection
    stream: byte_streams.ByteStream

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of each read and write from now on."""
        self.connection.timeout = seconds
        self.stream.socket.settimeout(seconds)

    def receive(self) -> bytes:
        """Return the next bytes, or none at an orderly end; raises ``OSError``."""
        data = self.stream.receive(READ_BYTES, self.connection.timeout)
        if len(data) == READ_BYTES:
            # More waits already: without this no other greenlet would run.
            eventlet.sleep(0)
        return data

    def abort(self) -> None:
        """Shut the connection down, which wakes a reader that waits on it."""
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.stream.socket.close()


@dataclasses.dataclass(frozen=True)
class Response:
    """The head of an answer, and its body, which is read as it is iterated.

    ``is_delimited`` is whether the answer shows where its body ends. Iterating raises
    one of ``TRANSPORT_ERRORS`` if the body breaks off.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    is_delimited: bool
    body: abc.Iterator[bytes]


def connect(address: str) -> Link | Exception:
    """Return an open connection to ``IP:port``, or the error that prevented it.

    Until this has returned a connection, no byte of a request has been sent.
    """
    host, port = listener.split_address(address)
    opened = urllib3_connection.HTTPConnection(
        host, port, timeout=CONNECT_TIMEOUT_SECONDS
    )
    try:
        opened.connect()
    except TRANSPORT_ERRORS as error:
        opened.close()
        return error
    link = Link(opened, byte_streams.ByteStream(opened.sock))
    link.set_timeout(READ_TIMEOUT_SECONDS)
    return link


def send(
    link: Link,
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> Response:
    """Send one request and return its response, whose body is still to be read.

    Raises one of ``TRANSPORT_ERRORS``; the request's outcome is unknown then. An
    upstream may answer and close before it has read the whole request.
    """
    with (
        contextlib.suppress(ConnectionError),  # reading raises a reset again
        link.stream.watch(),
    ):
        link.connection.request(method, path, body=body or None, headers=headers)
    reader = answer_reader.AnswerReader(link.receive, method)
    head = reader.read_head()
    return Response(
        head.status,
        urllib3.HTTPHeaderDict(head.fields),
        not head.ends_with_connection(method),
        reader.iterate_body(head),
    )


def read_body(response: Response, limit: int) -> bytes | None:
    """Return the complete body, or ``None`` when it is longer than the limit in bytes.

    Raises one of ``TRANSPORT_ERRORS`` when the body breaks off.
    """
    parts, size = [], 0
    for part in response.body:
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)
