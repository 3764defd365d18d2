"""Handles the signals about themselves that upstreams send in responses.

A signal concerns all further requests, and one about a rate limit concerns all
gateways. So it is cached here and sent to every directory, including those that are
linked later.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.daemon import announcements, events
from trestlestall.daemon.gateway import (
    cached_view,
    metrics as gateway_metrics,
    outcomes,
)
from trestlestall.forwarding import placement, upstream_signals, upstreams
from trestlestall.wire import directory_messages

#: The signal of a response that says nothing about its upstream.
EMPTY = upstream_signals.Signal()
#: The source, in log lines, of rows that follow from a response.
ANSWER = "answer"
#: Statuses from here on are failures, which may lack headers of other responses.
SERVER_ERRORS = 500
#: Interval at which directories are told again that an upstream is brittle.
TELL_SECONDS = 0.5


class Broadcast(typing.Protocol):
    """A function that sends a message to all linked directories but one."""

    def __call__(self, message: typing.Any, excluded: str = "") -> object:
        """Send the message to all linked directories but ``excluded``."""


@dataclasses.dataclass(frozen=True)
class Request:
    """The id of an answered request, and when it was sent (monotonic seconds)."""

    identity: str
    sent_at: float


class UpstreamSignals:
    """Handles the signals of each response, and keeps the latest of each incarnation.

    ``broadcast`` is set once the gateway has links.
    """

    def __init__(
        self, view: cached_view.CachedView, metrics: gateway_metrics.Metrics
    ) -> None:
        self.broadcast: Broadcast = drop_message
        self._view = view
        self._metrics = metrics
        self._latest: dict[str, upstream_signals.Signal] = {}
        self._draining: list[str] = []
        self._told_at: dict[str, float] = {}

    def handle(
        self,
        row: upstreams.Row,
        answer: outcomes.AnswerHead | outcomes.NotRun,
        request: Request,
    ) -> None:
        """Handle the signals in a response of the upstream."""
        if answer.status == outcomes.MISDIRECTED:
            return  # the response is from another incarnation
        signal = answer.signal
        self._handle_limit(row, answer, request)
        self._handle_brittle(row, answer, request)
        if signal.leaves:
            self._handle_drain_notice(row)
        if signal.rest_seconds:
            now = self._view.clock()
            self._view.backoffs.record(row.identity, signal.rest_seconds, now)
        former = self._latest.get(row.identity, EMPTY)
        if signal != former or signal.rest_seconds:
            self._record_change(row, signal, request)

    def record_placed(self, placed: placement.Placed) -> None:
        """Report a request that was placed at a rate-limited upstream.

        All directories count it; the one that placed it has done so already.
        """
        if placed.limit is None:
            return
        known, now = self._view.advertised_limits, self._view.clock()
        identity = placed.row.identity
        if known.find_limit(identity) is None:
            known.record_limit(identity, placed.limit, now, now)
        self.broadcast(directory_messages.RateLimits(sent=(identity,)), placed.source)

    def report(self) -> abc.Iterator[typing.Any]:
        """Yield messages with all cached signals, for a newly linked directory."""
        now = self._view.clock()
        stated = tuple(self._view.advertised_limits.list_advertised(now))
        if stated:
            yield directory_messages.RateLimits(stated=stated)
        known = self._view.table.rows
        brittle = tuple(self._view.brittleness.list_advertised(now))
        if brittle:
            yield directory_messages.BrittleUpstreams(stated=brittle)
        draining = [known[one] for one in self._draining if one in known]
        if draining:
            yield announcements.encode(draining)

    def _handle_drain_notice(self, row: upstreams.Row) -> None:
        """Mark an upstream as draining, as if it had announced that.

        For this gateway it holds whatever others say of the same incarnation.
        """
        known = self._view.table.rows.get(row.identity)
        if known is None or known.state is not upstreams.State.SERVING:
            return
        draining = dataclasses.replace(known, state=upstreams.State.DRAINING)
        self._view.merge_rows((draining,), ANSWER)
        self._draining = [one for one in self._draining if one in self._view.table.rows]
        self._draining.append(row.identity)
        self.broadcast(announcements.encode((draining,)))

    def _handle_limit(
        self,
        row: upstreams.Row,
        answer: outcomes.AnswerHead | outcomes.NotRun,
        request: Request,
    ) -> None:
        """Record a rate limit, or that a response no longer advertises one."""
        known, now = self._view.advertised_limits, self._view.clock()
        limit = answer.signal.limit
        if limit is not None:
            known.record_limit(row.identity, limit, now, now)
            self.broadcast(
                directory_messages.RateLimits(stated=((row.identity, limit, 0.0),))
            )
        elif known.find_limit(row.identity) is not None and withdraws_signal(answer):
            known.record_no_limit(row.identity, request.sent_at)
            age = now - request.sent_at
            self.broadcast(
                directory_messages.RateLimits(unstated=((row.identity, age),))
            )

    def _handle_brittle(
        self,
        row: upstreams.Row,
        answer: outcomes.AnswerHead | outcomes.NotRun,
        request: Request,
    ) -> None:
        """Record that an upstream is brittle, or no longer, and what it rejects."""
        known, now = self._view.brittleness, self._view.clock()
        tolerated = answer.signal.brittle
        if tolerated is not None:
            has_changed = known.record_brittle(row.identity, tolerated, now)
            if has_changed or now - self._told_at[row.identity] >= TELL_SECONDS:
                self._told_at[row.identity] = now
                stated = ((row.identity, tolerated, 0.0),)
                self.broadcast(directory_messages.BrittleUpstreams(stated=stated))
        elif known.is_brittle(row.identity) and withdraws_signal(answer):
            known.record_sturdy(row.identity, request.sent_at)
            unstated = ((row.identity, now - request.sent_at),)
            self.broadcast(directory_messages.BrittleUpstreams(unstated=unstated))
        if isinstance(answer, outcomes.NotRun) and self._view.is_brittle(row):
            held = self._view.placer.count_requests(row.identity)
            known.record_rejection(row.identity, held, now)
            message = directory_messages.BrittleUpstreams(rejected=(row.identity,))
            self.broadcast(message)

    def _record_change(
        self, row: upstreams.Row, signal: upstream_signals.Signal, request: Request
    ) -> None:
        known = self._view.table.rows
        if len(self._latest) > len(known):
            latest = {one: last for one, last in self._latest.items() if one in known}
            self._latest = latest
            told = {one: at for one, at in self._told_at.items() if one in known}
            self._told_at = told
        self._latest[row.identity] = signal
        for kind in list_kinds(signal):
            self._metrics.signals.labels(kind).inc()
        self._view.log.write(
            events.forwarding.UPSTREAM_SIGNAL,
            upstream=row.identity,
            service=row.service,
            address=row.address,
            request=request.identity,
            limit=signal.limit,
            leaves=signal.leaves,
            rest_seconds=signal.rest_seconds,
            brittle=signal.brittle,
            unreadable=list(signal.unreadable),
        )


def withdraws_signal(answer: outcomes.AnswerHead | outcomes.NotRun) -> bool:
    """Return whether a response without a limit, or such a signal, ends it.

    Refusals and failures don't. If one that lacks the header lifted the limit, an
    overloaded upstream would get all requests until its next successful response.
    """
    if isinstance(answer, outcomes.NotRun) or answer.signal.unreadable:
        return False
    return answer.status < SERVER_ERRORS


def drop_message(message: typing.Any, excluded: str = "") -> None:
    """Drop a message because there are no links yet."""


def list_kinds(signal: upstream_signals.Signal) -> list[str]:
    """Return the kinds of signals that are present, as labels of a metric."""
    found = {
        "limit": signal.limit is not None,
        "leaves": signal.leaves,
        "rest": signal.rest_seconds > 0,
        "brittle": signal.brittle is not None,
        "unreadable": bool(signal.unreadable),
    }
    return [kind for kind, is_present in found.items() if is_present]
