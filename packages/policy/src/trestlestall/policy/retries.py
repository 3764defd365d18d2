"""The next step after an attempt that did not complete: retry, resume or fail."""

import dataclasses
import enum

from trestlestall.policy import budgets, jobs, outcomes


class Next(enum.Enum):
    """The next step for the job."""

    WAIT = "wait for another attempt of the request"
    RETRY = "send again"
    RESUME = "resume exactly where the caller's tokens end"
    FAIL = "fail plainly"


@dataclasses.dataclass(frozen=True)
class Situation:
    """The facts besides the job that the decision depends on."""

    outcome: outcomes.Outcome
    resumable: bool
    attempt_limit: int


def decide(
    job: jobs.Job,
    ended: jobs.Attempt,
    situation: Situation,
    budget: budgets.Budget,
) -> Next:
    """Decide the next step. May take from the budget.

    An attempt that certainly did not run may be retried, whatever its class, and costs
    the engines nothing: only the number of attempts limits it. All other retries are
    for idempotent classes and take from the budget. Once a token has reached the caller
    only an exact resume is correct, since another run may bring another answer.
    """
    if any(other is not ended for other in job.attempts):
        return Next.WAIT
    if job.sends >= situation.attempt_limit:
        return Next.FAIL
    if job.delivered:
        return decide_resume(job, situation, budget)
    if isinstance(situation.outcome, outcomes.NotSent):
        return Next.RETRY
    if job.idempotent and budget.take():
        return Next.RETRY
    return Next.FAIL


def decide_resume(job: jobs.Job, situation: Situation, budget: budgets.Budget) -> Next:
    """Decide for a stream of which the caller has already received a part."""
    if job.idempotent and situation.resumable and budget.take():
        return Next.RESUME
    return Next.FAIL


def explain_failure(job: jobs.Job, situation: Situation) -> str:
    """Return why ``decide`` gave ``FAIL``, for the log."""
    if job.sends >= situation.attempt_limit:
        return f"{job.sends} attempts were made"
    if not job.idempotent:
        return "it may run only once"
    if job.delivered and not situation.resumable:
        return "no upstream can resume the stream"
    return "the retry budget is exhausted"
