"""The head of a request, parsed into typed fields by the dialect's header names."""

import dataclasses
import hashlib
import math
from collections import abc

from trestlestall.daemon import dialects
from trestlestall.forwarding import descriptors, model

#: Headers that concern a single connection and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"host",
    )
)

#: How far the deadline of a first attempt may be from the route's time limit, as a
#: share of it. A client retry has less time left. Callers with a longer deadline than
#: the route's limit can't be told apart by it: none of them counts as a first attempt.
FULL_DEADLINE_TOLERANCE = 0.01

#: Size of a digest: large enough that collisions occur neither by chance nor by intent.
DIGEST_BYTES = 16

RawHeaders = abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a request; ``headers`` keep the caller's order and case.

    ``deadline`` is how long the caller waits, in seconds; None if it states nothing.
    A caller that takes up a stream names the ``last_event`` that it has; ``resumes``
    are the distinct requests that it names as the one that began the stream.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    request_id: str
    host: str
    path: str
    key: str | None
    deadline: float | None
    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[descriptors.PrefixBlock, ...]
    length_hint: int | None
    last_event: str = ""
    resumes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Malformed:
    """A request that can't be parsed; ``reason`` is sent to the caller."""

    reason: str


def read_head(
    method: bytes, target: bytes, headers: RawHeaders, names: dialects.Headers
) -> Head | Malformed:
    """Return the parsed head of a request."""
    found = index_headers(headers)
    request_id = found.get(names.request_id.lower(), "")
    if not request_id:
        return Malformed(f"no {names.request_id}")
    if not target.startswith(b"/"):
        return Malformed("the target must be a path")
    try:
        tokens_in, tokens_out = read_tokens(found.get(names.tokens.lower()))
        return Head(
            method=method,
            target=target,
            headers=headers,
            request_id=request_id,
            host=found.get("host", ""),
            path=target.partition(b"?")[0].decode("latin-1"),
            key=read_key(found.get(names.key.lower()), names.key_scheme),
            deadline=read_milliseconds(found.get(names.deadline.lower())),
            model=found.get(names.model.lower(), ""),
            tokens_in=tokens_in,
            tokens_out=tokens_out,
            parts=read_parts(found.get(names.parts.lower())),
            length_hint=read_count(found.get(names.length_hint.lower())),
            last_event=found.get(names.last_event.lower(), ""),
            resumes=list_values(headers, names.resumes),
        )
    except ValueError as error:
        return Malformed(f"unreadable header: {error}")


def index_headers(headers: RawHeaders) -> dict[str, str]:
    """Return the first value of each header by its lower-case name."""
    found: dict[str, str] = {}
    for name, value in headers:
        found.setdefault(name.decode("latin-1").lower(), value.decode("latin-1"))
    return found


def list_values(headers: RawHeaders, name: str) -> tuple[str, ...]:
    """Return the distinct values of a header that are not empty, in their order."""
    wanted = name.lower().encode()
    found = [value.decode("latin-1") for key, value in headers if key.lower() == wanted]
    return tuple(dict.fromkeys(filter(None, found)))


def read_key(value: str | None, scheme: str) -> str | None:
    """Return the key of an ``Authorization`` value; None without the right scheme."""
    if value is None:
        return None
    given, _, key = value.strip().partition(" ")
    return key.strip() if given.lower() == scheme.lower() else None


def read_milliseconds(value: str | None) -> float | None:
    """Return a duration given in milliseconds as seconds; raises ``ValueError``."""
    if value is None:
        return None
    seconds = float(value) / 1000.0
    if math.isnan(seconds):
        raise ValueError(f"not a duration: {value}")
    return seconds


def read_count(value: str | None) -> int | None:
    """Return a number truncated to an integer; raises ``ValueError``."""
    if value is None:
        return None
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not a count: {value}")
    return int(number)


def read_tokens(value: str | None) -> tuple[int, int]:
    """Return the prompt's tokens and the maximum of generated tokens.

    >>> read_tokens("1460,80")
    (1460, 80)
    """
    if not value:
        return 0, 0
    first, _, second = value.partition(",")
    return int(first), int(second or 0)


def read_parts(value: str | None) -> tuple[descriptors.PrefixBlock, ...]:
    """Return the prefix blocks of a prompt, as ``ID:TOKENS`` pairs.

    >>> read_parts("5c1e:800,91bd:410")[1].tokens
    410
    """
    if not value:
        return ()
    pairs = (item.strip().rpartition(":") for item in value.split(","))
    return tuple(
        descriptors.PrefixBlock(name, int(tokens)) for name, _, tokens in pairs
    )


def list_forwarded(
    head: Head, names: dialects.Headers, added: abc.Mapping[str, str]
) -> list[tuple[bytes, bytes]]:
    """Return the headers to send to an upstream.

    These are the caller's, without hop-by-hop headers, the key and other reserved ones,
    plus those that the gateway sets itself (``added``).
    """
    dropped = {name.lower().encode() for name in (*added, *list_reserved(names))}
    dropped |= HOP_BY_HOP_HEADERS | list_hop_by_hop(head.headers)
    dropped -= {name.lower().encode() for name in list_end_to_end(names)}
    kept = [pair for pair in head.headers if pair[0].lower() not in dropped]
    host = [pair for pair in head.headers if pair[0].lower() == b"host"]
    own = [(name.encode(), value.encode()) for name, value in added.items()]
    return host + kept + own


def list_reserved(names: dialects.Headers) -> tuple[str, ...]:
    """Return the headers that a caller must not set; only the gateway may."""
    own = (
        names.key,
        names.workspace,
        names.expected_upstream,
        names.tier,
        names.fetch_from,
    )
    return own + names.reserved


def list_end_to_end(names: dialects.Headers) -> tuple[str, ...]:
    """Return the headers that are forwarded even if ``Connection`` lists them."""
    return names.request_id, names.model, names.tokens, names.parts


def list_hop_by_hop(headers: RawHeaders) -> set[bytes]:
    """Return the names listed in ``Connection`` headers, in lower case."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def compute_digest(head: Head, caller: str, body: bytes) -> str:
    """Return a digest that identifies a request across client retries.

    It includes ``caller``, so that requests of one caller are never blamed for those of
    another.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller.encode(), head.method, head.host.encode(), head.target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def has_full_deadline(head: Head, route: model.Route) -> bool:
    """Return whether the whole deadline is left, as in a caller's first attempt."""
    if head.deadline is None:
        return False
    used = abs(head.deadline - route.whole_seconds)
    return used <= FULL_DEADLINE_TOLERANCE * route.whole_seconds


def build_descriptor(
    head: Head,
    route: model.Route,
    service: str,
    rank: int,
    data_centre: str,
    digest: str,
) -> descriptors.Descriptor:
    """Return the request's descriptor, by which upstreams are chosen."""
    is_first = has_full_deadline(head, route)
    return descriptors.Descriptor(
        request_id=head.request_id,
        service=service,
        rank=rank,
        first_seconds=route.first_seconds,
        whole_seconds=route.whole_seconds,
        pause_seconds=route.pause_seconds,
        model=head.model,
        tokens_in=head.tokens_in,
        tokens_out=head.tokens_out,
        parts=head.parts,
        length_hint=head.length_hint,
        data_centre=data_centre,
        may_return=route.streams and head.tokens_in > 0 and is_first,
        may_repeat=route.may_repeat,
        digest=digest,
    )
