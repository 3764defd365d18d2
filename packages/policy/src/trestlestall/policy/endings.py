"""Handling of attempts that ended: completion, retry, resume or failure."""

from trestlestall.policy import (
    actions,
    admitters,
    choice,
    core,
    dispatch,
    jobs,
    loads,
    outcomes,
    retries,
)


class EndHandler:
    """Handles the end of attempts on a shared core."""

    def __init__(
        self,
        shared: core.Core,
        admitter: admitters.Admitter,
        sender: dispatch.Dispatcher,
    ):
        self._core = shared
        self._admitter = admitter
        self._sender = sender

    def finish(
        self, attempt: jobs.Attempt, outcome: outcomes.Outcome, tokens: int, now
    ) -> list[actions.Action]:
        """Handle the end of an attempt that the policy still tracks."""
        if isinstance(outcome, outcomes.Completed):
            return self._complete(attempt, tokens, now)
        return self._handle_incomplete(attempt, outcome, tokens, now)

    def _complete(self, attempt, tokens: int, now: float) -> list[actions.Action]:
        job = attempt.job
        decided: list[actions.Action] = []
        if job.answering is not attempt:
            job.answering = attempt
            decided.append(actions.Answer(job.name, attempt.name))
        self._record_completed(attempt, tokens, now)
        decided += self._core.cancel_attempts(job, now, but=attempt)
        self._core.close_attempt(attempt, now)
        self._core.close_job(job, max(1, tokens))
        self._admitter.record_length(job, tokens)
        return decided

    def _record_completed(self, attempt, tokens: int, now: float) -> None:
        state = self._core.get_state(attempt.job.arrival.target)
        tier = attempt.job.tier
        self._core.detector.record_activity(attempt.upstream, now)
        if attempt.started:
            state.backlog.served.add(tier, tokens - attempt.tokens)
            attempt.tokens = tokens
            self._core.sample_gap(attempt, now)
        elif tokens:
            state.backlog.served.add(tier, tokens)
            state.speeds.record_tokens(tier, tokens, now - attempt.sent_at)
        else:
            # A plain service generates no tokens: a call counts as one token.
            state.backlog.served.add(tier, 1)
            state.speeds.record_first_token(tier, now - attempt.sent_at)

    def _handle_incomplete(
        self, attempt, outcome, tokens: int, now
    ) -> list[actions.Action]:
        job = attempt.job
        attempt.tokens = max(attempt.tokens, tokens)
        not_sent = isinstance(outcome, outcomes.NotSent)
        if not_sent:
            self._back_off(attempt, now)
        else:
            job.may_have_run = True
        job.excluded.add(attempt.upstream)
        selection = self._select_for_resume(attempt, not_sent, now)
        situation = retries.Situation(
            outcome, selection is not None, self._core.settings.attempt_limit
        )
        step = retries.decide(job, attempt, situation, self._core.budget)
        self._core.close_attempt(attempt, now)
        if step is retries.Next.RESUME:
            return [self._resume(attempt, selection, now)]
        made = attempt.tokens - attempt.resumed_at
        wasted = [actions.Wasted(attempt.name, made)] if made > 0 else []
        if step is retries.Next.RETRY:
            return wasted + self._retry(job, now)
        if step is retries.Next.WAIT:
            return wasted
        cause = retries.explain_failure(job, situation)
        reason = f"attempt {attempt.name} at {attempt.upstream} ended early; {cause}"
        return [*wasted, self._core.fail(job, reason, now)]

    def _retry(self, job: jobs.Job, now: float) -> list[actions.Action]:
        job.answering = None
        target = job.arrival.target
        state = self._core.get_state(target)
        state.correct_charge(job, 0)
        names = {load.upstream.name for load in self._core.fleet.list_open(target)}
        if names and names <= job.excluded:
            job.excluded.clear()
        state.enqueue(job, now, first=True)
        self._core.deadlines.add_again(job, now)
        return []

    def _resume(
        self, broken, selection: choice.Selection, now: float
    ) -> actions.Resume:
        job = broken.job
        attempt = self._core.open_attempt(job, selection.load, broken.priority, now)
        attempt.tokens = attempt.resumed_at = attempt.sampled_tokens = broken.tokens
        job.answering = attempt
        job.sends += 1
        return actions.Resume(
            job.name,
            attempt.name,
            attempt.upstream,
            broken.tokens,
            broken.name,
            attempt.priority,
        )

    def _select_for_resume(
        self, attempt, refused: bool, now
    ) -> choice.Selection | None:
        """Return the same upstream if it is still live, else another that can resume.

        It has to be of the version that began the stream. An upstream that refused to
        resume is excluded.
        """
        if not attempt.job.delivered:
            return None
        target = attempt.job.arrival.target
        same = self._core.fleet.find(attempt.upstream, attempt.incarnation)
        candidates = [
            load
            for load in self._core.fleet.list_open(target)
            if load.upstream.capabilities.resume
            and now >= load.backoff_until
            and (load is not same or not refused)
            and load.upstream.version == attempt.version
        ]
        if not candidates:
            return None
        chosen = min(
            candidates, key=lambda load: (load is not same, load.total / load.slots)
        )
        return choice.Selection(chosen, (chosen.upstream.name,), "resume")

    def _back_off(self, attempt, now: float) -> None:
        load = self._find_load(attempt)
        if load is not None:
            load.backoff_until = now + self._core.settings.refusal_backoff

    def _find_load(self, attempt) -> loads.Load | None:
        return self._core.fleet.find(attempt.upstream, attempt.incarnation)
