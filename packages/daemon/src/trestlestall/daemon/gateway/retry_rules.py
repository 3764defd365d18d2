"""Whether a request may be sent again, and until when its upstream is waited for."""

from trestlestall.daemon.gateway import outcomes, progress, selection
from trestlestall.forwarding import timeouts
from trestlestall.wire import clocks

#: Sends of one request in total, including those that upstreams did not run.
MAX_SENDS = 4


def may_retry(forward: progress.Progress) -> bool:
    """Return whether the route allows another run of the request."""
    return forward.route.may_repeat and forward.runs < forward.route.attempts


def may_follow(forward: progress.Progress, outcome: outcomes.Outcome) -> bool:
    """Return whether another attempt may follow one with this outcome."""
    left = forward.deadline - clocks.read()
    if left <= selection.MIN_LEFT_SECONDS or forward.sends >= MAX_SENDS:
        return False
    if isinstance(outcome, (outcomes.NotSent, outcomes.NotRun)):
        return True
    return may_retry(forward) and may_resume(forward)


def may_resume(forward: progress.Progress) -> bool:
    """Return whether another upstream may go on with the response so far."""
    return not forward.relay.began or forward.route.resumable


def may_switch_upstream(forward: progress.Progress) -> bool:
    """Return whether to move from an unresponsive upstream to another one."""
    left = forward.deadline - clocks.read()
    allowed = may_retry(forward) and forward.sends < MAX_SENDS
    return allowed and timeouts.allows_failover(left)


def may_move(forward: progress.Progress) -> bool:
    """Return whether the request may leave its upstream in the middle of an answer."""
    return may_resume(forward) and may_switch_upstream(forward)


def find_head_deadline(forward: progress.Progress) -> float:
    """Return until when to wait for the head of the response."""
    if not may_switch_upstream(forward):
        return forward.deadline
    timeout = timeouts.find_first_event_timeout(forward.route)
    return min(forward.deadline, clocks.read() + timeout)


def find_event_deadline(forward: progress.Progress) -> float:
    """Return until when to wait for the next event."""
    if not forward.route.resumable or not may_switch_upstream(forward):
        return forward.deadline
    timeout = timeouts.find_gap_timeout(forward.route)
    return min(forward.deadline, clocks.read() + timeout)
