"""One received request, and the reading of its body within limits."""

import contextlib
import dataclasses
import typing
from collections import abc

import eventlet
import msgspec
from eventlet.green import socket

from trestlestall.daemon.http import (
    bodies,
    body_reader,
    errors,
    limits as http_limits,
    pacing,
)

HEADER_PREFIX = "HTTP_"
PROTOCOL_SETTING = "trestlestall.protocol"
TRUNCATED = errors.Failure("body_truncated", "The body ended before Content-Length.")


class Headers(abc.Mapping):
    """The request's headers, by lower-case name, read from the WSGI environment."""

    def __init__(self, environ: dict):
        self.environ = environ

    def __getitem__(self, name: str) -> str:
        if name == "content-type":
            return self.environ["CONTENT_TYPE"]
        return self.environ[HEADER_PREFIX + name.upper().replace("-", "_")]

    def __iter__(self) -> abc.Iterator[str]:
        for name in self.environ:
            if name.startswith(HEADER_PREFIX):
                yield name[len(HEADER_PREFIX) :].lower().replace("_", "-")

    def __len__(self) -> int:
        return sum(1 for _ in self)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request whose headers have been read; its body may still be arriving."""

    method: str
    path: str
    query: str
    headers: Headers
    environ: dict
    limits: http_limits.Limits
    body: bodies.Body
    pacer: pacing.Pacer

    @property
    def socket(self) -> socket.socket:
        """The connection to the client."""
        return self.environ["eventlet.input"].get_socket()


def build_request(
    environ: dict,
    limits: http_limits.Limits,
    body: bodies.Body,
    pacer: pacing.Pacer,
) -> Request:
    """Return the request that a WSGI environment describes.

    ``body`` counts what its body takes, and ``pacer`` gives turns for costly ones.
    """
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=Headers(environ),
        environ=environ,
        limits=limits,
        body=body,
        pacer=pacer,
    )


def read_body(
    request: Request, limit: int | None = None, takes_chunks: bool = False
) -> bytes | errors.Failure:
    """Read the complete body, within the listener's limits of size and time.

    ``limit`` in bytes takes the place of the listener's. A body without
    ``Content-Length`` is refused unless ``takes_chunks``.
    """
    is_chunked = "transfer-encoding" in request.headers
    if is_chunked and not takes_chunks:
        return errors.Failure("length_required", "Send the body with Content-Length.")
    bound = request.limits.body_bytes if limit is None else limit
    length = int(request.environ.get("CONTENT_LENGTH") or 0)
    if not (length or is_chunked):
        return b""
    seconds = request.limits.read_seconds
    try:
        with eventlet.Timeout(seconds):
            body = _receive(request, bound, None if is_chunked else length)
            request.environ[PROTOCOL_SETTING].end_receiving()
            return body
    except (eventlet.Timeout, TimeoutError):
        message = f"The body did not arrive within {seconds:g} s."
        return errors.Failure("slow_sender", message)
    except body_reader.TooLongError:
        message = f"The body is too long; at most {bound} bytes are accepted."
        return errors.Failure("body_too_large", message)
    except body_reader.InvalidChunksError as error:
        return errors.Failure("invalid_request", f"Not valid: {error}.")
    except bodies.NoRoomError as error:
        return errors.Failure("overloaded", f"Not now: {error}.")
    except (body_reader.TruncatedError, OSError):
        return TRUNCATED


def _receive(request: Request, bound: int, length: int | None) -> bytes:
    """Return the body, of a length or in chunks."""
    source = request.environ["eventlet.input"]
    request.body.on_dropped = lambda: stop_reading(request.socket)
    reader = body_reader.BodyReader(
        source.rfile.read1, request.body, request.pacer, bound
    )
    if source.should_send_hundred_continue and (length is None or length <= bound):
        source.send_hundred_continue_response()
        source.is_hundred_continue_response_sent = True
    if length is not None:
        received = reader.read_length(length, b"")
        source.position = length
        return received.body
    received = reader.read_chunks(b"")
    # Bytes of a next request that were read already can't be put back.
    source.chunked_input = bool(received.rest)
    source.content_length = source.position = 0
    return received.body


def stop_reading(opened: socket.socket) -> None:
    """Wake whoever waits for the rest of a body."""
    with contextlib.suppress(OSError):
        opened.shutdown(socket.SHUT_RD)


def decode_json(body: bytes, shape: typing.Any = dict) -> typing.Any | errors.Failure:
    """Return the body decoded as ``shape``, or why that is not possible.

    ``shape`` is any type that msgspec supports: a data class, ``dict``, ``list[str]``.
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.ValidationError as error:
        return errors.Failure("invalid_request", f"{error}")
    except (msgspec.DecodeError, RecursionError) as error:
        return errors.Failure("invalid_json", f"The body is not JSON: {error}")
