"""The possible outcomes of an attempt, and what they say of its upstream."""

from trestlestall.daemon.gateway import attempts

SERVER_ERRORS = 500

Outcome = attempts.NotSent | attempts.NotRun | attempts.Broken | attempts.AnswerHead


def has_failed(outcome: Outcome | None) -> bool | None:
    """Return whether an outcome counts as a failure of the upstream.

    None means that it counts neither as a failure nor as a success.
    """
    if isinstance(outcome, (attempts.NotSent, attempts.NotRun)):
        return None
    if isinstance(outcome, attempts.AnswerHead):
        return outcome.status >= SERVER_ERRORS
    if isinstance(outcome, attempts.Broken):
        return None if outcome.path_lost else True
    return False


def describe_outcome(outcome: Outcome) -> str:
    """Return a short text for an outcome, for logs and callers."""
    if isinstance(outcome, (attempts.NotRun, attempts.AnswerHead)):
        return f"status {outcome.status} from the upstream"
    return outcome.reason
