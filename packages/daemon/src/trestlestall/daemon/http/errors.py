"""The common error format, and the catalogue of stable error codes.

Every refusal, on every listener, is a ``Failure`` and looks like this on the wire::

    {"error": {"code": "unknown_model", "message": "No model is called 'm9'.",
               "type": "invalid_request_error", "request": "r-1", "run": "not_run",
               "retry_after": null}}

Callers may rely on ``code`` and ``run``; the message is for people.
"""

import dataclasses
import enum
import math

import msgspec

DEFAULT_RETRY_SECONDS = 1.0


class Run(enum.StrEnum):
    """Whether the request's work ran on an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RAN = "ran"


class Kind(enum.StrEnum):
    """The error families of OpenAI's published shape."""

    INVALID = "invalid_request_error"
    CREDENTIAL = "authentication_error"
    CAPACITY = "overloaded_error"
    SERVER = "server_error"


@dataclasses.dataclass(frozen=True)
class Code:
    """A stable error code: its HTTP status, error family and whether to retry."""

    name: str
    status: int
    kind: Kind
    retry: bool = False


@dataclasses.dataclass(frozen=True)
class Failure:
    """A refused or failed request, before it is encoded.

    ``retry_after`` is in seconds; ``None`` selects the code's default: one second for
    codes that are worth a retry, no ``Retry-After`` for the others.
    """

    code: str
    message: str
    run: Run = Run.NOT_RUN
    request: str | None = None
    retry_after: float | None = None


CODES: dict[str, Code] = {}


def register_code(name: str, status: int, kind: Kind, retry: bool = False) -> Code:
    """Add one code to the catalogue.

    Raises ``ValueError`` if the name is already registered.
    """
    if name in CODES:
        raise ValueError(f"error code {name!r} is registered twice")
    CODES[name] = Code(name, status, kind, retry)
    return CODES[name]


register_code("invalid_request", 400, Kind.INVALID)
register_code("invalid_json", 400, Kind.INVALID)
register_code("body_truncated", 400, Kind.INVALID)
register_code("idempotency_key_missing", 400, Kind.INVALID)
register_code("class_not_allowed", 400, Kind.INVALID)
register_code("credential_missing", 401, Kind.CREDENTIAL)
register_code("credential_unknown", 401, Kind.CREDENTIAL)
register_code("not_bound", 403, Kind.INVALID)
register_code("unknown_path", 404, Kind.INVALID)
register_code("unknown_model", 404, Kind.INVALID)
register_code("unknown_service", 404, Kind.INVALID)
register_code("unknown_upstream", 404, Kind.INVALID)
register_code("unknown_request", 404, Kind.INVALID)
register_code("method_not_allowed", 405, Kind.INVALID)
register_code("slow_sender", 408, Kind.INVALID)
register_code("request_in_progress", 409, Kind.SERVER, retry=True)
register_code("wrong_data_centre", 409, Kind.INVALID)
register_code("length_required", 411, Kind.INVALID)
register_code("body_too_large", 413, Kind.INVALID)
register_code("key_reused", 422, Kind.INVALID)
register_code("header_too_large", 431, Kind.INVALID)
register_code("overloaded", 503, Kind.CAPACITY, retry=True)
register_code("queue_full", 503, Kind.CAPACITY, retry=True)
register_code("target_unreachable", 503, Kind.CAPACITY, retry=True)
register_code("too_many_streams", 503, Kind.CAPACITY, retry=True)
register_code("no_upstream", 503, Kind.CAPACITY, retry=True)
register_code("not_ready", 503, Kind.SERVER, retry=True)
register_code("claim_unavailable", 503, Kind.SERVER, retry=True)
register_code("control_unavailable", 503, Kind.SERVER, retry=True)
register_code("not_run", 503, Kind.SERVER, retry=True)
register_code("answer_too_old", 409, Kind.SERVER)
register_code("outcome_unknown", 502, Kind.SERVER)
register_code("internal_error", 500, Kind.SERVER)


def compute_retry_seconds(failure: Failure) -> int | None:
    """Return the whole seconds of the ``Retry-After`` header, or ``None`` for none."""
    seconds = failure.retry_after
    if seconds is None and CODES[failure.code].retry:
        seconds = DEFAULT_RETRY_SECONDS
    return None if seconds is None else max(1, math.ceil(seconds))


def encode_failure(failure: Failure) -> bytes:
    """Return the JSON document of a failure."""
    fields = {
        "code": failure.code,
        "message": failure.message,
        "type": CODES[failure.code].kind,
        "request": failure.request,
        "run": failure.run,
        "retry_after": failure.retry_after or compute_retry_seconds(failure),
    }
    return msgspec.json.encode({"error": fields})
