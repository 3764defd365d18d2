"""One forwarded request, from its arrival to the final response."""

import contextlib
import dataclasses
import functools
from collections import abc

from trestlestall.daemon import placement_protocol
from trestlestall.daemon.gateway import (
    answer_buffers,
    attempts,
    cached_view,
    callers,
    connections,
    failover,
    final_answers,
    heads,
    identity_proofs,
    outcomes,
    progress,
    records,
    relays,
    request_headers,
    retry_rules,
    selection,
    signal_tracker,
    takeups,
    upstream_evidence,
)
from trestlestall.forwarding import (
    descriptors,
    model,
    origins,
    part_evidence,
    placement,
    routing,
    upstreams,
)
from trestlestall.wire import clocks

#: Deadline of a request that states none.
DEFAULT_DEADLINE_SECONDS = 60.0
#: Reasons for which attempts are aborted, and outcomes, in log lines.
CALLER_LEFT = "caller_left"
PATH_LOST = "path_lost"
OK = 200


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that the configuration allows.

    ``workspace`` may be None on a public route. ``priority`` is 0 for the most urgent
    requests (``urgency``).
    """

    head: heads.Head
    route: model.Route
    workspace: model.Workspace | None
    priority: int


class Forward:
    """A request in flight; it has at most one attempt at a time."""

    def __init__(
        self,
        handler: progress.Handler,
        caller: callers.Caller,
        admitted: Admitted,
        body: bytes,
        arrived: float,
    ) -> None:
        self.handler = handler
        self.caller = caller
        self.head = admitted.head
        self.body = body
        self.route = admitted.route
        self.workspace = admitted.workspace
        self.arrived = arrived
        self.caller_name = self.workspace.name if self.workspace is not None else ""
        self.digest = heads.compute_digest(self.head, self.caller_name, body)
        given = admitted.head.deadline
        named = DEFAULT_DEADLINE_SECONDS if given is None else given
        self.deadline = arrived + min(named, self.route.whole_seconds)
        self.descriptor = self._describe(admitted.priority)
        self.keys = part_evidence.list_keys(self.descriptor)
        self._attempt: attempts.Attempt | None = None
        self.tried: list[str] = []
        self.excluded: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.counted = False
        self.sent_at = arrived
        self.relay = relays.Relay(caller, arrived, self._on_first)
        self.return_seconds: float | None = None
        self.fallback_answer: tuple[outcomes.AnswerHead, bytes] | None = None
        self.origin: origins.Origin | None = None
        self.placed: placement.Placed | None = None
        self.proof_until: float | None = None
        self.successor: placement.Placed | None = None
        self.was_silent = False
        self.has_lost_path = False
        self.port: int | None = None
        self.requests_on_connection = 0
        self.buffer: answer_buffers.Buffer | None = None

    @property
    def view(self) -> cached_view.CachedView:
        """The gateway's cached view."""
        return self.handler.view

    def run(self) -> None:
        """Process the request up to its final response; raises ``CallerLeft``."""
        now = clocks.read()
        self.view.retry_ledger.record_request(self.descriptor.service, now)
        try:
            with (
                self.caller.watch(self._on_caller_left),
                self.handler.buffers.open() as self.buffer,
            ):
                refused = takeups.resolve(self)
                if refused is not None:
                    final_answers.end_unplaced(self, refused, None)
                else:
                    self._run_attempts()
        except callers.CallerLeft:
            records.write_completed(self, 0, CALLER_LEFT, "")
            raise
        finally:
            failover.withdraw_successor(self)
            # References in a circle keep this request until garbage is collected.
            self.body = b""
            self.fallback_answer = None

    def _run_attempts(self) -> None:
        purpose = placement_protocol.FIRST_SEND
        outcome: outcomes.Outcome | None = None
        while True:
            placed = self._place(purpose)
            if isinstance(placed, placement.Refused):
                final_answers.end_unplaced(self, placed, outcome)
                return
            outcome = self._run_attempt(placed)
            if outcome is None:
                return
            if not self._may_try_another(placed.row, outcome):
                final_answers.end_after_attempt(self, outcome)
                return
            was_not_sent = isinstance(outcome, outcomes.NotSent)
            purpose = (
                placement_protocol.REROUTED
                if was_not_sent
                else placement_protocol.RETRY
            )

    # Attempts.

    def _place(self, purpose: str) -> placement.Placed | placement.Refused:
        found = self.successor or selection.select(self, purpose)
        self.successor = None
        if isinstance(found, placement.Refused):
            return found
        if self.caller.left:
            self.handler.placing.withdraw(self.descriptor)
            raise callers.CallerLeft()
        self.placed = found
        self.tried.append(found.row.identity)
        self.excluded.add(found.row.identity)
        self.handler.signals.record_placed(found)
        records.write_sent(self, found)
        return found

    def _run_attempt(self, placed: placement.Placed) -> outcomes.Outcome | None:
        """Return the attempt's outcome, or None once the caller has its response."""
        self.was_silent = self.has_lost_path = False
        head = None
        outcome: outcomes.Outcome | None = None
        try:
            with self._open_attempt(placed) as attempt:
                outcome = self._exchange(attempt, placed)
                if isinstance(outcome, outcomes.AnswerHead):
                    head = outcome
                    outcome = self._relay_answer(attempt, head)
        except attempts.BrokenExchange as error:
            if isinstance(error, attempts.OversizedAnswer):
                self.handler.metrics.oversized.inc()
            outcome = outcomes.Broken(str(error), error.path_lost)
        finally:
            # A failure counts against the upstream also if the caller received it.
            failed = upstream_evidence.evaluate(self, outcome or head)
            if self.successor is None:
                pause = self.relay.reportable_pause
                self.handler.placing.end(
                    self.descriptor, placed.row.identity, failed, pause
                )
        if self.caller.left:
            upstream_evidence.record_left(self, placed.row, attempt.is_closed, failed)
            raise callers.CallerLeft()
        upstream_evidence.record_outcome(self, placed.row, outcome, attempt.is_closed)
        return outcome

    @contextlib.contextmanager
    def _open_attempt(self, placed: placement.Placed) -> abc.Iterator[attempts.Attempt]:
        """Yield the request's attempt, which a caller who leaves aborts."""
        prober = self.handler.prober
        tracked = prober.exchanges.track(
            placed.row.identity,
            placed.predicted,
            functools.partial(retry_rules.may_move, self),
            functools.partial(self._release, placed.row),
        )
        with (
            tracked as exchange,
            attempts.open_attempt(
                self.handler.pool,
                prober.acquire,
                placed.row,
                exchange,
                self.handler.dialect.headers,
                attempts.Callbacks(
                    find_extension=lambda: self._find_extension(attempt, placed.row),
                    may_send=self._may_send,
                    on_skipped=lambda status, echo: records.write_skipped(
                        self, attempt, status, echo
                    ),
                ),
            ) as attempt,
        ):
            self._attempt = attempt
            exchange.leave = functools.partial(self._abort, attempt, PATH_LOST)
            try:
                yield attempt
            finally:
                self._attempt = None

    def _exchange(
        self, attempt: attempts.Attempt, placed: placement.Placed
    ) -> outcomes.Outcome:
        self.sent_at = clocks.read()
        not_sent = attempt.connect(self.head, self.deadline - self.sent_at)
        if not_sent is not None:
            return not_sent
        self.port = attempt.port
        self.sends += 1
        self.sent_at = clocks.read()
        left = self.deadline - self.sent_at
        headers = request_headers.list_sent(self, placed, left)
        failed = attempt.send(self.head, headers, self.body, left)
        self.requests_on_connection = attempt.requests
        if attempt.peer:
            self.handler.metrics.relayed.inc()
            records.write_sent_by_peer(self, placed.row, attempt.peer)
        # From here on it may have run, even if only a part of it was written.
        self.runs += 1
        if failed is not None:
            return failed
        answer = attempt.read_head(retry_rules.find_head_deadline(self))
        request = signal_tracker.Request(self.descriptor.request_id, self.sent_at)
        self.handler.signals.handle(placed.row, answer, request)
        if isinstance(answer, outcomes.NotRun):
            self.runs -= 1
            self.return_seconds = answer.signal.rest_seconds or None
            attempt.discard_body(self.deadline)
        return answer

    def _relay_answer(
        self, attempt: attempts.Attempt, head: outcomes.AnswerHead
    ) -> outcomes.Outcome | None:
        """Forward the response; return None once the caller has all of it."""
        if head.status == OK and (head.streams or self.route.streams):
            find_deadline = functools.partial(retry_rules.find_event_deadline, self)
            self.relay.relay_events(attempt, head, find_deadline)
            self.handler.crash_detector.record_answered(self.digest)
            records.write_completed(self, head.status, "answered", "")
            return None
        if self.relay.began:
            return outcomes.Broken(f"status {head.status} for the rest of a stream")
        body = attempt.read_body(head, self.deadline, self.buffer)
        self.relay.record_first()
        if head.status >= outcomes.SERVER_ERRORS and retry_rules.may_retry(self):
            self.fallback_answer = head, body
            self.buffer.keep()
            return head
        if head.status < outcomes.SERVER_ERRORS:
            self.handler.crash_detector.record_answered(self.digest)
        final_answers.send_answer(self, head, body)
        return None

    def _may_send(self, connection: connections.Connection) -> bool:
        """Return whether an upstream is the one that was chosen, as far as it matters.

        A stream that goes on must not meet another version at the same address.
        """
        if self.origin is None:
            return True
        if self.proof_until is None:
            self.proof_until = clocks.read() + identity_proofs.PATIENCE_SECONDS
        return self.handler.identities.prove(
            self.descriptor.request_id,
            self.placed.row,
            self.origin,
            connection,
            min(self.proof_until, self.deadline - selection.MIN_LEFT_SECONDS),
            lambda: not self.caller.left,
        )

    def _on_first(self) -> None:
        if self.relay.events:
            row = self.placed.row
            self.origin = self.origin or origins.Origin(row.service, row.version)
            takeups.record_first(self)
        self.handler.placing.record_first(self.descriptor, self._count_start())

    def _count_start(self) -> tuple:
        """Count the request for usage once, however often it is sent.

        Returns the row of the new count; empty if nothing was counted.
        """
        if self.counted or self.workspace is None:
            return ()
        self.counted = True
        return self.handler.usage.record_start(self.workspace.name)

    # After an attempt.

    def _may_try_another(self, row: upstreams.Row, outcome: outcomes.Outcome) -> bool:
        """Return whether to try another upstream after this outcome."""
        allowed = retry_rules.may_follow(self, outcome)
        records.write_attempt_ended(self, row, outcome, allowed)
        return allowed

    def _release(self, row: upstreams.Row) -> None:
        """Stop counting the request at an upstream to which its path was lost.

        It waits on, as it may run only once, but the upstream is not slow for it.
        """
        if not self.has_lost_path:
            self.has_lost_path = True
            self.handler.placing.end(self.descriptor, row.identity, None)

    def _on_caller_left(self) -> None:
        if self._attempt is not None:
            self._abort(self._attempt, CALLER_LEFT)

    def _abort(self, attempt: attempts.Attempt, reason: str) -> None:
        records.write_aborted(self, attempt, reason)
        attempt.abort()

    # Descriptor, headers and deadlines.

    def _describe(self, priority: int) -> descriptors.Descriptor:
        service = routing.choose_service(self.route, self.handler.draw())
        data_centre = self.handler.settings.data_centre
        return heads.build_descriptor(
            self.head, self.route, service, priority, data_centre, self.digest
        )

    def _find_extension(
        self, attempt: attempts.Attempt, row: upstreams.Row
    ) -> float | None:
        """Return until when to wait on for a silent upstream; None to leave it."""
        if retry_rules.may_switch_upstream(self):
            return failover.find_extension(self, row, attempt.has_arrived)
        return self.deadline if clocks.read() < self.deadline else None
