"""Log lines and metrics of callers' requests."""

import traceback

from trestlestall.daemon import environment, events, metrics as daemon_metrics
from trestlestall.daemon.http import application, errors, requests
from trestlestall.daemon.router import demand, exchanges, journal

# The class label of refusals that happen before the request class is resolved.
NO_CLASS = ""


class Reports:
    """Writes the first and last log line of each request, and counts it."""

    def __init__(
        self,
        metrics: daemon_metrics.Metrics,
        log: journal.Journal,
        clock: environment.Clock,
    ):
        self._metrics = metrics
        self._journal = log
        self._clock = clock
        self.demand = demand.DemandTracker(clock)

    def record_arrival(self, exchange: exchanges.Exchange) -> None:
        """Record a request that has passed its checks."""
        call = exchange.call
        self.demand.record_arrival(exchange)
        self._journal.write(
            events.routing.ARRIVED,
            request=exchange.request,
            workspace=exchange.workspace.name,
            target=call.target,
            tier=exchange.request_class.tier,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            stream=call.streamed,
            key=exchange.claim_key,
            request_class=exchange.request_class.name,
        )

    def record_end(self, exchange: exchanges.Exchange) -> None:
        """Record how a request ended for its caller."""
        message = exchange.last_message
        name = exchange.request_class.name
        if isinstance(message, exchanges.Failed):
            self._metrics.requests.labels(name, message.failure.code).inc()
        elif isinstance(message, exchanges.CompleteResponse) and message.replayed:
            self._metrics.requests.labels(name, "replayed").inc()
        elif isinstance(message, exchanges.CompleteResponse | exchanges.StreamEnded):
            self._record_answer(exchange, message)
        else:
            self._record_hang_up(exchange)

    def make_error_reporter(self, door: str) -> application.ReportError:
        """Return the function that logs the errors of a listener's handlers."""

        def report(request: requests.Request, error: Exception) -> None:
            self._journal.write(
                events.routing.REJECTED,
                door=door,
                code="internal_error",
                message="".join(traceback.format_exception(error)[-2:]),
            )

        return report

    def record_rejection(
        self, door: str, request: requests.Request, failure: errors.Failure
    ) -> None:
        """Record a request that was refused before it had an exchange."""
        self._metrics.refusals.labels(NO_CLASS, failure.code).inc()
        self._journal.write(
            events.routing.REJECTED,
            door=door,
            peer=request.environ.get("REMOTE_ADDR", ""),
            code=failure.code,
            message=failure.message,
        )

    def _record_answer(
        self, exchange: exchanges.Exchange, message: exchanges.Message
    ) -> None:
        request_class = exchange.request_class
        seconds = self._clock.monotonic() - exchange.arrived_at
        first = compute_first_token_seconds(exchange, seconds)
        on_time = seconds <= request_class.target and (
            request_class.first_token_target is None
            or first <= request_class.first_token_target
        )
        self.demand.record_answer(exchange, on_time)
        self._metrics.requests.labels(request_class.name, "answered").inc()
        self._metrics.targets.labels(
            request_class.name, "yes" if on_time else "no"
        ).inc()
        self._metrics.first_token.labels(request_class.name).observe(first)
        self._metrics.duration.labels(request_class.name).observe(seconds)
        if on_time:
            self._metrics.goodput_tokens.labels(request_class.name).inc(exchange.tokens)
        status = 200
        if isinstance(message, exchanges.CompleteResponse):
            status = message.response.status
        self._journal.write(
            events.routing.FINISHED,
            request=exchange.request,
            workspace=exchange.workspace.name,
            attempt=exchange.chosen,
            upstream=exchange.upstream,
            status=status,
            tokens=exchange.tokens,
            seconds=round(seconds, 4),
            first_token_seconds=round(first, 4),
            on_time=on_time,
            request_class=request_class.name,
        )

    def _record_hang_up(self, exchange: exchanges.Exchange) -> None:
        name = exchange.request_class.name
        self._metrics.requests.labels(name, "hung_up").inc()
        self._journal.write(
            events.routing.CALLER_LEFT,
            request=exchange.request,
            workspace=exchange.workspace.name,
            tokens=exchange.tokens,
            seconds=round(self._clock.monotonic() - exchange.arrived_at, 4),
            request_class=name,
        )


def compute_first_token_seconds(exchange: exchanges.Exchange, seconds: float) -> float:
    """Return the time to the first token in seconds.

    For a response that was not streamed this is the time to the complete response.
    """
    if exchange.first_token_at is None:
        return seconds
    return exchange.first_token_at - exchange.arrived_at
