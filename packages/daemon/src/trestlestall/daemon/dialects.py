"""Dialects: the HTTP interface of gateways and directories, as a deployment names it.

A dialect names headers and paths and decodes documents; all other code uses the typed
values only. ``NATIVE`` is the dialect of this product; a deployment with another HTTP
interface passes its own dialect to ``gateway.process`` and ``directory.process``.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing
from collections import abc

import msgspec

from trestlestall.daemon import announcements
from trestlestall.forwarding import checks, model, upstream_signals, upstreams

if typing.TYPE_CHECKING:
    from trestlestall.duties import orders


@dataclasses.dataclass(frozen=True)
class Headers:
    """The names of the headers, in the case in which they are sent.

    Headers of requests:

    - ``request_id``: upstreams repeat it in their answers; one that doesn't gets a
      connection for each request
    - ``deadline``: the time left for the answer, in milliseconds
    - ``key``: ``key_scheme`` followed by the caller's key
    - ``model``
    - ``tokens``: prompt tokens and the most tokens to generate, as ``IN,OUT``
    - ``parts``: the prefix blocks of the prompt, as ``ID:TOKENS,…``
    - ``length_hint``: the caller's estimate of the answer's length
    - ``last_event``: the last event received of a stream that is to be resumed
    - ``resumes``: the id of the caller's request that brought this stream's first event

    Headers of requests that only the gateway sets: ``workspace``, ``tier``,
    ``expected_upstream`` (any other upstream refuses the request) and ``fetch_from``
    (the address of an upstream that has cached prefixes of the prompt). Those listed
    in ``reserved`` may not be set by callers either.

    Headers of answers:

    - ``signature``: present if the upstream itself wrote the answer
    - ``not_run``: present if the upstream did not start to run the request
    - ``upstream``: the incarnation that answered
    - ``limit``: requests a second that the upstream accepts from all gateways together
    - ``leaving``: 1 once the upstream drains
    - ``brittle``: the upstream ends if it rejects more requests than this in a second
    """

    request_id: str = "Trestlestall-Request"
    deadline: str = "Trestlestall-Deadline-Milliseconds"
    key: str = "Authorization"
    key_scheme: str = "Bearer"
    model: str = "Trestlestall-Model"
    tokens: str = "Trestlestall-Tokens"
    parts: str = "Trestlestall-Parts"
    length_hint: str = "Trestlestall-Length-Estimate"
    last_event: str = "Last-Event-Id"
    resumes: str = "Trestlestall-Resumes"
    workspace: str = "Trestlestall-Workspace"
    expected_upstream: str = "Trestlestall-Expected-Upstream"
    tier: str = "Trestlestall-Tier"
    fetch_from: str = "Trestlestall-Fetch-From"
    reserved: tuple[str, ...] = ()
    signature: str = "Trestlestall-Signature"
    not_run: str = "Trestlestall-Not-Run"
    upstream: str = "Trestlestall-Upstream"
    limit: str = "Trestlestall-Limit"
    leaving: str = "Trestlestall-Leaving"
    brittle: str = "Trestlestall-Brittle"

    @functools.cached_property
    def signal_headers(self) -> upstream_signals.HeaderNames:
        """The headers of an upstream's signals: rate limit and drain notice."""
        return upstream_signals.HeaderNames(
            self.limit.lower(), self.leaving.lower(), brittle=self.brittle.lower()
        )


@dataclasses.dataclass(frozen=True)
class Paths:
    """Paths served to operators, upstreams and the load balancer."""

    ready: str = "/readyz"
    metrics: str = "/metrics"
    configuration: str = "/v1/declaration"
    upstreams: str = "/v1/upstreams/"


@dataclasses.dataclass(frozen=True)
class Post:
    """A POST request to the platform: its path and its JSON body."""

    path: str
    body: bytes


class Verdict(enum.Enum):
    """The meaning of the platform's answer to a call.

    ``SUPERSEDED``: the platform has seen a higher fencing token. ``NONE_LEFT``: no
    upstreams of the ordered kind are available now. ``LIMITED``: too many calls.
    ``UNKNOWN``: an undocumented answer, after which the call may or may not have been
    accepted.
    """

    ACCEPTED = "taken"
    SUPERSEDED = "superseded"
    NONE_LEFT = "none left"
    LIMITED = "limited"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class DutyCalls:
    """How the calls of the duties are encoded and their answers decoded.

    ``holder`` and ``token`` are the names of the headers that carry the lease holder
    and its fencing token. ``encode_usage(window, counts)`` and
    ``encode_order(subject, count)`` return a call; ``read_usage_verdict`` and
    ``read_order_verdict`` map the status of an answer to a verdict.
    """

    holder: str
    token: str
    encode_usage: abc.Callable[[int, abc.Mapping[str, int]], Post]
    encode_order: abc.Callable[[orders.Subject, int], Post]
    read_usage_verdict: abc.Callable[[int], Verdict]
    read_order_verdict: abc.Callable[[int], Verdict]


DecodeConfiguration = abc.Callable[[bytes], model.Configuration | model.Invalid]
DecodeAnnouncement = abc.Callable[[str, bytes], upstreams.Row | model.Invalid]


@dataclasses.dataclass(frozen=True)
class Dialect:
    """The HTTP interface of one deployment.

    ``decode_announcement`` takes the identity in the path and the body of the request.
    """

    headers: Headers
    paths: Paths
    decode_configuration: DecodeConfiguration
    decode_announcement: DecodeAnnouncement
    duties: DutyCalls


def decode_configuration(body: bytes) -> model.Configuration | model.Invalid:
    """Return the configuration in a JSON body keyed as ``model.Configuration``."""
    found = decode_json(body, model.Configuration)
    if isinstance(found, model.Invalid):
        return found
    return checks.find_fault(found) or found


def decode_announcement(identity: str, body: bytes) -> upstreams.Row | model.Invalid:
    """Return the row in a JSON body with the keys of ``upstreams.Row``."""
    plain = decode_json(body, dict)
    if isinstance(plain, model.Invalid):
        return plain
    try:
        row = msgspec.convert({**plain, "identity": identity}, upstreams.Row)
    except msgspec.ValidationError as error:
        return model.Invalid(str(error))
    incarnation = upstreams.format_identity(identity, row.born)
    row = dataclasses.replace(
        row,
        identity=incarnation,
        name=identity if row.born else "",
        version=row.version or "",
    )
    return announcements.find_fault(row) or row


def decode_json(body: bytes, shape: typing.Any) -> typing.Any:
    """Return the body as a value of the shape, or ``model.Invalid``."""
    try:
        return msgspec.json.decode(body, type=shape)
    except (msgspec.MsgspecError, RecursionError) as error:
        return model.Invalid(f"not the expected JSON: {error}")


def encode_usage(window: int, counts: abc.Mapping[str, int]) -> Post:
    """Return the call that reports the requests of a reporting window by workspace."""
    body = {"window": window, "requests": dict(counts)}
    return Post("/v1/usage", msgspec.json.encode(body))


def encode_order(subject: orders.Subject, count: int) -> Post:
    """Return the call that orders ``count`` upstreams."""
    body = {**dataclasses.asdict(subject), "count": count}
    return Post("/v1/orders", msgspec.json.encode(body))


#: The verdict for each status that the platform documents.
VERDICTS = {
    200: Verdict.ACCEPTED,
    409: Verdict.SUPERSEDED,
    410: Verdict.NONE_LEFT,
    429: Verdict.LIMITED,
}


def read_verdict(status: int) -> Verdict:
    """Return the verdict for the status of an answer."""
    return VERDICTS.get(status, Verdict.UNKNOWN)


DUTY_CALLS = DutyCalls(
    holder="Trestlestall-Holder",
    token="Trestlestall-Token",
    encode_usage=encode_usage,
    encode_order=encode_order,
    read_usage_verdict=read_verdict,
    read_order_verdict=read_verdict,
)
NATIVE = Dialect(
    Headers(), Paths(), decode_configuration, decode_announcement, DUTY_CALLS
)
