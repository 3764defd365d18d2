"""Handlers that carry out the policy's actions, registered by the action's type."""

import dataclasses
from collections import abc

from trestlestall.claims import outcomes
from trestlestall.daemon import events
from trestlestall.daemon.http import errors
from trestlestall.daemon.router import action_context, attempts, exchanges
from trestlestall.policy import actions

ACTION_HANDLERS: dict[type, abc.Callable] = {}

NOT_RUN_MESSAGE = "The request ran on no upstream and will not run."
EARLIER_UNKNOWN_MESSAGE = (
    "This sending did not run; whether an earlier one under its key did is not known."
)
UNKNOWN_MESSAGE = "The answer broke off; whether the request ran is not known."


def register_handler(action_type: type) -> abc.Callable:
    """Return a decorator that registers the handler of an action."""

    def register(function: abc.Callable) -> abc.Callable:
        ACTION_HANDLERS[action_type] = function
        return function

    return register


@register_handler(actions.Refuse)
def refuse(owner: action_context.ActionContext, action: actions.Refuse) -> None:
    """Answer the caller at once that the request did not run."""
    exchange = owner.exchanges.get(action.request)
    if exchange is None:
        return
    code = action.code if action.code in errors.CODES else "overloaded"
    failure = errors.Failure(
        code, action.reason, errors.Run.NOT_RUN, action.request, action.retry_after
    )

    def record(_: errors.Failure) -> None:
        name = exchange.request_class.name
        owner.metrics.refusals.labels(name, action.code).inc()
        owner.journal.write(
            events.routing.REFUSED,
            request=action.request,
            workspace=exchange.workspace.name,
            tier=exchange.request_class.tier,
            code=action.code,
            retry_after=action.retry_after,
            reason=action.reason,
            request_class=name,
        )

    _end(owner, exchange, failure, record)


@register_handler(actions.RequestClaim)
def request_claim(
    owner: action_context.ActionContext, action: actions.RequestClaim
) -> None:
    """Claim the request's idempotency key before anything is sent."""
    exchange = owner.exchanges.get(action.request)
    if exchange is not None:
        owner.claim_client.claim(exchange)


@register_handler(actions.Send)
def send(owner: action_context.ActionContext, action: actions.Send) -> None:
    """Start an attempt at an upstream."""
    exchange = owner.exchanges.get(action.request)
    if exchange is None:
        return
    owner.journal.write(
        events.routing.SENT,
        request=action.request,
        workspace=exchange.workspace.name,
        attempt=action.attempt,
        upstream=action.upstream,
        priority=action.priority,
        candidates=action.candidates,
        reason=action.reason,
        request_class=exchange.request_class.name,
    )
    exchange.upstream = action.upstream
    extra = {"priority": action.priority}
    _start(owner, exchange, action.attempt, action.upstream, extra)


@register_handler(actions.Resume)
def resume(owner: action_context.ActionContext, action: actions.Resume) -> None:
    """Resume a broken stream exactly where the caller's bytes end."""
    exchange = owner.exchanges.get(action.request)
    if exchange is None:
        return
    owner.journal.write(
        events.routing.RESUMED,
        request=action.request,
        attempt=action.attempt,
        upstream=action.upstream,
        tokens=action.tokens,
        reason=f"attempt {action.previous} broke",
    )
    exchange.upstream = action.upstream
    extra = {
        "priority": action.priority,
        "resume": {"attempt": action.previous, "tokens": action.tokens},
    }
    exact = exchange.tokens == action.tokens
    attempt = _start(owner, exchange, action.attempt, action.upstream, extra, exact)
    attempt.resumed_tokens = action.tokens
    exchange.choose(action.attempt)


@register_handler(actions.Cancel)
def cancel(owner: action_context.ActionContext, action: actions.Cancel) -> None:
    """Close an attempt's connection."""
    attempt = owner.attempts.get(action.attempt)
    if attempt is not None:
        attempt.cancel()


@register_handler(actions.Answer)
def answer(owner: action_context.ActionContext, action: actions.Answer) -> None:
    """Forward an attempt's bytes to the caller."""
    exchange = owner.exchanges.get(action.request)
    if exchange is not None:
        exchange.choose(action.attempt)


@register_handler(actions.Fail)
def fail(owner: action_context.ActionContext, action: actions.Fail) -> None:
    """End a request with an error, or with the verdict that its claim already gave."""
    exchange = owner.exchanges.get(action.request)
    if exchange is None:
        return
    if exchange.verdict is not None:
        exchange.end(exchange.verdict)
        return
    # "not_run" from the policy holds only if no byte of the request was sent either.
    not_run = action.code == actions.NOT_RUN and not owner.may_have_run(exchange)
    code = actions.NOT_RUN if not_run else actions.OUTCOME_UNKNOWN
    run = errors.Run.NOT_RUN if not_run else errors.Run.UNKNOWN
    message = NOT_RUN_MESSAGE if not_run else UNKNOWN_MESSAGE
    retry_after = (action.retry_after or None) if not_run else None
    failure = errors.Failure(code, message, run, action.request, retry_after)

    def record(sent_failure: errors.Failure) -> None:
        owner.journal.write(
            events.routing.FAILED,
            request=action.request,
            workspace=exchange.workspace.name,
            code=sent_failure.code,
            run=sent_failure.run.value,
            reason=action.reason,
            request_class=exchange.request_class.name,
        )

    _end(owner, exchange, failure, record)


@register_handler(actions.ReportPressure)
def report_pressure(
    owner: action_context.ActionContext, action: actions.ReportPressure
) -> None:
    """Notify the other routers of the data centre."""
    owner.on_pressure(action.levels)


@register_handler(actions.Wasted)
def count_wasted(owner: action_context.ActionContext, action: actions.Wasted) -> None:
    """Count tokens that no caller receives."""
    owner.metrics.wasted_tokens.labels("dropped").inc(action.tokens)


def _end(
    owner: action_context.ActionContext,
    exchange: exchanges.Exchange,
    failure: errors.Failure,
    record: abc.Callable[[errors.Failure], None],
) -> None:
    """End a request with a failure, unless the record of its key says more.

    Before "not run" is sent for a request that may run only once, its key is looked up,
    unless it is granted to this request. ``record`` is called with the failure that the
    caller receives.
    """

    def resolve(outcome: outcomes.Outcome | None) -> None:
        if exchange.is_over:
            return
        sent_failure = failure
        if outcome is None:
            sent_failure = _make_unknown(failure)
            _log_unanswered(owner, exchange)
        elif not isinstance(outcome, outcomes.Absent):
            owner.claim_client.apply_outcome(exchange, outcome)
            exchange.end(exchange.verdict)
            return
        record(sent_failure)
        exchange.end(exchanges.Failed(sent_failure))

    if failure.run is errors.Run.NOT_RUN and _may_have_run_before(owner, exchange):
        owner.lookups.start(exchange, resolve)
    else:
        resolve(outcomes.Absent())


def _may_have_run_before(
    owner: action_context.ActionContext, exchange: exchanges.Exchange
) -> bool:
    """Return whether an earlier request under the key may have run.

    False when the key is granted to this request, and while this request's own claim is
    pending: a lookup might then find only that claim.
    """
    if exchange.request_class.idempotent or exchange.claimed:
        return False
    return not owner.claim_client.is_claim_pending(exchange.request)


def _make_unknown(failure: errors.Failure) -> errors.Failure:
    """Return the failure to send when the lookup of the key got no answer."""
    not_run = failure.code == actions.NOT_RUN
    return dataclasses.replace(
        failure,
        code=actions.OUTCOME_UNKNOWN if not_run else failure.code,
        message=f"{failure.message} {EARLIER_UNKNOWN_MESSAGE}",
        run=errors.Run.UNKNOWN,
        retry_after=errors.compute_retry_seconds(failure),
    )


def _log_unanswered(
    owner: action_context.ActionContext, exchange: exchanges.Exchange
) -> None:
    owner.journal.write(
        events.routing.CLAIM_UNKNOWN,
        request=exchange.request,
        workspace=exchange.workspace.name,
        key=exchange.claim_key,
        reason="lookup of earlier requests with this key was not answered in time",
    )


def _start(
    owner: action_context.ActionContext,
    exchange: exchanges.Exchange,
    identity: str,
    upstream: str,
    extra: dict,
    exact: bool = True,
) -> attempts.Attempt:
    attempt = attempts.Attempt(
        identity,
        exchange.request,
        exchange.call,
        owner.views.find_upstream(upstream) if exact else None,
        extra,
    )
    owner.start(attempt)
    return attempt
