"""Feeds events to the policy and carries out its actions; decides nothing itself.

There is no greenlet switch between a call of the policy and the last of its actions, so
that the actions of two events never interleave.
"""

from __future__ import annotations

import dataclasses
from collections import abc

import eventlet

from trestlestall.daemon import environment, events, metrics as daemon_metrics
from trestlestall.daemon.router import (
    action_handlers,
    attempts,
    claims,
    exchanges,
    journal,
    lookups,
    streams,
    views,
)
from trestlestall.policy import arrivals, outcomes, router_policy

OUTCOMES = {
    attempts.Ending.COMPLETED: outcomes.Completed(),
    attempts.Ending.NOT_SENT: outcomes.NotSent(),
    attempts.Ending.BROKEN: outcomes.Broken(),
    attempts.Ending.CANCELLED: outcomes.Cancelled(),
}
# Backpressure: unread messages of a slow caller beyond which its attempt stops reading.
BACKLOG_LIMIT_MESSAGES = 512
BACKLOG_POLL_SECONDS = 0.02


@dataclasses.dataclass
class Dispatcher:
    """Connects the policy with exchanges, attempts and claims."""

    policy: router_policy.Policy
    views: views.Views
    clock: environment.Clock
    journal: journal.Journal
    metrics: daemon_metrics.Metrics
    claim_client: claims.ClaimClient
    lookups: lookups.Lookups
    on_refused_connection: abc.Callable[[object], None]
    on_backoff: abc.Callable[[object, float], None]
    on_pressure: abc.Callable[[abc.Mapping[str, int]], None]
    exchanges: dict[str, exchanges.Exchange] = dataclasses.field(default_factory=dict)
    attempts: dict[str, attempts.Attempt] = dataclasses.field(default_factory=dict)
    stalled_seconds: float = 0.0

    # Events of callers.

    def open(self, exchange: exchanges.Exchange) -> None:
        """Submit a caller's request to the policy."""
        call, workspace = exchange.call, exchange.workspace
        self.exchanges[exchange.request] = exchange
        arrival = arrivals.Arrival(
            request=exchange.request,
            workspace=workspace.name,
            weight=workspace.weight,
            target=call.target,
            request_class=exchange.request_class,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix=call.prefix,
            now=exchange.arrived_at,
            stream=call.streamed,
        )
        now = exchange.arrived_at
        self.carry_out(self.policy.arrive(arrival, self.views.get_view(now), now))

    def hang_up(self, exchange: exchanges.Exchange) -> None:
        """Handle a caller that disconnected before its response was complete.

        Its work is cancelled, except for work that may run only once and was already
        sent: that continues, so that the client's retry gets the response.
        """
        if exchange.is_over:
            return
        exchange.end(exchanges.CallerDisconnected())
        if exchange.claimed and self._has_attempts(exchange.request):
            exchange.detached = True
            return
        now = self.clock.monotonic()
        self.carry_out(self.policy.hang_up(exchange.request, now))

    def close(self, exchange: exchanges.Exchange) -> None:
        """Remove a request that has been answered; its attempts may end later."""
        self.hang_up(exchange)
        if not exchange.detached:
            self._remove(exchange)

    # Events of attempts (``attempts.Sink``).

    def handle_head(
        self, attempt: attempts.Attempt, response: attempts.Response
    ) -> None:
        """Forward the head of a stream."""
        self._deliver(attempt, exchanges.StreamStarted(response))

    def handle_piece(self, attempt: attempts.Attempt, piece: streams.Piece) -> None:
        """Report the tokens to the policy, then forward the bytes."""
        if piece.tokens:
            now = self.clock.monotonic()
            total = attempt.resumed_tokens + attempt.tokens
            self.carry_out(self.policy.progress(attempt.identity, total, now))
        exchange = self._deliver(attempt, exchanges.StreamData(piece))
        while exchange is not None and exchange.backlog > BACKLOG_LIMIT_MESSAGES:
            eventlet.sleep(BACKLOG_POLL_SECONDS)

    def handle_end(
        self,
        attempt: attempts.Attempt,
        ending: attempts.Ending,
        reason: str,
        response: attempts.Response | None,
    ) -> None:
        """Report an attempt's end to the policy, and forward a complete response."""
        self.attempts.pop(attempt.identity, None)
        self._log_end(attempt, ending, reason)
        exchange = self.exchanges.get(attempt.request)
        if attempt.upstream is not None and is_upstream_fault(
            attempt, ending, exchange
        ):
            self.on_refused_connection(attempt.upstream)
        if attempt.upstream is not None and attempt.backoff_seconds:
            self.on_backoff(attempt.upstream, attempt.backoff_seconds)
        now = self.clock.monotonic()
        total = attempt.resumed_tokens + attempt.tokens
        actions = self.policy.finish(attempt.identity, OUTCOMES[ending], total, now)
        self.carry_out(actions)
        if exchange is None:
            return
        if ending is attempts.Ending.COMPLETED:
            self._complete(exchange, attempt, response)
        if exchange.detached and not self._has_attempts(exchange.request):
            self.carry_out(self.policy.hang_up(exchange.request, now))
            self._remove(exchange)

    def claim_answered(self, exchange: exchanges.Exchange, granted: bool) -> None:
        """Report to the policy whether the claim was granted."""
        now = self.clock.monotonic()
        self.carry_out(self.policy.claim_answered(exchange.request, granted, now))

    def tick(self) -> None:
        """Let the policy handle what is due by time alone."""
        self._discount_stall()
        now = self.clock.monotonic()
        self.carry_out(self.policy.tick(self.views.get_view(now), now))

    def carry_out(self, actions: abc.Iterable[object]) -> None:
        """Carry out the policy's actions, in order."""
        for action in actions:
            action_handlers.ACTION_HANDLERS[type(action)](self, action)

    def may_have_run(self, exchange: exchanges.Exchange) -> bool:
        """Return whether a byte of the request was sent to an upstream."""
        return exchange.was_sent or any(
            attempt.sent
            for attempt in self.attempts.values()
            if attempt.request == exchange.request
        )

    @property
    def is_busy(self) -> bool:
        """Whether any request or attempt is under way."""
        return bool(self.exchanges or self.attempts)

    def list_open(self) -> list[exchanges.Exchange]:
        """Return the requests under way.

        A request that may run only once is listed until its response is recorded:
        whoever saw it end earlier would retry it and not learn its outcome.
        """
        recording = {one.request: one for one in self.claim_client.list_unrecorded()}
        return list({**self.exchanges, **recording}.values())

    # Helpers of the above.

    def _discount_stall(self) -> None:
        """Report to the policy for how long this process was held up meanwhile."""
        before, self.stalled_seconds = self.stalled_seconds, self.clock.stalled()
        if self.stalled_seconds > before:
            self.policy.discount_stall(self.stalled_seconds - before)

    def start(self, attempt: attempts.Attempt) -> None:
        """Run an attempt in a greenlet of its own."""
        self.attempts[attempt.identity] = attempt
        eventlet.spawn_n(attempt.run, self)

    def _deliver(
        self, attempt: attempts.Attempt, message: exchanges.Message
    ) -> exchanges.Exchange | None:
        exchange = self.exchanges.get(attempt.request)
        if exchange is None:
            return None
        if exchange.claimed:
            exchange.store_for_claim(message)
        return exchange if exchange.deliver(attempt.identity, message) else None

    def _complete(
        self,
        exchange: exchanges.Exchange,
        attempt: attempts.Attempt,
        response: attempts.Response | None,
    ) -> None:
        if response is not None:
            message = exchanges.CompleteResponse(response, attempt.tokens)
        else:
            message = exchanges.StreamEnded()
        exchange.deliver(attempt.identity, message)
        if exchange.claimed:
            self.claim_client.finish(exchange, exchange.build_answer(response))

    def _log_end(
        self, attempt: attempts.Attempt, ending: attempts.Ending, reason: str
    ) -> None:
        self.metrics.attempts.labels(ending.value).inc()
        exchange = self.exchanges.get(attempt.request)
        if attempt.sent and exchange is not None:
            exchange.was_sent = True
            name = exchange.request_class.name
            self.metrics.received_tokens.labels(name).inc(attempt.tokens)
        if ending is attempts.Ending.COMPLETED:
            return
        event = events.routing.BROKEN
        if ending is attempts.Ending.CANCELLED:
            event = events.routing.CANCELLED
        self.journal.write(
            event,
            request=attempt.request,
            attempt=attempt.identity,
            upstream=attempt.upstream.name if attempt.upstream else "",
            tokens=attempt.tokens,
            reason=f"{ending.value}: {reason}",
        )

    def _has_attempts(self, request: str) -> bool:
        return any(attempt.request == request for attempt in self.attempts.values())

    def _remove(self, exchange: exchanges.Exchange) -> None:
        """Remove a request; release its claim if it was certainly never sent."""
        self.exchanges.pop(exchange.request, None)
        unsent = not exchange.was_sent and not self._has_attempts(exchange.request)
        if exchange.claimed and unsent:
            self.claim_client.release(exchange.request)


def is_upstream_fault(
    attempt: attempts.Attempt,
    ending: attempts.Ending,
    exchange: exchanges.Exchange | None,
) -> bool:
    """Return whether the upstream gets no new requests until its next lease renewal.

    An upstream that accepts requests and ends them at once always looks the least
    loaded, and would attract nearly all of them. Work that may run only once does not
    count: a retry by its client has to learn that the outcome is unknown, not that
    there is no upstream.
    """
    if ending is attempts.Ending.NOT_SENT:
        return True
    if ending is not attempts.Ending.BROKEN or attempt.answered:
        return False
    return exchange is not None and exchange.request_class.idempotent
