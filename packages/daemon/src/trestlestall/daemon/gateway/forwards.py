"""One forwarded request, from its arrival to the caller's final answer."""

import random
import time
from collections import abc

import msgspec

from trestlestall.daemon import dialects, events, settings as process_settings
from trestlestall.daemon.gateway import (
    attempts,
    callers,
    connections,
    events_stream,
    heads,
    knowledge as knowledges,
    placing,
    reaching,
)
from trestlestall.forwarding import (
    budgets,
    descriptors,
    directory,
    model,
    placement,
    upstreams,
)

JSON = (b"Content-Type", b"application/json")
#: Seconds that a caller without a deadline of its own is given.
UNNAMED_DEADLINE = 60.0
STOPPING = "the gateway stops"
#: Seconds until the next attempt where that will meet another gateway.
RETURNS = {STOPPING: 0.05}
#: Sends of one request in all, also when upstreams say that they did not run it.
SENDS_LIMIT = 4
#: Seconds that must be left for another send to be worth it.
LEAST_SECONDS = 0.05
#: Seconds until the next attempt of a caller when the gateway knows too little yet:
#: about what a whole deployment takes from its start to the first answer.
UNKNOWING_RETURN = 1.0
#: Times the target for the first event that an upstream may be silent before a request
#: that may be repeated goes elsewhere.
SILENCE_TARGETS = 3.0
#: Pauses (see ``Route.pause_seconds``) after which a resumable stream is taken
#: elsewhere; below the four at which callers themselves begin to give up.
SILENCE_PAUSES = 6.0
BAD_REQUEST, UNAUTHORIZED, NOT_FOUND = 400, 401, 404
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
SERVER_ERRORS = 500
#: Gateways that share the retry budget, until a directory tells how many there are:
#: more than most deployments have, so that too little is spent rather than too much.
GATEWAYS_ASSUMED = 32
OK = 200

Outcome = attempts.NotSent | attempts.NotRun | attempts.Broken | attempts.AnswerHead


class Service:
    """What all requests of a gateway share."""

    def __init__(
        self,
        settings: process_settings.GatewaySettings,
        dialect: dialects.Dialect,
        knowledge: knowledges.Knowledge,
        metrics: "object",
        draw: abc.Callable[[], float] = random.random,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.knowledge = knowledge
        self.metrics = metrics
        self.draw = draw
        self.pool = connections.Pool()
        self.reaching = reaching.Reaching(knowledge)
        self.placing = placing.Placing(knowledge, self.reaching)
        self.gateways = GATEWAYS_ASSUMED
        self.refuse_at = 0.0
        self.stop_at: float | None = None

    def handle(self, request: callers.Request, caller: callers.Caller) -> None:
        """Answer one request; raises ``CallerLeft``."""
        arrived = time.monotonic()
        names = self.dialect.headers
        head = heads.read_head(request.method, request.target, request.headers, names)
        if isinstance(head, heads.Malformed):
            self._refuse(caller, "", "", BAD_REQUEST, head.reason, arrived)
            return
        known = self.knowledge.directory
        if known is None:
            reason = "no configuration is known yet"
            self._refuse(caller, head.request_id, "", UNAVAILABLE, reason, arrived)
            return
        route = known.find_route(head.host, head.path)
        if isinstance(route, directory.Unroutable):
            reason = "no route"
            self._refuse(caller, head.request_id, "", NOT_FOUND, reason, arrived)
            return
        workspace = known.find_workspace(route, head.key)
        if isinstance(workspace, directory.Unknown):
            reason = "unknown key"
            name = route.name
            self._refuse(caller, head.request_id, name, UNAUTHORIZED, reason, arrived)
            return
        if self.is_too_late(route, arrived):
            self._refuse(
                caller, head.request_id, route.name, UNAVAILABLE, STOPPING, arrived
            )
            return
        Forward(self, caller, head, request.body, route, workspace, arrived).run()

    def is_too_late(self, route: model.Route, now: float) -> bool:
        """Return whether a stop would cut the request off.

        Until the balancer has noticed the stop, all requests are taken; they have the
        grace time. Of later ones only those that surely end before it does.
        """
        if self.stop_at is None or now < self.refuse_at:
            return False
        return route.streams or now + route.whole_seconds > self.stop_at

    def find_retry_bound(self) -> budgets.Bound:
        """Return the bound of repeated sends, shared among the gateways."""
        given = self.settings.retries
        return budgets.Bound(
            given.ratio, given.slack, given.window_seconds, self.gateways
        )

    def _refuse(
        self,
        caller: callers.Caller,
        request_id: str,
        route: str,
        status: int,
        reason: str,
        arrived: float,
    ) -> None:
        """Answer a request that was not given to any upstream."""
        after = RETURNS.get(reason, UNKNOWING_RETURN)
        if status != UNAVAILABLE:
            after = None
        self.note_refused(request_id, route, status, reason, after, arrived)
        caller.answer(status, list_error_headers(after), encode_error(reason))

    def note_refused(
        self,
        request_id: str,
        route: str,
        status: int,
        reason: str,
        after: float | None,
        arrived: float,
    ) -> None:
        """Log and count a request that ends here."""
        self.metrics.note_refused(route, reason)
        self.knowledge.log.write(
            events.forwarding.REFUSED,
            request=request_id,
            route=route,
            status=status,
            reason=reason,
            retry_after=after,
            declaration=self.knowledge.version,
            seconds=round(time.monotonic() - arrived, 4),
        )


class Forward:
    """A request on its way; one attempt is under way at a time."""

    def __init__(
        self,
        service: Service,
        caller: callers.Caller,
        head: heads.Head,
        body: bytes,
        route: model.Route,
        workspace: model.Workspace | None,
        arrived: float,
    ) -> None:
        self.service = service
        self.caller = caller
        self.head = head
        self.body = body
        self.route = route
        self.workspace = workspace
        self.arrived = arrived
        patience = UNNAMED_DEADLINE if head.deadline is None else head.deadline
        self.deadline = arrived + min(patience, route.whole_seconds)
        self.descriptor = self._describe()
        self.attempt: attempts.Attempt | None = None
        self.tried: list[str] = []
        self.runs = 0
        self.sends = 0
        self.sent_at = arrived
        self.last_event: int | None = None
        self.events = 0
        self.began = False
        self.first_seconds: float | None = None
        self.longest_pause = 0.0
        self.return_seconds: float | None = None
        self.kept_answer: tuple[attempts.AnswerHead, bytes] | None = None

    @property
    def knowledge(self) -> knowledges.Knowledge:
        """What the gateway believes."""
        return self.service.knowledge

    def run(self) -> None:
        """Serve the request to its final answer; raises ``CallerLeft``."""
        now = time.monotonic()
        self.knowledge.find_budget(self.descriptor.service).note_request(now)
        try:
            with self.caller.watch(self._note_left):
                self._run_attempts()
        except callers.CallerLeft:
            self._note_ended(0, "caller_left", "")
            raise

    def _run_attempts(self) -> None:
        while True:
            placed = self._place()
            if isinstance(placed, placement.Refused):
                self._give_up(placed.reason, placed.return_seconds)
                return
            outcome = self._run_attempt(placed)
            if outcome is None:
                return
            if not self._may_go_on(placed.row, outcome):
                self._give_up_after(outcome)
                return

    # One attempt.

    def _place(self) -> placement.Placed | placement.Refused:
        found = self.service.placing.place(self.descriptor, self.tried)
        if isinstance(found, placement.Placed):
            self.tried.append(found.row.identity)
            self._log_sent(found)
        return found

    def _run_attempt(self, placed: placement.Placed) -> Outcome | None:
        """Return how the attempt ended, or None once the caller has its answer."""
        names = self.service.dialect.headers
        self.attempt = attempts.Attempt(self.service.pool, placed.row, names)
        head = None
        outcome: Outcome | None = None
        try:
            outcome = self._exchange(placed.row)
            if isinstance(outcome, attempts.AnswerHead):
                head = outcome
                outcome = self._pass_on(head)
        except attempts.BrokenExchange as error:
            outcome = attempts.Broken(str(error))
        finally:
            self.attempt.finish(head)
            failed = self._judge_leaving() if self.caller.left else has_failed(outcome)
            self.service.placing.end(self.descriptor, placed.row.identity, failed)
        if self.caller.left:
            if failed:
                self.service.reaching.suspect(placed.row)
            raise callers.CallerLeft()
        self._learn(placed.row, outcome)
        return outcome

    def _judge_leaving(self) -> bool | None:
        """Return whether the caller left because the upstream kept it waiting."""
        if self.first_seconds is not None:
            return None
        waited = time.monotonic() - self.sent_at
        return True if waited > self.route.first_seconds else None

    def _exchange(self, row: upstreams.Row) -> Outcome:
        names = self.service.dialect.headers
        left = self.deadline - time.monotonic()
        headers = heads.list_forwarded(self.head, names, self._list_added(row, left))
        self.sends += 1
        self.sent_at = time.monotonic()
        failed = self.attempt.send(self.head, headers, self.body, left)
        if failed is not None:
            self.sends -= isinstance(failed, attempts.NotSent)
            return failed
        self.runs += 1
        answer = self.attempt.read_head(self._find_patience())
        if isinstance(answer, attempts.NotRun):
            self.runs -= 1
            self.return_seconds = answer.retry_after
            self.attempt.read_body(self.deadline)
        return answer

    def _pass_on(self, head: attempts.AnswerHead) -> Outcome | None:
        """Pass the answer on to the caller; None once it has all of it."""
        if head.status == OK and (head.streams or self.route.streams):
            self._pass_on_stream(head)
            return None
        if self.began:
            return attempts.Broken(f"status {head.status} for the rest of a stream")
        body = self.attempt.read_body(self.deadline)
        self.service.placing.note_first(self.descriptor)
        if head.status >= SERVER_ERRORS and self._may_repeat():
            self.kept_answer = head, body
            return head
        self._answer(head, body)
        return None

    def _pass_on_stream(self, head: attempts.AnswerHead) -> None:
        splitter = events_stream.Splitter()
        latest = time.monotonic()
        parts = self.attempt.read_parts(self._find_event_deadline)
        for part in parts:
            for event in splitter.take(part):
                now = time.monotonic()
                self._note_event(now - latest)
                latest = now
                self._pass_on_event(head, event)
        if splitter.rest:
            raise attempts.BrokenExchange("the stream ended within an event")
        if not self.began:
            self.caller.begin_answer(head.status, head.list_passed_on())
            self.began = True
        self.caller.end_answer()
        self._note_ended(head.status, "answered", "")

    def _pass_on_event(self, head: attempts.AnswerHead, event: bytes) -> None:
        number = events_stream.read_identity(event)
        if number is not None and self.last_event is not None:
            if number <= self.last_event:
                return
            if number > self.last_event + 1 and self.resumed:
                raise attempts.BrokenExchange("events are missing after resuming")
        if not self.began:
            self.caller.begin_answer(head.status, head.list_passed_on())
            self.began = True
        self.caller.write_part(event)
        if number is not None:
            self.last_event = number

    def _note_event(self, pause: float) -> None:
        self.events += 1
        if self.events > 1:
            self.longest_pause = max(self.longest_pause, pause)
            return
        now = time.monotonic()
        self.first_seconds = now - self.arrived
        self.service.placing.note_first(self.descriptor)

    @property
    def resumed(self) -> bool:
        """Whether the stream goes on at another upstream than it began at."""
        return self.began and len(self.tried) > 1

    # What follows an attempt.

    def _may_repeat(self) -> bool:
        """Return whether the route allows one more run."""
        return self.route.may_repeat and self.runs < self.route.attempts

    def _may_go_on(self, row: upstreams.Row, outcome: Outcome) -> bool:
        """Return whether to try another upstream after this outcome."""
        now = time.monotonic()
        left = self.deadline - now
        budget = self.knowledge.find_budget(self.descriptor.service)
        bound = self.service.find_retry_bound()
        allowed = left > LEAST_SECONDS and self.sends < SENDS_LIMIT
        if isinstance(outcome, (attempts.Broken, attempts.AnswerHead)):
            allowed = allowed and self._may_repeat()
            allowed = allowed and (not self.began or self.route.resumable)
        if allowed and not isinstance(outcome, attempts.NotSent):
            allowed = budget.spend(bound, now)
        self.knowledge.log.write(
            events.forwarding.REPEATED,
            request=self.descriptor.request_id,
            route=self.route.name,
            upstream=row.identity,
            outcome=type(outcome).__name__,
            reason=describe_outcome(outcome),
            allowed=allowed,
            repeats=budget.count_repeats(bound, now),
            limit=round(budget.find_limit(bound, now), 1),
            runs=self.runs,
            seconds_left=round(left, 3),
        )
        return allowed

    def _learn(self, row: upstreams.Row, outcome: Outcome | None) -> None:
        """Let the outcome change what is believed of the upstream."""
        if isinstance(outcome, attempts.NotSent):
            self.service.reaching.note_unreachable(row, outcome.reason)
        elif isinstance(outcome, attempts.Broken) and self.first_seconds is None:
            self.service.reaching.suspect(row)
        elif isinstance(outcome, attempts.NotRun) and outcome.is_misdirected:
            self.knowledge.note_replaced(row)
            self.service.placing.report_replaced(row.identity)

    def _give_up_after(self, outcome: Outcome) -> None:
        """End the request after an attempt that no other may follow."""
        if self.began:
            self._break_off(describe_outcome(outcome))
        elif self.kept_answer is not None:
            self._answer(*self.kept_answer)
        elif self.runs == 0:
            self._give_up(describe_outcome(outcome), placement.RETURN_SECONDS)
        elif time.monotonic() >= self.deadline:
            self._end_with(GATEWAY_TIMEOUT, "no answer in time")
        else:
            self._end_with(BAD_GATEWAY, describe_outcome(outcome))

    def _give_up(self, reason: str, after: float) -> None:
        """Tell the caller that the request did not run, unless something else holds."""
        if self.began:
            self._break_off(reason)
        elif self.kept_answer is not None:
            self._answer(*self.kept_answer)
        elif self.runs:
            self._end_with(BAD_GATEWAY, reason)
        else:
            asked = self.return_seconds
            self._end_with(UNAVAILABLE, reason, after if asked is None else asked)

    def _end_with(self, status: int, reason: str, after: float | None = None) -> None:
        request_id = self.descriptor.request_id
        self.service.note_refused(
            request_id, self.route.name, status, reason, after, self.arrived
        )
        self.caller.answer(status, list_error_headers(after), encode_error(reason))

    def _break_off(self, reason: str) -> None:
        """End a stream that can't be finished, so that it can't look finished."""
        self.caller.closing = True
        self.caller.cut()
        self._note_ended(OK, "broken_off", reason)

    def _answer(self, head: attempts.AnswerHead, body: bytes) -> None:
        self.first_seconds = time.monotonic() - self.arrived
        self.caller.answer(head.status, head.list_passed_on(), body)
        self._note_ended(head.status, "answered", "")

    def _note_left(self) -> None:
        if self.attempt is not None:
            self.attempt.abort()

    # The request in words of others.

    def _describe(self) -> descriptors.Descriptor:
        service = directory.choose_service(self.route, self.service.draw())
        own = self.workspace.tier if self.workspace is not None else None
        tier = self.route.tier if own is None else own
        data_centre = self.service.settings.data_centre
        return heads.build_descriptor(self.head, self.route, service, tier, data_centre)

    def _list_added(self, row: upstreams.Row, left: float) -> dict[str, str]:
        names = self.service.dialect.headers
        added = {
            names.deadline: str(max(1, int(left * 1000))),
            names.expected_upstream: row.identity,
        }
        if self.workspace is not None:
            added[names.workspace] = self.workspace.name
        if self.route.streams:
            added[names.tier] = str(min(9, max(0, self.descriptor.tier)))
        if self.last_event is not None:
            added[names.last_event] = str(self.last_event)
        return added

    def _find_patience(self) -> float:
        """Return until when to wait for the head of the answer."""
        if not self._may_repeat_after_this():
            return self.deadline
        silence = max(1.0, SILENCE_TARGETS * self.route.first_seconds)
        return min(self.deadline, time.monotonic() + silence)

    def _find_event_deadline(self) -> float:
        """Return until when to wait for the next event."""
        if not self.route.resumable or not self._may_repeat_after_this():
            return self.deadline
        silence = max(1.0, SILENCE_PAUSES * (self.route.pause_seconds or 0.0))
        return min(self.deadline, time.monotonic() + silence)

    def _may_repeat_after_this(self) -> bool:
        return self._may_repeat() and self.deadline - time.monotonic() > 1.0

    # Log lines.

    def _log_sent(self, placed: placement.Placed) -> None:
        engine = self.knowledge.placer.engines[placed.row.identity]
        data_centre = self.descriptor.data_centre
        self.knowledge.log.write(
            events.forwarding.SENT,
            request=self.descriptor.request_id,
            route=self.route.name,
            workspace=self.workspace.name if self.workspace else None,
            tier=self.descriptor.tier,
            upstream=placed.row.identity,
            address=placed.row.address,
            attempt=len(self.tried),
            unread=placed.unread,
            predicted=round(placed.predicted, 4),
            taken=len(engine.tasks),
            failure_rate=round(engine.find_failure_rate(data_centre), 3),
            source=placed.source,
            declaration=self.knowledge.version,
            seconds_left=round(self.deadline - time.monotonic(), 3),
        )

    def _note_ended(self, status: int, outcome: str, reason: str) -> None:
        seconds = time.monotonic() - self.arrived
        self.service.metrics.note_ended(
            self.route.name, outcome, seconds, self.first_seconds
        )
        first = self.first_seconds
        self.knowledge.log.write(
            events.forwarding.ENDED,
            request=self.descriptor.request_id,
            route=self.route.name,
            upstream=self.tried[-1] if self.tried else None,
            status=status,
            outcome=outcome,
            reason=reason,
            attempts=len(self.tried),
            events=self.events,
            seconds=round(seconds, 4),
            first_seconds=None if first is None else round(first, 4),
            longest_pause=round(self.longest_pause, 4),
        )


def has_failed(outcome: Outcome | None) -> bool | None:
    """Return whether an attempt's end speaks against its upstream; None: neither."""
    if isinstance(outcome, (attempts.NotSent, attempts.NotRun)):
        return None
    if isinstance(outcome, attempts.AnswerHead):
        return outcome.status >= SERVER_ERRORS
    return isinstance(outcome, attempts.Broken)


def describe_outcome(outcome: Outcome) -> str:
    """Return an attempt's end in a few words, for logs and callers."""
    if isinstance(outcome, (attempts.NotRun, attempts.AnswerHead)):
        return f"status {outcome.status} from the upstream"
    return outcome.reason


def list_error_headers(after: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer of the gateway's own."""
    if after is None:
        return [JSON]
    return [JSON, (b"Retry-After", f"{after:.2f}".encode())]


def encode_error(reason: str) -> bytes:
    """Return the body of an answer of the gateway's own."""
    return msgspec.json.encode({"error": reason})
