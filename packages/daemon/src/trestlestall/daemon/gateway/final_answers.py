"""Sends the final response of a request, or truncates one that can't be completed."""

from trestlestall.daemon.gateway import (
    outcomes,
    progress,
    records,
    refusals,
)
from trestlestall.forwarding import (
    backoffs,
    brittleness,
    budgets,
    crashes,
    harmful_parts,
    placement,
    rate_limits,
)
from trestlestall.wire import clocks

OK = 200
#: Reasons whose ``Retry-After`` is known from all upstreams of the service; it takes
#: precedence over that of the upstream that turned the request away last.
TIMED_REASONS = (
    backoffs.BACKING_OFF,
    rate_limits.LIMITED,
    rate_limits.LIMITED_WITHIN_REACH,
    brittleness.FULL,
)


def end_unplaced(
    forward: progress.Progress,
    refused: placement.Refused,
    outcome: outcomes.Outcome | None,
) -> None:
    """End a request for which no upstream was chosen.

    ``outcome`` is that of the last attempt; None if there was none.
    """
    if refused.reason in (crashes.HARMFUL, harmful_parts.HELD):
        records.write_quarantined(forward, refused)
        end_quarantined(forward, refused.reason)
    elif refused.reason == budgets.EXHAUSTED and outcome is not None:
        records.write_retry_denied(forward, refused)
        end_after_attempt(forward, outcome)
    else:
        end_refused(forward, refused.reason, refused.return_seconds)


def end_after_attempt(forward: progress.Progress, outcome: outcomes.Outcome) -> None:
    """End a request after an attempt that must not be followed by another one."""
    reason = outcomes.describe_outcome(outcome)
    if end_if_started(forward, reason):
        return
    if forward.runs == 0:
        end_refused(forward, reason, placement.RETURN_SECONDS)
    elif clocks.read() >= forward.deadline:
        refuse(forward, refusals.GATEWAY_TIMEOUT, "no answer in time")
    else:
        refuse(forward, refusals.BAD_GATEWAY, reason)


def end_quarantined(forward: progress.Progress, reason: str) -> None:
    """End a request that is quarantined because upstreams crashed on it, or on a part.

    It may have run, now or in an earlier request of the caller, and would be refused
    again. So the status must neither promise that it did not run, nor invite the
    caller to retry.
    """
    if not end_if_started(forward, reason):
        refuse(forward, refusals.BAD_GATEWAY, reason)


def end_refused(forward: progress.Progress, reason: str, retry_after: float) -> None:
    """Refuse a request, with a status that says it did not run if that is so."""
    if end_if_started(forward, reason):
        return
    if forward.runs:
        refuse(forward, refusals.BAD_GATEWAY, reason)
    else:
        asked = forward.return_seconds
        if asked is not None and reason not in TIMED_REASONS:
            retry_after = asked
        refuse(forward, refusals.UNAVAILABLE, reason, retry_after)


def end_if_started(forward: progress.Progress, reason: str) -> bool:
    """End a request whose response has started, or that has a fallback response.

    Returns False, and does nothing, for any other request.
    """
    if forward.relay.began:
        truncate(forward, reason)
        return True
    if forward.fallback_answer is not None:
        send_answer(forward, *forward.fallback_answer)
        return True
    return False


def refuse(
    forward: progress.Progress,
    status: int,
    reason: str,
    retry_after: float | None = None,
) -> None:
    """Answer with a refusal; ``retry_after`` is in seconds."""
    request_id = forward.descriptor.request_id
    refusal = refusals.Refusal(status, reason, request_id, forward.route.name)
    forward.handler.refuse(forward.caller, refusal, forward.arrived, retry_after)


def truncate(forward: progress.Progress, reason: str) -> None:
    """Close the connection of an unfinished stream, so that it looks truncated."""
    forward.caller.closing = True
    forward.caller.abort()
    records.write_completed(forward, OK, "broken_off", reason)


def send_answer(
    forward: progress.Progress, head: outcomes.AnswerHead, body: bytes
) -> None:
    """Forward a complete response to the caller."""
    length = head.length if forward.head.method == b"HEAD" else len(body)
    forward.caller.answer(head.status, head.list_end_to_end(), body, length)
    records.write_completed(forward, head.status, "answered", "")
