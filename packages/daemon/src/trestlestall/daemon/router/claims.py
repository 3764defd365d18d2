"""Client of the at-most-once claims: a key is claimed before a request is sent.

A claim is repeated until the control leader answers it. Without an answer the request
is refused as not run: it was never sent and never will be. That is after
``ANSWER_TIMEOUT_SECONDS`` if this router is cut off from most control processes.
Otherwise it is after ``LEADER_CHANGE_SECONDS``, so that requests outlast a change of
the leader, but at most a part of the target of the request's class. Reports to control
(that a claimed request finished, or was never sent) are repeated until control
acknowledges them.

The response goes to the caller without waiting for control. A caller that retries in
the few milliseconds before the response is recorded gets ``request_in_progress``, never
a second run; waiting would delay every response by a quorum round.
"""

import dataclasses
import hashlib
import typing
from collections import abc

import eventlet

from trestlestall.claims import documents, events as claim_events, outcomes
from trestlestall.configuration import exceptions, kinds
from trestlestall.daemon import call_tokens, events, metrics as daemon_metrics
from trestlestall.daemon.http import errors
from trestlestall.daemon.router import attempts, exchanges, journal
from trestlestall.wire import messages

ANSWER_TIMEOUT_SECONDS = 0.5
#: The longest election timeout of the control processes, and half of it for the votes
#: and for routers to find the new leader. A request holds its slot meanwhile.
LEADER_CHANGE_SECONDS = 3.0
#: Part of the class's target for which a claim may wait, so that the rest is left for
#: the answer, or for a retry elsewhere.
TARGET_SHARE = 0.25
#: Interval between copies of a claim, doubled with each copy up to the maximum.
CLAIM_RETRY_SECONDS = 0.1
MAX_CLAIM_RETRY_SECONDS = 0.4
REPORT_RETRY_SECONDS = 1.0
# Unacknowledged reports; beyond this the oldest is dropped.
REPORT_LIMIT = 10_000
CALL_LIMIT = 20_000

Send: typing.TypeAlias = abc.Callable[[object], bool]
OnAnswer: typing.TypeAlias = abc.Callable[[exchanges.Exchange, bool], None]


@dataclasses.dataclass(frozen=True)
class Call:
    """A call without an answer yet; ``reports`` is false for a claim."""

    request: str
    reports: bool


@dataclasses.dataclass
class PendingClaim:
    """A claim without an answer yet, when it was first sent, and how often."""

    exchange: exchanges.Exchange
    first_sent_at: float
    sent_count: int = 0


@dataclasses.dataclass
class Report:
    """A finish or release that control has not acknowledged yet.

    ``exchange`` is the request whose response is to be recorded; None for a release.
    """

    event: claim_events.Event
    sent_at: float
    first_sent_at: float
    exchange: exchanges.Exchange | None = None


class ClaimClient:
    """Claims keys, and reports the ends of claimed requests until acknowledged.

    ``send`` passes a message to the control leader, as far as it is known, and returns
    false when there is no link. ``running`` is a clock without the time for which this
    process was held up, which is not counted as control's silence. ``answered`` is
    called once for each claim, and says whether it was granted. ``is_cut_off`` returns
    whether most control processes are unreachable. ``on_timeout`` is called when the
    presumed leader has not answered within ``ANSWER_TIMEOUT_SECONDS``.
    """

    def __init__(
        self,
        router: str,
        send: Send,
        running: abc.Callable[[], float],
        log: journal.Journal,
        metrics: daemon_metrics.Metrics,
    ):
        self._router = router
        self._send = send
        self._running = running
        self._journal = log
        self._metrics = metrics
        self._token = call_tokens.draw_first()
        self._pending_claims: dict[str, PendingClaim] = {}
        self._calls: dict[int, Call] = {}
        self._reports: dict[str, Report] = {}
        self.answered: OnAnswer = lambda exchange, granted: None
        self.is_cut_off: abc.Callable[[], bool] = lambda: False
        self.on_timeout: abc.Callable[[], None] = lambda: None

    def claim(self, exchange: exchanges.Exchange) -> None:
        """Claim the exchange's key; ``answered`` is called once in any case."""
        pending = PendingClaim(exchange, self._running())
        self._pending_claims[exchange.request] = pending
        self.send_claim(exchange.request)

    def send_claim(self, request: str) -> None:
        """Send the claim, repeatedly: a message may be lost, and the leader may change.

        From ``ANSWER_TIMEOUT_SECONDS`` on, each copy goes to all control processes.
        """
        pending = self._pending_claims.get(request)
        if pending is None:
            return
        waited = self._running() - pending.first_sent_at
        if waited >= ANSWER_TIMEOUT_SECONDS:
            # The presumed leader may be partitioned from the other voters.
            self.on_timeout()
            if self.is_cut_off() or waited >= find_claim_timeout(pending.exchange):
                self.time_out(request)
                return
        delay = min(
            MAX_CLAIM_RETRY_SECONDS, CLAIM_RETRY_SECONDS * 2**pending.sent_count
        )
        self._send_claim_call(request)
        eventlet.spawn_after(delay, self.send_claim, request)

    def finish(self, exchange: exchanges.Exchange, answer: attempts.Response) -> None:
        """Report the complete response of a claimed request, to be recorded."""
        body = answer.body or b""
        event = claim_events.Finish(
            exchange.request, answer.status, answer.content_type, body
        )
        self._report(exchange.request, event, exchange)

    def release(self, request: str) -> None:
        """Release a claim: this router never sent the request and never will."""
        self._report(request, claim_events.Release(request))

    def handle_answer(self, token: int, kind: str, fields: dict) -> None:
        """Handle control's answer to a claim, a finish or a release."""
        call = self._calls.pop(token, None)
        if call is None:
            return
        try:
            outcome = documents.decode_outcome({kinds.KIND: kind, **fields})
        except exceptions.InvalidDocument:
            return
        if call.reports:
            self._handle_report_answer(call.request, outcome)
        else:
            self._handle_claim_answer(call.request, outcome)

    def redirect(self, token: int) -> None:
        """Repeat a call to the leader that another control process named."""
        call = self._calls.pop(token, None)
        request = call.request if call is not None else ""
        if request in self._pending_claims:
            self._send_claim_call(request)
        elif request in self._reports:
            self._send_call(request, self._reports[request].event, reports=True)

    def retry_reports(self) -> None:
        """Send again the reports that control has not acknowledged."""
        now = self._running()
        for request, report in list(self._reports.items()):
            if now - report.sent_at >= REPORT_RETRY_SECONDS:
                report.sent_at = now
                self._send_call(request, report.event, reports=True)

    def is_claim_pending(self, request: str) -> bool:
        """Whether the request's own claim has no answer yet."""
        return request in self._pending_claims

    def list_unrecorded(self) -> list[exchanges.Exchange]:
        """Return the requests whose response control has not recorded yet."""
        reports = self._reports.values()
        return [one.exchange for one in reports if one.exchange is not None]

    @property
    def is_idle(self) -> bool:
        """Whether control has acknowledged everything."""
        return not self._reports and not self._pending_claims

    def _make_claim(self, exchange: exchanges.Exchange) -> claim_events.Claim:
        return claim_events.Claim(
            workspace=exchange.workspace.name,
            key=exchange.claim_key,
            fingerprint=compute_fingerprint(exchange),
            attempt=exchange.request,
            router=self._router,
        )

    def _send_claim_call(self, request: str) -> None:
        pending = self._pending_claims[request]
        pending.sent_count += 1
        self._send_call(request, self._make_claim(pending.exchange))

    def _send_call(
        self, request: str, event: claim_events.Event, reports: bool = False
    ) -> None:
        self._token += 1
        self._calls[self._token] = Call(request, reports)
        if len(self._calls) > CALL_LIMIT:
            del self._calls[next(iter(self._calls))]
        document = documents.encode_event(event)
        kind = document.pop(kinds.KIND)
        self._send(messages.ClaimCall(self._token, kind, document))

    def _report(
        self,
        request: str,
        event: claim_events.Event,
        exchange: exchanges.Exchange | None = None,
    ) -> None:
        now = self._running()
        self._reports[request] = Report(event, now, now, exchange)
        if len(self._reports) > REPORT_LIMIT:
            del self._reports[next(iter(self._reports))]
        self._send_call(request, event, reports=True)

    def _handle_report_answer(self, request: str, outcome: outcomes.Outcome) -> None:
        report = self._reports.pop(request, None)
        if report is not None:
            self._log_finished(report, outcome)

    def _handle_claim_answer(self, request: str, outcome: outcomes.Outcome) -> None:
        """Handle the first answer to a claim.

        A later answer, to another copy of the claim, does not acknowledge a release
        that is under way: the key may be free for a third copy by then.
        """
        pending = self._pending_claims.pop(request, None)
        if pending is None:
            return
        is_granted = isinstance(outcome, outcomes.Granted)
        if not is_granted and pending.sent_count > 1:
            # A copy of the claim may still be granted once the present holder's ends.
            self.release(request)
        self._handle_outcome(pending.exchange, outcome)

    def _log_finished(self, report: Report, outcome: outcomes.Outcome) -> None:
        if report.exchange is None:
            return
        self._journal.write(
            events.routing.CLAIM_FINISHED,
            request=report.exchange.request,
            workspace=report.exchange.workspace.name,
            key=report.exchange.claim_key,
            status=report.event.status,
            outcome=type(outcome).__name__.lower(),
            seconds=round(self._running() - report.first_sent_at, 4),
        )

    def time_out(self, request: str) -> None:
        """Refuse a request whose claim got no answer; set its verdict."""
        pending = self._pending_claims.pop(request, None)
        if pending is None:
            return
        exchange = pending.exchange
        self.release(request)
        self._metrics.claims.labels("unanswered").inc()
        self._journal.write(
            events.routing.CLAIM_UNKNOWN,
            request=request,
            workspace=exchange.workspace.name,
            key=exchange.claim_key,
            reason="no answer from control in time",
            waited_seconds=round(self._running() - pending.first_sent_at, 4),
            sent=pending.sent_count,
            cut_off=self.is_cut_off(),
        )
        message = "Control could not confirm the key; the request did not run."
        self._refuse(exchange, "claim_unavailable", message, errors.Run.NOT_RUN)
        self.answered(exchange, False)

    def _handle_outcome(
        self, exchange: exchanges.Exchange, outcome: outcomes.Outcome
    ) -> None:
        if isinstance(outcome, outcomes.Granted):
            self._metrics.claims.labels("granted").inc()
            self._grant(exchange)
            return
        self.apply_outcome(exchange, outcome)
        self.answered(exchange, False)

    def apply_outcome(
        self, exchange: exchanges.Exchange, outcome: outcomes.Outcome
    ) -> None:
        """Set the exchange's verdict from the recorded outcome of its key."""
        self._metrics.claims.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, outcomes.Finished) and outcome.body is not None:
            self._replay(exchange, outcome)
        else:
            code, message, run = REFUSALS.get(type(outcome), NOT_GRANTED)
            self._refuse(exchange, code, message, run)

    def _grant(self, exchange: exchanges.Exchange) -> None:
        if exchange.is_over:
            self.release(exchange.request)  # the caller has disconnected meanwhile
            return
        exchange.claimed = True
        self._journal.write(
            events.routing.CLAIM_GRANTED,
            request=exchange.request,
            workspace=exchange.workspace.name,
            key=exchange.claim_key,
            attempt=exchange.request,
        )
        self.answered(exchange, True)

    def _replay(self, exchange: exchanges.Exchange, outcome: outcomes.Finished) -> None:
        response = attempts.Response(outcome.status, outcome.content_type, outcome.body)
        exchange.verdict = exchanges.CompleteResponse(response, replayed=True)
        self._journal.write(
            events.routing.REPLAYED,
            request=exchange.request,
            workspace=exchange.workspace.name,
            key=exchange.claim_key,
            status=outcome.status,
        )

    def _refuse(
        self, exchange: exchanges.Exchange, code: str, message: str, run: errors.Run
    ) -> None:
        failure = errors.Failure(code, message, run, exchange.request)
        exchange.verdict = exchanges.Failed(failure)
        self._journal.write(
            events.routing.CLAIM_REFUSED,
            request=exchange.request,
            workspace=exchange.workspace.name,
            key=exchange.claim_key,
            reason=code,
        )


NOT_GRANTED = (
    "claim_unavailable",
    "Control did not grant the key; the request did not run.",
    errors.Run.NOT_RUN,
)
REFUSALS = {
    outcomes.Held: (
        "request_in_progress",
        "A request with this key was sent before; its outcome is not known.",
        errors.Run.UNKNOWN,
    ),
    outcomes.Finished: (
        "answer_too_old",
        "The request with this key has run; its answer is no longer kept.",
        errors.Run.RAN,
    ),
    outcomes.Mismatch: (
        "key_reused",
        "This key was used for another request.",
        errors.Run.NOT_RUN,
    ),
}


def find_claim_timeout(exchange: exchanges.Exchange) -> float:
    """Return for how many seconds the request may wait for its claim."""
    if exchange.request_class is None:
        return LEADER_CHANGE_SECONDS
    return min(LEADER_CHANGE_SECONDS, TARGET_SHARE * exchange.request_class.target)


def compute_fingerprint(exchange: exchanges.Exchange) -> str:
    """Return the digest that tells a retry of a request from a different request."""
    call = exchange.call
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()
