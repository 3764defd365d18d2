"""Messages between gateways and directories: one frozen data class per message.

A ``token`` correlates an answer with its call and has meaning for the caller alone.
Rows and documents are plain values that their own packages encode and check.
"""

import dataclasses
import typing

from trestlestall.wire import registry


@registry.register("roster")
@dataclasses.dataclass(frozen=True)
class Roster:
    """The addresses of the directories that the sender knows."""

    directories: tuple[str, ...]


@registry.register("declaration_notice")
@dataclasses.dataclass(frozen=True)
class DeclarationNotice:
    """The version of the latest declared configuration that the sender holds."""

    version: int


@registry.register("declaration_pull")
@dataclasses.dataclass(frozen=True)
class DeclarationPull:
    """A request for the latest declared configuration."""


@registry.register("declaration_document")
@dataclasses.dataclass(frozen=True)
class DeclarationDocument:
    """A declared configuration: the operator's bytes, compressed by zlib."""

    version: int
    packed: bytes


@registry.register("announced")
@dataclasses.dataclass(frozen=True)
class Announced:
    """Rows of upstreams; a token other than 0 requests an ``AnnouncedAnswer``."""

    token: int
    rows: tuple[typing.Any, ...]


@registry.register("upstream_versions")
@dataclasses.dataclass(frozen=True)
class UpstreamVersions:
    """The software versions of upstreams, as pairs of an identity and a version.

    They are sent before the rows of ``Announced`` that they belong to.
    """

    pairs: tuple[typing.Any, ...]


@registry.register("version_proposed")
@dataclasses.dataclass(frozen=True)
class VersionProposed:
    """A version that is new to its service; confirmed by an ``AnnouncedAnswer``.

    It serves once a majority of the directories has confirmed it.
    """

    token: int
    service: str
    version: str


@registry.register("announced_answer")
@dataclasses.dataclass(frozen=True)
class AnnouncedAnswer:
    """The rows were merged and sent to the gateways that the sender is linked with."""

    token: int


@registry.register("place_call")
@dataclasses.dataclass(frozen=True)
class PlaceCall:
    """A gateway requests an upstream, other than those in ``tried``, for a request.

    ``descriptor`` is that of the forwarding package, as plain values. ``purpose`` is
    ``first`` for a caller's request, ``repeat`` for one that has reached an upstream,
    so that it consumes the retry budget, or ``moved`` for one that has not. ``barred``
    are upstreams that are excluded because they accept no request from the gateway now.
    """

    token: int
    descriptor: tuple[typing.Any, ...]
    tried: tuple[str, ...]
    purpose: str = "moved"
    barred: tuple[str, ...] = ()


@registry.register("place_answer")
@dataclasses.dataclass(frozen=True)
class PlaceAnswer:
    """The upstream for a request, or an empty ``upstream`` and a ``reason`` for none.

    ``taken`` is the number of requests of all gateways there, this one included.
    ``fetch_from`` is the address of an upstream that holds cached prefixes of the
    prompt; empty for none. ``limit`` is the upstream's rate limit in requests a second
    over all gateways, in which this request is already counted; None for no limit.
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
    """Progress of a placed request: its ``first`` event, or its end and outcome.

    ``kind`` says which. ``pause`` is the longest pause in seconds of a stream that has
    ended; 0 if none is known. ``start`` is the count of starts that this request
    raised, as a row of ``Starts``.
    """

    request: str
    kind: str
    pause: float = 0.0
    start: tuple[typing.Any, ...] = ()


@registry.register("place_withdrawn")
@dataclasses.dataclass(frozen=True)
class PlaceWithdrawn:
    """A request that was not sent to the upstream that the directory chose for it.

    The ``PlaceNote`` of its end follows, which older directories understand as well.
    """

    request: str


@registry.register("place_state")
@dataclasses.dataclass(frozen=True)
class PlaceState:
    """The requests that a gateway has running or waiting at upstreams.

    Each is a descriptor, its upstream, whether it has begun, and the seconds since it
    was sent there.
    """

    tasks: tuple[typing.Any, ...]


@registry.register("retry_counts")
@dataclasses.dataclass(frozen=True)
class RetryCounts:
    """A directory's own counts of requests and retries, by service and slot.

    The fields are those of ``budgets.Counts`` of the forwarding package.
    """

    source: str
    version: int
    granted: int
    heard_of: str
    heard: int
    rows: tuple[typing.Any, ...]


@registry.register("retry_counts_answer")
@dataclasses.dataclass(frozen=True)
class RetryCountsAnswer:
    """Acknowledges counts, with all counts that the receiver may lack.

    The fields are those of ``budgets.Acknowledgement`` of the forwarding package.
    """

    source: str
    version: int
    is_complete: bool
    asked_by: str
    confirmed: int
    granted: int
    rows: tuple[typing.Any, ...]


@registry.register("spent")
@dataclasses.dataclass(frozen=True)
class Spent:
    """One source's counts of requests and retries, exchanged with earlier builds.

    The fields are those of ``slot_counts.Update`` of the forwarding package.
    ``asked_at`` is that of the ``SpentCall`` that this answers, 0 for an unsolicited
    update.
    """

    source: str
    known: float
    tallies: tuple[typing.Any, ...]
    granted: int = 0
    asked_at: float = 0.0


@registry.register("spent_call")
@dataclasses.dataclass(frozen=True)
class SpentCall:
    """An earlier build's request for the whole window.

    ``asked_at`` is by the sender's own clock.
    """

    asked_at: float


@registry.register("spent_answer")
@dataclasses.dataclass(frozen=True)
class SpentAnswer:
    """Acknowledges an earlier build's grants up to this number."""

    granted: int


@registry.register("crashed")
@dataclasses.dataclass(frozen=True)
class Crashed:
    """Upstreams that crashed while requests ran there, and evidence to the contrary.

    The fields are those of ``crash_reports.Report`` of the forwarding package.
    """

    ends: tuple[typing.Any, ...]
    answers: tuple[typing.Any, ...] = ()
    alive: tuple[typing.Any, ...] = ()


@registry.register("parts_crashed")
@dataclasses.dataclass(frozen=True)
class PartsCrashed:
    """Crashes, the parts of prompts present, and what clears or holds them.

    The fields are those of ``part_reports.Report`` of the forwarding package.
    """

    crashed: tuple[typing.Any, ...] = ()
    ends: tuple[typing.Any, ...] = ()
    answers: tuple[typing.Any, ...] = ()
    held: tuple[typing.Any, ...] = ()


@registry.register("rate_limits")
@dataclasses.dataclass(frozen=True)
class RateLimits:
    """Advertised rate limits that a gateway received, and requests sent to upstreams.

    ``stated`` are rows of an upstream, its limit in requests a second and the seconds
    since it advertised it. ``unstated`` are rows of an upstream that answered without a
    limit and the seconds since that request was sent. ``sent`` holds an upstream for
    each request that another directory placed there.
    """

    stated: tuple[typing.Any, ...] = ()
    unstated: tuple[typing.Any, ...] = ()
    sent: tuple[str, ...] = ()


@registry.register("brittle_upstreams")
@dataclasses.dataclass(frozen=True)
class BrittleUpstreams:
    """What a gateway received from upstreams that survive few rejections a second.

    ``stated`` are rows of an upstream, the rejections and the seconds since it said so.
    ``unstated`` are rows of an upstream that answered without the signal and the
    seconds since that request was sent. ``rejected`` holds an upstream for each request
    that it rejected for lack of room.
    """

    stated: tuple[typing.Any, ...] = ()
    unstated: tuple[typing.Any, ...] = ()
    rejected: tuple[str, ...] = ()


@registry.register("speeds")
@dataclasses.dataclass(frozen=True)
class Speeds:
    """Prefill rates of upstreams that the sender estimated while it placed requests.

    ``rows`` are those of the forwarding package, as plain values.
    """

    rows: tuple[typing.Any, ...]


@registry.register("replaced")
@dataclasses.dataclass(frozen=True)
class Replaced:
    """A gateway detected that another incarnation answers at an upstream's address."""

    upstream: str


@registry.register("starts")
@dataclasses.dataclass(frozen=True)
class Starts:
    """The number of requests that began to run, by source, time window and workspace.

    ``rows`` are those of ``starts.Starts`` of the duties package. ``done`` are pairs of
    a source and the last window that it has reported completely. ``asked`` is the
    window of the ``StartsCall`` that this answers; 0 without one.
    """

    rows: tuple[typing.Any, ...]
    done: tuple[typing.Any, ...] = ()
    asked: int = 0


@registry.register("starts_call")
@dataclasses.dataclass(frozen=True)
class StartsCall:
    """A request for all known starts from a window on."""

    window: int


@registry.register("demand")
@dataclasses.dataclass(frozen=True)
class Demand:
    """A service's load at a directory, in upstreams (see ``demand.Load``)."""

    service: str
    reading: float
    places: float
