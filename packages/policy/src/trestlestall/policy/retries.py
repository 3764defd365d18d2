"""What follows an attempt that did not complete: again, resume, or fail plainly."""

import dataclasses
import enum

from trestlestall.policy import budgets, flights, outcomes


class Next(enum.Enum):
    """What follows."""

    WAIT = "wait for another attempt of the request"
    RETRY = "send again"
    RESUME = "resume exactly where the caller's tokens end"
    FAIL = "fail plainly"


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the decision rests on."""

    outcome: outcomes.Outcome
    resumable: bool
    attempts_most: int


def decide(
    flight: flights.Flight,
    ended: flights.Attempt,
    situation: Situation,
    budget: budgets.Budget,
) -> Next:
    """Decide what follows. May take from the budget.

    What surely did not run may be sent again, whatever its class, and costs the engines
    nothing: only the number of attempts bounds it. All else is for idempotent classes,
    and takes from the budget. Once a token reached the caller only an exact resume is
    right, since another run may bring another answer.
    """
    if any(other is not ended for other in flight.attempts):
        return Next.WAIT
    if flight.sends >= situation.attempts_most:
        return Next.FAIL
    if flight.delivered:
        return decide_resume(flight, situation, budget)
    if isinstance(situation.outcome, outcomes.NotSent):
        return Next.RETRY
    if flight.idempotent and budget.take():
        return Next.RETRY
    return Next.FAIL


def decide_resume(
    flight: flights.Flight, situation: Situation, budget: budgets.Budget
) -> Next:
    """Decide for a stream of which the caller already has a part."""
    if flight.idempotent and situation.resumable and budget.take():
        return Next.RESUME
    return Next.FAIL
