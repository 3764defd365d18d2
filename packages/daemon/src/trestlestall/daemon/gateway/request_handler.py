"""Admits the requests of a gateway, and holds the components that they share."""

import random
from collections import abc

import eventlet

from trestlestall.daemon import dialects, events, settings as process_settings
from trestlestall.daemon.gateway import (
    answer_buffers,
    cached_view,
    callers,
    connections,
    crash_detection,
    forwards,
    heads,
    identity_proofs,
    metrics as gateway_metrics,
    peers,
    placing,
    questions,
    reachability,
    refusals,
    signal_tracker,
    stream_origins,
    usage as gateway_usage,
)
from trestlestall.forwarding import budgets, model, routing, startup, urgency
from trestlestall.wire import clocks


class RequestHandler:
    """Handles requests of all callers.

    ``started_at`` is when the process started. During a shutdown, ``stop_at`` is when
    running requests are aborted, and from ``refuse_at`` on requests are refused that
    may not end before. All are in seconds of the monotonic clock.
    """

    def __init__(
        self,
        settings: process_settings.GatewaySettings,
        dialect: dialects.Dialect,
        view: cached_view.CachedView,
        metrics: gateway_metrics.Metrics,
        usage: gateway_usage.Usage,
        draw: abc.Callable[[], float] = random.random,
    ) -> None:
        self.settings = settings
        self.usage = usage
        self.dialect = dialect
        self.view = view
        self.metrics = metrics
        self.draw = draw
        self.pool = connections.Pool()
        self.buffers = answer_buffers.Buffers(settings.answers)
        self.peers = peers.Peers(settings, view)
        self.prober = reachability.Prober(view, self.pool, self.peers)
        self.crash_detector = crash_detection.CrashDetector(view, self.prober, metrics)
        self.signals = signal_tracker.UpstreamSignals(view, metrics)
        self.placing = placing.Placing(view, self.prober, self.find_retry_bound)
        self.questions = questions.Questions()
        self.origins = stream_origins.StreamOrigins(self.questions)
        self.identities = identity_proofs.IdentityProofs(
            view, self.pool, self.questions
        )
        self.started_at = clocks.read()
        self.refuse_at = 0.0
        self.stop_at: float | None = None

    def handle(self, request: callers.Request, caller: callers.Caller) -> None:
        """Process one request; raises ``CallerLeft``."""
        arrived = clocks.read()
        names = self.dialect.headers
        head = heads.read_head(request.method, request.target, request.headers, names)
        if isinstance(head, heads.Malformed):
            refusal = refusals.Refusal(refusals.BAD_REQUEST, head.reason)
            self.refuse(caller, refusal, arrived)
            return
        self._wait_until_routable(head)
        admitted = self._admit(head, arrived)
        if isinstance(admitted, refusals.Refusal):
            self.refuse(caller, admitted, arrived)
            return
        forwards.Forward(self, caller, admitted, request.body, arrived).run()

    def _wait_until_routable(self, head: heads.Head) -> None:
        """Delay a request at start-up until enough is known to route it."""
        now = clocks.read()
        until = now + startup.find_wait(now - self.started_at, head.deadline)
        while not self.view.can_place(head.host, head.path):
            left = until - clocks.read()
            if left <= 0:
                return
            eventlet.sleep(min(left, startup.POLL_SECONDS))

    def _admit(
        self, head: heads.Head, now: float
    ) -> forwards.Admitted | refusals.Refusal:
        """Return the request with its route and workspace, or why it is refused."""
        identity = head.request_id
        known = self.view.directory
        if known is None:
            reason = "no configuration is known yet"
            return refusals.Refusal(refusals.UNAVAILABLE, reason, identity)
        route = known.find_route(head.host, head.path)
        if isinstance(route, routing.Unroutable):
            return refusals.Refusal(refusals.NOT_FOUND, "no route", identity)
        workspace = known.find_workspace(route, head.key)
        if isinstance(workspace, routing.Unknown):
            reason = "unknown key"
            status = refusals.UNAUTHORIZED
            return refusals.Refusal(status, reason, identity, route.name)
        if self.is_too_late(route, now):
            reason = refusals.STOPPING
            status = refusals.UNAVAILABLE
            return refusals.Refusal(status, reason, identity, route.name)
        priority = urgency.find_rank(route, workspace)
        return forwards.Admitted(head, route, workspace, priority)

    def is_too_late(self, route: model.Route, now: float) -> bool:
        """Return whether a shutdown would abort the request.

        Until the load balancer has noticed the shutdown, all requests are accepted,
        since they have the grace period left. Afterwards only those are that certainly
        end within it.
        """
        if self.stop_at is None or now < self.refuse_at:
            return False
        return route.streams or now + route.whole_seconds > self.stop_at

    def find_retry_bound(self) -> budgets.Bound:
        """Return the retry budget's bound, which holds for all gateways together."""
        given = self.settings.retries
        return budgets.Bound(given.ratio, given.slack, given.window_seconds)

    def refuse(
        self,
        caller: callers.Caller,
        refusal: refusals.Refusal,
        arrived: float,
        retry_after: float | None = None,
    ) -> None:
        """Refuse, log and count a request; raises ``CallerLeft``.

        ``retry_after`` is after how many seconds the caller should retry, if known.
        """
        if retry_after is None:
            retry_after = refusals.get_retry_after(refusal.status, refusal.reason)
        self.record_refusal(refusal, retry_after, arrived)
        headers = refusals.list_error_headers(retry_after)
        caller.answer(refusal.status, headers, refusals.encode_error(refusal.reason))

    def record_refusal(
        self, refusal: refusals.Refusal, retry_after: float | None, arrived: float
    ) -> None:
        """Log and count a refused request."""
        self.metrics.record_refused(refusal.route, refusal.reason)
        self.view.log.write(
            events.forwarding.REFUSED,
            request=refusal.request_id,
            route=refusal.route,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=retry_after,
            declaration=self.view.version,
            seconds=round(clocks.read() - arrived, 4),
        )
