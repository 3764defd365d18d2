"""Connections to upstreams: a fresh one for each attempt, and no hidden retries.

An HTTP library that keeps connections alive may write a request on one that the
upstream has already closed, and then retry it silently: whether the first try ran is
unknown. So each attempt opens a connection of its own, and the boundary between "not
sent" and "unknown" is exactly the return of ``connect``.
"""

import contextlib
import dataclasses
import http.client
import socket
from collections import abc

import urllib3
from urllib3 import connection as urllib3_connection

from trestlestall.daemon.http import chunks, listener

CONNECT_TIMEOUT_SECONDS = 1.0
# Between two reads; the policy detects a stalled engine much earlier.
READ_TIMEOUT_SECONDS = 120.0
READ_BYTES = 65536

TRANSPORT_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)


@dataclasses.dataclass(frozen=True)
class Link:
    """An open connection and its socket, which the library may release earlier."""

    connection: urllib3_connection.HTTPConnection
    socket: socket.socket

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of each read from now on."""
        # The library sets the socket's timeout from this before it reads the response.
        self.connection.timeout = seconds
        self.socket.settimeout(seconds)

    def abort(self) -> None:
        """Shut the connection down, which wakes a reader that waits on it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.socket.close()


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
    link = Link(opened, opened.sock)
    link.set_timeout(READ_TIMEOUT_SECONDS)
    return link


def send(
    link: Link,
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> urllib3.BaseHTTPResponse:
    """Send one request and return its response, whose body is still to be read.

    Raises one of ``TRANSPORT_ERRORS``; the request's outcome is unknown then.
    """
    link.connection.request(
        method,
        path,
        body=body or None,
        headers=headers,
        preload_content=False,
        decode_content=False,
    )
    return link.connection.getresponse()


def read_stream(link: Link, response: urllib3.BaseHTTPResponse) -> abc.Iterator[bytes]:
    """Yield the bytes of the body as they arrive, all available bytes at a time.

    After the head this reads from the socket directly: the library would return one
    chunk for each call, and one chunk is one token. Raises one of ``TRANSPORT_ERRORS``
    if the body breaks off.
    """
    buffered = response._fp.fp
    data = buffered.peek()
    buffered.read(len(data))
    decoder = chunks.Decoder()
    while data:
        part = decoder.feed(data) if response.chunked else data
        if part:
            yield part
        if decoder.finished:
            return
        if decoder.failed:
            raise urllib3.exceptions.ProtocolError("invalid chunked transfer coding")
        data = link.socket.recv(READ_BYTES)


def iterate_body(response: urllib3.BaseHTTPResponse) -> abc.Iterator[bytes]:
    """Yield the body in parts as they arrive.

    Raises one of ``TRANSPORT_ERRORS`` if the body breaks off.
    """
    if response.chunked:
        yield from response.stream(decode_content=False)
        return
    while part := response.read1(READ_BYTES, decode_content=False):
        yield part


def read_body(response: urllib3.BaseHTTPResponse, limit: int) -> bytes | None:
    """Return the complete body, or ``None`` when it is longer than the limit in bytes.

    Raises one of ``TRANSPORT_ERRORS`` when the body ends before its declared length.
    """
    parts, size = [], 0
    for part in iterate_body(response):
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def is_delimited(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the response is chunked or declares the length of its body."""
    return bool(response.chunked) or response.headers.get("content-length") is not None
