"""Calls to upstreams: validation of callers' bodies and their rewriting."""

import dataclasses
import re
import typing
from urllib import parse

import msgspec

from trestlestall.daemon.http import errors

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
# Body fields that only the router may set towards an engine.
RESERVED_FIELDS = ("priority", "resume")
# Rough estimate; running a tokenizer would cost more than a better estimate is worth.
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 1024
PREFIX_BYTES = 256
PATH_SAFE = "/:@!$&'()*+,;=~"
TEXT_PATTERN = re.compile(rb'"(?:content|prompt)"\s*:\s*"((?:[^"\\]|\\.)*)')


# Default of a field that may hold any value; ``Raw | None`` would accept only null.
ABSENT = msgspec.Raw(b"")


class Completion(msgspec.Struct):
    """The fields of a completion's body that the router reads."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    messages: list[msgspec.Raw] | None = None
    prompt: msgspec.Raw = ABSENT
    priority: msgspec.Raw = ABSENT
    resume: msgspec.Raw = ABSENT


DECODER = msgspec.json.Decoder(Completion)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request that can be sent to any upstream that serves its target.

    ``target`` is a model's name or ``service:NAME``. ``prompt_tokens`` and
    ``max_tokens`` are estimates for the policy; ``prefix`` is the start of the prompt,
    which is used to find engines whose prefix cache may hold it.
    """

    target: str
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    streamed: bool = False
    prompt_tokens: int = 1
    max_tokens: int = 1
    prefix: str = ""
    key: str = ""

    @property
    def is_service(self) -> bool:
        """Whether the call goes to a plain service."""
        return self.target.startswith("service:")


def read_completion(path: str, body: bytes) -> Call | errors.Failure:
    """Return the call for a completion's body, or why the body is refused."""
    try:
        completion = DECODER.decode(body)
    except msgspec.ValidationError as error:
        return errors.Failure("invalid_request", str(error))
    except (msgspec.DecodeError, RecursionError) as error:
        return errors.Failure("invalid_json", f"The body is not JSON: {error}")
    failure = check_completion(path, completion)
    if failure is not None:
        return failure
    if completion.priority is not ABSENT or completion.resume is not ABSENT:
        body = remove_reserved_fields(body)
    limit = (
        completion.max_completion_tokens or completion.max_tokens or DEFAULT_MAX_TOKENS
    )
    return Call(
        target=completion.model,
        method="POST",
        path=path,
        body=body,
        streamed=completion.stream,
        prompt_tokens=max(1, len(body) // BYTES_PER_TOKEN),
        max_tokens=limit,
        prefix=extract_prefix(body),
    )


def check_completion(path: str, completion: Completion) -> errors.Failure | None:
    """Return what is wrong with a well-typed body, or ``None``."""
    chat = path == MODEL_PATHS[0]
    if chat and not completion.messages:
        return errors.Failure("invalid_request", "Object missing field `messages`")
    if not chat and completion.prompt is ABSENT:
        return errors.Failure("invalid_request", "Object missing field `prompt`")
    if completion.n not in (None, 1):
        return errors.Failure("invalid_request", "One choice a request: leave out `n`.")
    for limit in (completion.max_tokens, completion.max_completion_tokens):
        if limit is not None and limit < 1:
            return errors.Failure("invalid_request", "A token limit is at least 1.")
    if completion.model.startswith("service:"):
        return errors.Failure(
            "unknown_model", f"No model is called {completion.model!r}."
        )
    return None


def quote_path(text: str, quoted: str = "%?") -> str:
    """Return part of a URL, percent-encoded for the wire.

    The text comes from WSGI, which decodes it as latin-1. ``quoted`` are further
    characters to leave as they are: none for a path, which WSGI has already unquoted;
    a query string is still quoted, and only its unsafe characters are encoded.
    """
    return parse.quote(text.encode("latin-1"), safe=PATH_SAFE + quoted)


def extract_prefix(body: bytes) -> str:
    """Return the start of the prompt's text, for cache affinity."""
    texts = TEXT_PATTERN.findall(body[: 4 * PREFIX_BYTES])
    return b"".join(texts)[:PREFIX_BYTES].decode("utf-8", "replace")


def remove_reserved_fields(body: bytes) -> bytes:
    """Return the body without the fields that only the router may set."""
    document = msgspec.json.decode(body)
    return msgspec.json.encode(
        {name: value for name, value in document.items() if name not in RESERVED_FIELDS}
    )


def add_fields(body: bytes, fields: dict[str, typing.Any]) -> bytes:
    """Return a JSON object with fields appended; the caller's bytes stay unchanged.

    >>> add_fields(b'{"model": "m1"}', {"priority": 3})
    b'{"model": "m1","priority":3}'
    """
    added = msgspec.json.encode(fields)
    return body.rstrip()[:-1] + b"," + added[1:]
