"""What a server answered, typed; unknown keys pass, so a newer server is understood."""

import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The command made this version, or would make it in a dry run."""

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The command or query changed nothing and can't be carried out.

    ``field`` names the part of the command at fault, if one is.
    """

    code: str
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True)
class Winner:
    """The command that took a number first; ``at`` is Unix time in seconds."""

    version: int
    operator: str
    at: float
    request_id: str
    command: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Beaten:
    """Another command took the number that was asked for."""

    number: int
    winner: Winner


@dataclasses.dataclass(frozen=True)
class Document:
    """The answer to a query: ``{"rows": …}``, or the status document."""

    content: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Busy:
    """This server can't answer now, but another or a later call may get an answer.

    ``outcome_unknown`` is false only when the server says that nothing was carried out.
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
    """The shape of an error, in the fields that the client shows."""

    code: str
    message: str
    run: str = ""


def read_answer(status: int, body: bytes) -> Answer:
    """Return what the body says; by its status another server may be asked."""
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
    """Return an error as a final answer, or as one that another server may better."""
    error = msgspec.convert(content, ErrorShape)
    if status >= SERVER_FAULT or status == TOO_MANY_REQUESTS:
        return Busy(error.message, error.run != NOT_RUN)
    return Rejected(error.code, error.message)


def _read_outcome(content: object) -> Accepted | Rejected | Beaten:
    """Return the outcome by its kind."""
    fields = msgspec.convert(content, dict[str, typing.Any])
    kind = fields.get("kind")
    if not isinstance(kind, str) or kind not in OUTCOMES:
        raise msgspec.ValidationError(f"unknown outcome {kind!r}")
    return msgspec.convert(fields, OUTCOMES[kind])
