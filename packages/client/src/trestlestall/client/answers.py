"""Typed answers of servers; unknown keys are ignored, for newer servers."""

import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The command created this version, or would create it in a dry run."""

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The command or query was rejected and changed nothing.

    ``field`` names the invalid field of the command, if there is one.
    """

    code: str
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True)
class Winner:
    """The command that got the version number; ``at`` is Unix time in seconds."""

    version: int
    operator: str
    at: float
    request_id: str
    command: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Beaten:
    """Another command got the requested version number first."""

    number: int
    winner: Winner


@dataclasses.dataclass(frozen=True)
class Document:
    """The result of a query, ``{"rows": …}``, or the status document."""

    content: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Busy:
    """This server can't answer now, but another server or a later call may.

    ``outcome_unknown`` is false only if the server states that nothing was executed.
    """

    message: str
    outcome_unknown: bool = True


Answer = Accepted | Rejected | Beaten | Document | Busy

OUTCOMES = {"accepted": Accepted, "rejected": Rejected, "beaten": Beaten}
NOT_RUN = "not_run"
SERVER_FAULT = 500
TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(frozen=True)
class ErrorShape:
    """The fields of an error document that the client reads."""

    code: str
    message: str
    run: str = ""


def read_answer(status: int, body: bytes) -> Answer:
    """Return the decoded body, or ``Busy`` if another server should be called."""
    try:
        content = msgspec.json.decode(body, type=dict[str, typing.Any])
        if "error" in content:
            return _read_error(status, content["error"])
        if "outcome" in content:
            return _read_outcome(content["outcome"])
    except msgspec.MsgspecError:
        return Busy(f"its answer with HTTP status {status} can't be understood")
    if status >= 400:
        return Busy(f"it answered with HTTP status {status}")
    return Document(content)


def _read_error(status: int, content: object) -> Rejected | Busy:
    """Return the error as final, or as ``Busy`` if another server may still answer."""
    error = msgspec.convert(content, ErrorShape)
    if status >= SERVER_FAULT or status == TOO_MANY_REQUESTS:
        return Busy(error.message, error.run != NOT_RUN)
    return Rejected(error.code, error.message)


def _read_outcome(content: object) -> Accepted | Rejected | Beaten:
    """Return the outcome as the class for its kind."""
    fields = msgspec.convert(content, dict[str, typing.Any])
    kind = fields.get("kind")
    if not isinstance(kind, str) or kind not in OUTCOMES:
        raise msgspec.ValidationError(f"unknown outcome {kind!r}")
    return msgspec.convert(fields, OUTCOMES[kind])
