"""The policy of one router, composed of the other modules.

The router passes events in and carries out the returned actions in order. Nothing here
reads a clock, sleeps or uses a global random generator.

Example::

    policy = router_policy.Policy(seed=7)
    for action in policy.arrive(arrival, view, now):
        carry_out(action)
"""

from trestlestall.policy import (
    actions,
    admitters,
    arrivals,
    core,
    dispatch,
    endings,
    hedges,
    jobs,
    outcomes,
    settings as defaults,
)


class Policy:
    """Admits, queues, sends, retries and fails the requests of one router.

    ``progress`` and ``finish`` take the attempt's count of answer tokens so far, from
    the answer's first token (a resumed attempt starts at the count it resumed from).

    After a ``Cancel`` the policy counts the slot as free; the router still reports the
    attempt's end by ``finish``, so that its tokens are counted as wasted.

    ``claim_answered`` with ``granted=False`` gives ``Fail(not_run)``: no attempt of
    this request ran here. If the claim's outcome tells the router more, it may give a
    better answer. A claim granted after the request has its final answer must be
    released.
    """

    def __init__(self, seed: int, settings: defaults.Settings = defaults.DEFAULT):
        self._core = core.Core(seed, settings)
        self._admitter = admitters.Admitter(self._core)
        self._sender = dispatch.Dispatcher(self._core)
        self._endings = endings.EndHandler(self._core, self._admitter, self._sender)
        self._hedges = hedges.Hedges(self._core, self._sender)
        self._claims_requested: dict[str, float] = {}

    def arrive(
        self, request: arrivals.Arrival, view: arrivals.View, now: float
    ) -> list[actions.Action]:
        """Admit a request, or refuse it at once and finally."""
        self._core.update_view(view, now)
        decided = self._admitter.admit(request, now)
        state = self._core.get_state(request.target)
        if not decided and request.tier < state.full_tier:
            decided += self._sender.run(state, now)
        return self._finalize(decided, now)

    def progress(self, attempt: str, tokens: int, now: float) -> list[actions.Action]:
        """Handle progress: an attempt has brought ``tokens`` answer tokens so far."""
        found = self._core.attempts.get(attempt)
        if found is None or tokens <= found.tokens:
            return []
        starts = not found.started
        self._core.record_tokens(found, tokens, now)
        if not starts:
            return []
        job = found.job
        decided: list[actions.Action] = []
        if job.answering is None:
            job.answering = found
            decided.append(actions.Answer(job.name, attempt))
            decided += self._core.cancel_attempts(job, now, but=found)
        return decided + self._dispatch_at(found, now)

    def finish(
        self, attempt: str, outcome: outcomes.Outcome, tokens: int, now: float
    ) -> list[actions.Action]:
        """Handle the end of an attempt, after ``tokens`` answer tokens in all."""
        found = self._core.attempts.get(attempt)
        if found is None:
            return [actions.Wasted(attempt, tokens)] if tokens else []
        decided = self._endings.finish(found, outcome, tokens, now)
        return decided + self._dispatch_at(found, now)

    def hang_up(self, request: str, now: float) -> list[actions.Action]:
        """Remove a request whose caller disconnected, and cancel its attempts."""
        job = self._core.jobs.get(request)
        if job is None:
            return []
        ended = list(job.attempts)
        tokens = sum(attempt.tokens for attempt in ended)
        cancels = self._core.cancel_attempts(job, now)
        if job.stage is jobs.Stage.WAITING:
            state = self._core.get_state(job.arrival.target)
            state.dequeue(job, jobs.Stage.DONE)
        if job.stage is jobs.Stage.CLAIMING:
            # The attempt only reserved a slot: nothing was sent yet.
            cancels = []
        self._core.close_job(job, tokens)
        for attempt in ended:
            cancels += self._dispatch_at(attempt, now)
        return cancels

    def tick(self, view: arrivals.View, now: float) -> list[actions.Action]:
        """Apply a new view and do what is due. Call it about ten times a second."""
        self._core.update_view(view, now)
        for target in self._core.fleet.list_targets():
            found = self._core.fleet.list_loads(target)
            self._core.detector.evaluate(target, found, now)
        decided = self._fail_late_claims(now) + self._fail_unserved(now)
        decided += self._fail_unreachable(now)
        for state in self._core.target_states.values():
            state.refresh()
            for tier in state.floors.list_tiers():
                self._core.find_token_rate(state, tier)
        decided += self._sender.run_all(list(self._core.target_states), now)
        decided += self._hedges.run(now)
        self._record_pressure(now)
        return self._finalize(decided, now, due=True)

    def discount_stall(self, seconds: float) -> None:
        """Exclude a time from the silence of upstreams: this process was held up."""
        self._core.detector.discount_stall(seconds)
        self._core.fleet.discount_stall(seconds)
        self._hedges.discount_stall(seconds)

    def claim_answered(
        self, request: str, granted: bool, now: float
    ) -> list[actions.Action]:
        """Handle the answer to a ``RequestClaim``; a late one changes nothing."""
        job = self._core.jobs.get(request)
        if job is None or job.stage is not jobs.Stage.CLAIMING:
            return []
        if not granted:
            return self._finalize(self._fail_claim(job, "claim not granted", now), now)
        job.claimed = True
        decided = self._sender.send_claimed(job, now)
        if decided is not None:
            return self._finalize(decided, now)
        state = self._core.get_state(job.arrival.target)
        self._core.cancel_attempts(job, now)
        state.correct_charge(job, 0)
        state.enqueue(job, now, first=True)
        return self._finalize(self._sender.run(state, now), now)

    def _finalize(
        self, decided: list[actions.Action], now: float, due: bool = False
    ) -> list[actions.Action]:
        """Track sent attempts and requested claims, and add the pressure report."""
        self._hedges.track(decided, now)
        for action in decided:
            if isinstance(action, actions.RequestClaim):
                self._claims_requested[action.request] = now
        return decided + self._core.tracker.report(now, due)

    def _dispatch_at(self, attempt: jobs.Attempt, now: float) -> list[actions.Action]:
        """Send for every target of an upstream where a slot may have been freed."""
        load = self._core.fleet.find(attempt.upstream, attempt.incarnation)
        targets = [attempt.job.arrival.target]
        if load is not None:
            targets = list(arrivals.list_targets(load.upstream))
        return self._finalize(self._sender.run_all(targets, now, load), now)

    def _fail_late_claims(self, now: float) -> list[actions.Action]:
        timeout = self._core.settings.claim_timeout
        decided: list[actions.Action] = []
        for request, asked_at in list(self._claims_requested.items()):
            job = self._core.jobs.get(request)
            if job is None or job.stage is not jobs.Stage.CLAIMING:
                del self._claims_requested[request]
            elif now >= asked_at + timeout:
                del self._claims_requested[request]
                decided += self._fail_claim(job, "no claim in time", now)
        return decided

    def _fail_claim(self, job, reason: str, now: float) -> list[actions.Action]:
        self._core.cancel_attempts(job, now)
        state = self._core.get_state(job.arrival.target)
        state.correct_charge(job, 0)
        return [self._core.fail(job, reason, now)]

    def _fail_unreachable(self, now: float) -> list[actions.Action]:
        """Fail the waiting requests that can no longer meet their target."""
        decided: list[actions.Action] = []
        due = self._core.deadlines.pop_due(
            self._core.get_state, self._core.is_occupied_by_peers, now
        )
        for job in due:
            self._core.tracker.record(job.arrival.target, job.tier, now)
            reason = "its target can no longer be met"
            decided.append(self._fail_waiting(job, reason, now))
        return decided

    def _fail_unserved(self, now: float) -> list[actions.Action]:
        """Fail the waiting requests of targets that no upstream serves any more.

        New requests of these targets are refused at once. Without this, those already
        queued would wait in vain until their deadline.
        """
        unserved = {
            name for name in self._core.target_states if self._is_unserved(name, now)
        }
        if not unserved:
            return []
        reason = "no upstream takes work for its target any more"
        return [
            self._fail_waiting(job, reason, now)
            for job in list(self._core.jobs.values())
            if job.arrival.target in unserved and job.stage is jobs.Stage.WAITING
        ]

    def _is_unserved(self, target: str, now: float) -> bool:
        """Return whether a target with waiting work has long had no upstream."""
        state = self._core.target_states[target]
        state.update_served(bool(self._core.fleet.list_open(target)), now)
        if (
            state.unserved_since is None
            or state.backlog.waiting.find_most_urgent() is None
        ):
            return False
        return now - state.unserved_since >= self._core.settings.unserved_grace

    def _fail_waiting(self, job: jobs.Job, reason: str, now: float) -> actions.Fail:
        """Dequeue a request and fail it."""
        state = self._core.get_state(job.arrival.target)
        state.dequeue(job, jobs.Stage.DONE)
        return self._core.fail(job, reason, now)

    def _record_pressure(self, now: float) -> None:
        grace = self._core.settings.pressure_grace
        for state in self._core.target_states.values():
            tier = state.backlog.waiting.find_most_urgent()
            if tier is None:
                continue
            if now - state.backlog.find_waiting_since(tier) >= grace:
                self._core.tracker.record(state.target, tier, now)
