"""What follows the end of an attempt."""

from trestlestall.policy import (
    actions,
    choice,
    core,
    dispatch,
    entry,
    flights,
    loads,
    outcomes,
    retries,
)


class Endings:
    """Handles ended attempts of a core."""

    def __init__(
        self, shared: core.Core, entrance: entry.Entry, sender: dispatch.Dispatcher
    ):
        self._core = shared
        self._entry = entrance
        self._sender = sender

    def finish(
        self, attempt: flights.Attempt, outcome: outcomes.Outcome, tokens: int, now
    ) -> list[actions.Action]:
        """Note the end of an attempt that the policy still holds."""
        if isinstance(outcome, outcomes.Completed):
            return self._complete(attempt, tokens, now)
        return self._go_on(attempt, outcome, tokens, now)

    def _complete(self, attempt, tokens: int, now: float) -> list[actions.Action]:
        flight = attempt.flight
        decided: list[actions.Action] = []
        if flight.answering is not attempt:
            flight.answering = attempt
            decided.append(actions.Answer(flight.name, attempt.name))
        self._learn_whole(attempt, tokens, now)
        decided += self._core.cancel_attempts(flight, now, but=attempt)
        self._core.close_attempt(attempt, now)
        self._core.close_flight(flight, max(1, tokens))
        self._entry.learn(flight, tokens)
        return decided

    def _learn_whole(self, attempt, tokens: int, now: float) -> None:
        lane = self._core.find_lane(attempt.flight.arrival.target)
        tier = attempt.flight.tier
        self._core.watch.note_heard(attempt.upstream, now)
        if attempt.started:
            lane.backlog.served.add(tier, tokens - attempt.tokens)
            attempt.tokens = tokens
            self._core.sample_gap(attempt, now)
        elif tokens:
            lane.backlog.served.add(tier, tokens)
            lane.speeds.note_tokens(tier, tokens, now - attempt.sent_at)
        else:
            # A plain service makes no tokens: a call counts as one.
            lane.backlog.served.add(tier, 1)
            lane.speeds.note_start(tier, now - attempt.sent_at)

    def _go_on(self, attempt, outcome, tokens: int, now) -> list[actions.Action]:
        flight = attempt.flight
        attempt.tokens = max(attempt.tokens, tokens)
        not_sent = isinstance(outcome, outcomes.NotSent)
        if not_sent:
            self._pause(attempt, now)
        else:
            flight.may_have_run = True
        flight.avoided.add(attempt.upstream)
        place = self._find_resumer(attempt, not_sent, now)
        situation = retries.Situation(
            outcome, place is not None, self._core.settings.attempts_most
        )
        step = retries.decide(flight, attempt, situation, self._core.budget)
        self._core.close_attempt(attempt, now)
        if step is retries.Next.RESUME:
            return [self._resume(attempt, place, now)]
        made = attempt.tokens - attempt.resumed_at
        wasted = [actions.Wasted(attempt.name, made)] if made > 0 else []
        if step is retries.Next.RETRY:
            return wasted + self._retry(flight, now)
        if step is retries.Next.WAIT:
            return wasted
        reason = f"attempt {attempt.name} at {attempt.upstream} ended early"
        return [*wasted, self._core.fail(flight, reason, now)]

    def _retry(self, flight: flights.Flight, now: float) -> list[actions.Action]:
        flight.answering = None
        target = flight.arrival.target
        lane = self._core.find_lane(target)
        lane.settle(flight, 0)
        names = {load.upstream.name for load in self._core.fleet.list_open(target)}
        if names and names <= flight.avoided:
            flight.avoided.clear()
        lane.enqueue(flight, now, first=True)
        self._core.deadlines.watch_again(flight, now)
        return []

    def _resume(self, broken, place: choice.Place, now: float) -> actions.Resume:
        flight = broken.flight
        attempt = self._core.open_attempt(flight, place.load, broken.priority, now)
        attempt.tokens = attempt.resumed_at = attempt.sampled_tokens = broken.tokens
        flight.answering = attempt
        flight.sends += 1
        return actions.Resume(
            flight.name,
            attempt.name,
            attempt.upstream,
            broken.tokens,
            broken.name,
            attempt.priority,
        )

    def _find_resumer(self, attempt, refused: bool, now) -> choice.Place | None:
        """Return the same upstream if it still runs, else another that can resume.

        An upstream that refused to resume is left out.
        """
        if not attempt.flight.delivered:
            return None
        target = attempt.flight.arrival.target
        same = self._core.fleet.find(attempt.upstream, attempt.incarnation)
        able = [
            load
            for load in self._core.fleet.list_open(target)
            if load.upstream.capabilities.resume
            and now >= load.avoid_until
            and (load is not same or not refused)
        ]
        if not able:
            return None
        best = min(able, key=lambda load: (load is not same, load.total / load.slots))
        return choice.Place(best, (best.upstream.name,), "resume")

    def _pause(self, attempt, now: float) -> None:
        load = self._find_load(attempt)
        if load is not None:
            load.avoid_until = now + self._core.settings.refused_pause

    def _find_load(self, attempt) -> loads.Load | None:
        return self._core.fleet.find(attempt.upstream, attempt.incarnation)
