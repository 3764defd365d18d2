"""How one attempt at an upstream may end, and what that says."""

from trestlestall.daemon.gateway import attempts

SERVER_ERRORS = 500

Outcome = attempts.NotSent | attempts.NotRun | attempts.Broken | attempts.AnswerHead


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
