"""The HTTP response that a handler returns, before it is written to the wire."""

import dataclasses
import http
import typing
from collections import abc

import msgspec

from trestlestall.daemon.http import errors

JSON_TYPE = "application/json"

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Answer:
    """One response; ``body`` is either complete bytes or an iterable that streams them.

    A streamed body that raises is aborted without its last chunk, so that no client can
    mistake the received part for the complete response.
    """

    status: int
    body: bytes | abc.Iterable[bytes] = b""
    content_type: str = JSON_TYPE
    headers: Headers = ()


def build_json(value: typing.Any, status: int = 200, headers: Headers = ()) -> Answer:
    """Return an answer that carries the value as JSON."""
    return Answer(status, msgspec.json.encode(value), JSON_TYPE, headers)


def build_failure(failure: errors.Failure, headers: Headers = ()) -> Answer:
    """Return the answer for a failure, in the common error format."""
    retry = errors.compute_retry_seconds(failure)
    if retry is not None:
        headers = (*headers, ("Retry-After", str(retry)))
    status = errors.CODES[failure.code].status
    return Answer(status, errors.encode_failure(failure), JSON_TYPE, headers)


def find_status_line(status: int) -> str:
    """Return the status with its phrase, as WSGI expects it: ``200 OK``."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def list_headers(answer: Answer) -> list[tuple[str, str]]:
    """Return the answer's headers, as WSGI expects them."""
    headers = [("Content-Type", answer.content_type), *answer.headers]
    if isinstance(answer.body, bytes):
        headers.append(("Content-Length", str(len(answer.body))))
    return headers
