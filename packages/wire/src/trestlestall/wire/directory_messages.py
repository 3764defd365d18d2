"""What gateways and directories say to each other: one frozen data class per message.

A ``token`` pairs an answer with its call; it means something to the caller alone. Rows
and documents are plain values that their own packages encode and check.
"""

import dataclasses
import typing

from trestlestall.wire import registry


@registry.register("roster")
@dataclasses.dataclass(frozen=True)
class Roster:
    """The directories that the sender knows, by address."""

    directories: tuple[str, ...]


@registry.register("declaration_notice")
@dataclasses.dataclass(frozen=True)
class DeclarationNotice:
    """The newest declared configuration that the sender holds."""

    version: int


@registry.register("declaration_pull")
@dataclasses.dataclass(frozen=True)
class DeclarationPull:
    """A question for the newest declared configuration."""


@registry.register("declaration_document")
@dataclasses.dataclass(frozen=True)
class DeclarationDocument:
    """A declared configuration: the operator's bytes, compressed by zlib."""

    version: int
    packed: bytes


@registry.register("announced")
@dataclasses.dataclass(frozen=True)
class Announced:
    """Rows of upstreams; a token other than 0 asks for ``AnnouncedAnswer``."""

    token: int
    rows: tuple[typing.Any, ...]


@registry.register("announced_answer")
@dataclasses.dataclass(frozen=True)
class AnnouncedAnswer:
    """The rows are merged and passed on to the gateways that the sender sees."""

    token: int


@registry.register("place_call")
@dataclasses.dataclass(frozen=True)
class PlaceCall:
    """A gateway asks where a request should go, and not to the upstreams in ``tried``.

    ``descriptor`` is that of the forwarding package, as plain values. ``purpose`` is
    ``first`` for a caller's request, ``repeat`` for one that has reached an upstream
    and draws on the budget of repeated sends, or ``moved`` for one that has not.
    ``barred`` are upstreams that want no request from the gateway now.
    """

    token: int
    descriptor: tuple[typing.Any, ...]
    tried: tuple[str, ...]
    purpose: str = "moved"
    barred: tuple[str, ...] = ()


@registry.register("place_answer")
@dataclasses.dataclass(frozen=True)
class PlaceAnswer:
    """Where the request should go; with an empty ``upstream`` nowhere, for a reason.

    ``taken`` are the requests of all gateways there, this one included. ``fetch_from``
    is the address of the upstream that holds parts of the prompt; empty for none.
    ``limit`` are the requests a second that the upstream takes in all, of which this
    one has been counted; None for no limit.
    """

    token: int
    upstream: str
    unread: int
    predicted: float
    reason: str = ""
    return_seconds: float = 0.0
    taken: int = 0
    fetch_from: str = ""
    limit: float | None = None


@registry.register("place_note")
@dataclasses.dataclass(frozen=True)
class PlaceNote:
    """What became of a placed request: ``first`` event, or an end and of which kind.

    ``pause`` is the longest of a stream that has ended, in seconds; 0 if none is known.
    ``start`` is the count of starts that this one raised, a row of ``Starts``.
    """

    request: str
    kind: str
    pause: float = 0.0
    start: tuple[typing.Any, ...] = ()


@registry.register("place_state")
@dataclasses.dataclass(frozen=True)
class PlaceState:
    """The requests that a gateway has at upstreams.

    Each is its descriptor, its upstream, whether it began, and for how many seconds it
    has been there.
    """

    tasks: tuple[typing.Any, ...]


@registry.register("spent")
@dataclasses.dataclass(frozen=True)
class Spent:
    """What one source counted of requests and repeated sends, by service and slot.

    The fields are those of ``tallies.Told`` of the forwarding package; ``asked_at`` is
    that of the question which it answers, 0 for news.
    """

    source: str
    known: float
    tallies: tuple[typing.Any, ...]
    granted: int = 0
    asked_at: float = 0.0


@registry.register("spent_call")
@dataclasses.dataclass(frozen=True)
class SpentCall:
    """A question for all of the window; ``asked_at`` is the sender's own time."""

    asked_at: float


@registry.register("spent_answer")
@dataclasses.dataclass(frozen=True)
class SpentAnswer:
    """The sender has seen what the receiver granted, up to this number."""

    granted: int


@registry.register("crashed")
@dataclasses.dataclass(frozen=True)
class Crashed:
    """Upstreams that ended while requests ran there, and what speaks for these.

    The fields are those of ``crash_reports.Report`` of the forwarding package.
    """

    ends: tuple[typing.Any, ...]
    answers: tuple[typing.Any, ...] = ()
    alive: tuple[typing.Any, ...] = ()


@registry.register("rate_limits")
@dataclasses.dataclass(frozen=True)
class RateLimits:
    """What a gateway heard of the limits that upstreams state, and sent to these.

    ``stated`` are rows of an upstream, its requests a second and how many seconds ago
    it stated them; ``unstated`` of an upstream that answered without a limit and how
    many seconds ago that request was sent; ``sent`` are upstreams, one for each request
    that another directory placed there.
    """

    stated: tuple[typing.Any, ...] = ()
    unstated: tuple[typing.Any, ...] = ()
    sent: tuple[str, ...] = ()


@registry.register("speeds")
@dataclasses.dataclass(frozen=True)
class Speeds:
    """How fast upstreams read, as the sender has learned while it placed requests.

    ``rows`` are those of the forwarding package, as plain values.
    """

    rows: tuple[typing.Any, ...]


@registry.register("replaced")
@dataclasses.dataclass(frozen=True)
class Replaced:
    """A gateway found that another incarnation answers at an upstream's address."""

    upstream: str


@registry.register("starts")
@dataclasses.dataclass(frozen=True)
class Starts:
    """How many requests began to run, by source, window of time and workspace.

    ``rows`` are those of ``starts.Starts`` of the duties package, ``done`` pairs of a
    source and the last window of which it has told everything. ``asked`` is the window
    of the question that this answers; 0 without one.
    """

    rows: tuple[typing.Any, ...]
    done: tuple[typing.Any, ...] = ()
    asked: int = 0


@registry.register("starts_call")
@dataclasses.dataclass(frozen=True)
class StartsCall:
    """A question for all starts that are known from a window on."""

    window: int


@registry.register("demand")
@dataclasses.dataclass(frozen=True)
class Demand:
    """The load of a service that a directory sees, in upstreams (``demand.Load``)."""

    service: str
    reading: float
    places: float
