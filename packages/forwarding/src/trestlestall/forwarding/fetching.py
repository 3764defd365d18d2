"""Fetching the first blocks of a prompt from an engine that has cached them; pure.

Blocks are fetched only from an engine of the same software version: another one may
have laid them out in another way.

An engine that lacks blocks of a prompt can fetch their prefilled state from another
one before it prefills the rest. That takes a fraction of the time of prefill, and no
time in which the engine prefills for others. Transfers queue on the links of both ends.
"""

import dataclasses
from collections import abc

from trestlestall.forwarding import descriptors, engines, upstreams

#: Seconds of a transfer besides its bytes; slightly more than what engines declare.
SETUP_SECONDS = 0.003
#: By how much a transfer takes longer from another data centre.
REMOTE_FACTOR = 2.0
#: The least tokens that are worth a transfer: prefilling them takes about as long as
#: setting up the transfer.
MIN_TOKENS = 256
#: Failure rate above which an engine is no source: a transfer that breaks off costs its
#: own time and the prefill as well.
FAILING_RATE = 0.2
#: Sources that are compared for one engine: those with most tokens, idle links first.
SOURCES_LIMIT = 4


@dataclasses.dataclass(frozen=True)
class Source:
    """An engine that has cached the first ``tokens`` of a prompt."""

    row: upstreams.Row
    engine: engines.Upstream
    tokens: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """A transfer of ``tokens`` that would be complete after ``seconds``.

    ``link_seconds`` is how long it occupies the links.
    """

    source: Source
    tokens: int
    seconds: float
    link_seconds: float


def list_sources(
    rows: abc.Iterable[upstreams.Row],
    engines_by_identity: abc.Mapping[str, engines.Upstream],
    descriptor: descriptors.Descriptor,
) -> list[Source]:
    """Return the engines that have cached most of a prompt, best first."""
    found = []
    for row in rows:
        engine = engines_by_identity[row.identity]
        tokens = engine.prefix_cache.count_prefilled(descriptor)
        if tokens < MIN_TOKENS or not engine.token_seconds:
            continue
        if engine.find_failure_rate(descriptor.data_centre) <= FAILING_RATE:
            found.append(Source(row, engine, tokens))
    found.sort(key=lambda one: (-one.tokens, one.engine.link_free_at))
    return found[:SOURCES_LIMIT]


def choose_fetch(
    row: upstreams.Row,
    engine: engines.Upstream,
    unread: int,
    descriptor: descriptors.Descriptor,
    sources: abc.Iterable[Source],
    now: float,
) -> Fetch | None:
    """Return the transfer that saves an engine the most time; None if none does.

    ``unread`` are the tokens that the engine would have to prefill without it.
    """
    cached = descriptor.tokens_in - unread
    best: Fetch | None = None
    most = 0.0
    for source in sources:
        tokens = source.tokens - cached
        if source.engine is engine or tokens < MIN_TOKENS:
            continue
        if row.version is None or source.row.version != row.version:
            continue
        link_seconds = SETUP_SECONDS + tokens * get_token_seconds(row, source)
        free_at = max(now, source.engine.link_free_at, engine.link_free_at)
        seconds = free_at - now + link_seconds
        saved = engine.estimate_prefill_seconds(
            unread
        ) - engine.estimate_prefill_seconds(unread - tokens)
        if saved - seconds > most:
            most = saved - seconds
            best = Fetch(source, tokens, seconds, link_seconds)
    return best


def get_token_seconds(row: upstreams.Row, source: Source) -> float:
    """Return the seconds of transferring one token from the source to an upstream."""
    near = row.data_centre == source.row.data_centre
    return source.engine.token_seconds * (1.0 if near else REMOTE_FACTOR)


def record_fetch(engine: engines.Upstream, fetch: Fetch, now: float) -> None:
    """Record that a transfer occupies the links of both ends."""
    done_at = now + fetch.seconds
    engine.link_free_at = max(engine.link_free_at, done_at)
    fetch.source.engine.link_free_at = max(fetch.source.engine.link_free_at, done_at)
