"""Connections to upstreams: a fresh one for each attempt, and no hidden retries.

An HTTP library that keeps connections may write a request on one that the upstream has
already closed, and then send it again by itself: whether the first had run, nobody
knows. So each attempt connects anew and by hand, and the border between "surely not
sent" and "unknown" is exactly the return of ``connect``.
"""

import contextlib
import http.client
from collections import abc

import urllib3
from urllib3 import connection as urllib3_connection

from trestlestall.daemon.http import listener

CONNECT_SECONDS = 1.0
# Between two reads; a stalled engine is found by the policy much earlier.
READ_SECONDS = 120.0

FAULTS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)

Connection = urllib3_connection.HTTPConnection


def connect(address: str) -> Connection | Exception:
    """Return an open connection to ``IP:port``, or the error that prevented it.

    While this has not returned a connection, no byte of a request has been sent.
    """
    host, port = listener.split_address(address)
    opened = Connection(host, port, timeout=CONNECT_SECONDS)
    try:
        opened.connect()
    except FAULTS as error:
        opened.close()
        return error
    # The library sets the socket's timeout anew, to this, when it sends the request.
    opened.timeout = READ_SECONDS
    return opened


def send(
    opened: Connection,
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> urllib3.BaseHTTPResponse:
    """Send one request and return its response, whose body is still to be read.

    Raises one of ``FAULTS``; the request's outcome is unknown then.
    """
    opened.request(
        method,
        path,
        body=body or None,
        headers=headers,
        preload_content=False,
        decode_content=False,
    )
    return opened.getresponse()


def abort(opened: Connection) -> None:
    """Wake whoever reads from the connection and end it."""
    if opened.sock is not None:
        with contextlib.suppress(OSError):
            opened.sock.shutdown(2)


def read_parts(response: urllib3.BaseHTTPResponse) -> abc.Iterator[bytes]:
    """Yield the body's parts as they arrive; raises one of ``FAULTS`` if it breaks."""
    if response.chunked:
        yield from response.stream(decode_content=False)
        return
    while part := response.read1(65536, decode_content=False):
        yield part


def read_whole(response: urllib3.BaseHTTPResponse, limit: int) -> bytes | None:
    """Return the whole body, or ``None`` when it is longer than the limit in bytes.

    Raises one of ``FAULTS`` when the body ends before its declared length.
    """
    parts, size = [], 0
    for part in read_parts(response):
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def is_delimited(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the response says itself where its body ends."""
    return bool(response.chunked) or response.headers.get("content-length") is not None
