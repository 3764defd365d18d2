"""The state that the modules of one router's policy share."""

import random

from trestlestall.policy import (
    actions,
    arrivals,
    budgets,
    choice,
    deadlines,
    fleet,
    jobs,
    lengths,
    loads,
    pressure,
    settings as defaults,
    stragglers,
    target_states,
)

# The shortest interval over which the time between tokens of a stream is sampled.
MIN_SAMPLE_SECONDS = 0.1


class Core:
    """Jobs, attempts, target states and loads, and the steps that change several."""

    def __init__(self, seed: int, settings: defaults.Settings):
        self.seed = seed
        self.settings = settings
        self.view = arrivals.View()
        self.fleet = fleet.Fleet(settings)
        self.detector = stragglers.Detector(settings)
        self.chooser = choice.Chooser(
            random.Random(seed), settings, self.fleet, self.detector
        )
        self.tracker = pressure.Tracker(
            settings.pressure_hold, settings.pressure_report_interval
        )
        self.budget = budgets.Budget(settings.budget_ratio, settings.budget_capacity)
        self.deadlines = deadlines.Deadlines()
        self.lengths = lengths.Predictor()
        self.jobs: dict[str, jobs.Job] = {}
        self.attempts: dict[str, jobs.Attempt] = {}
        self.target_states: dict[str, target_states.TargetState] = {}
        self._attempt_count = 0

    def get_state(self, target: str) -> target_states.TargetState:
        """Return the state of a target, created on first use."""
        state = self.target_states.get(target)
        if state is None:
            state = target_states.TargetState(target, self.seed, self.settings)
            self.target_states[target] = state
        return state

    def predict_length(self, arrival: arrivals.Arrival) -> lengths.Distribution:
        """Return the predicted distribution of the length of a request's answer."""
        return self.lengths.predict(
            arrival.request_class.name,
            arrival.workspace,
            arrival.target,
            arrival.max_tokens,
        )

    def update_view(self, view: arrivals.View, now: float) -> None:
        """Apply the router's newest view of its data centre."""
        if view is self.view:
            return
        drained_before = self.view.drained
        self.view = view
        removed = self.fleet.refresh(view)
        if removed:
            self.detector.forget(removed)
        for state in self.target_states.values():
            state.update_peer_level(view.pressure.get(state.target), now)
            if removed is not None or drained_before != view.drained:
                state.full_tier = target_states.NOT_FULL

    def find_level(self, state: target_states.TargetState, now: float) -> int:
        """Return the most urgent tier under pressure at any router for a target."""
        own = self.tracker.get_level(state.target, now)
        return own if state.peer_level is None else min(own, state.peer_level)

    def find_token_rate(self, state: target_states.TargetState, tier: int) -> float:
        """Return the tokens per second that this router's even share of slots can make.

        It is computed once per tick and tier, so that no event between two ticks
        changes it.
        """
        rate = state.rates.get(tier)
        if rate is None:
            slots = self.fleet.count_slots(state.target)
            even_share = slots / max(1, self.view.routers)
            rate = state.rates[tier] = even_share / state.speeds.find_min_gap(tier)
        return rate

    def is_occupied_by_peers(
        self, state: target_states.TargetState, tier: int, now: float
    ) -> bool:
        """Whether peers' less urgent work may occupy slots without being preempted.

        Peers that report waiting work of this tier, or more urgent, send less urgent
        work only under floors; what they sent before may run on for
        ``Settings.peer_drain_time``. Engines with priorities preempt less urgent work,
        so it doesn't block the tier there.
        """
        peer_seconds = state.find_peer_seconds(tier, now)
        if peer_seconds is not None and peer_seconds >= self.settings.peer_drain_time:
            return False
        return any(
            load.others > 0 and not load.upstream.capabilities.priorities
            for load in self.fleet.list_open(state.target)
        )

    def open_attempt(
        self,
        job: jobs.Job,
        load: loads.Load,
        priority: int,
        now: float,
    ) -> jobs.Attempt:
        """Create an attempt and count it in the load of its upstream."""
        self._attempt_count += 1
        upstream = load.upstream
        name = f"{self.settings.router}-{self._attempt_count}"
        attempt = jobs.Attempt(
            name, job, upstream.name, upstream.incarnation, priority, now
        )
        attempt.floor = priority != job.tier
        attempt.non_preemptible = attempt.floor or not upstream.capabilities.priorities
        attempt.sampled_at = now
        attempt.version = upstream.version
        job.attempts.append(attempt)
        self.attempts[name] = attempt
        load.add(job.tier, attempt.floor, now)
        state = self.get_state(job.arrival.target)
        state.backlog.add_in_flight(job.tier, attempt.non_preemptible, now)
        if self.detector.is_straggling(upstream.name):
            self.detector.record_probe(upstream.name, now)
        return attempt

    def close_attempt(self, attempt: jobs.Attempt, now: float) -> None:
        """Remove an attempt; progress or an end reported for it later is ignored."""
        del self.attempts[attempt.name]
        job = attempt.job
        job.attempts.remove(attempt)
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is not None:
            load.remove(job.tier, attempt.floor, attempt.started, now)
        state = self.get_state(job.arrival.target)
        state.backlog.remove_in_flight(job.tier, attempt.non_preemptible, now)

    def cancel_attempts(
        self, job: jobs.Job, now: float, but: jobs.Attempt | None = None
    ) -> list[actions.Action]:
        """Cancel the job's attempts, except ``but``, the one that answers."""
        found = [attempt for attempt in job.attempts if attempt is not but]
        for attempt in found:
            self.close_attempt(attempt, now)
        return [actions.Cancel(attempt.name) for attempt in found]

    def close_job(self, job: jobs.Job, tokens: float) -> None:
        """Remove a job that has its final answer, and correct what it was charged."""
        job.stage = jobs.Stage.DONE
        self.jobs.pop(job.name, None)
        if job.sends:
            self.get_state(job.arrival.target).correct_charge(job, tokens)

    def fail(self, job: jobs.Job, reason: str, now: float) -> actions.Fail:
        """End a job with ``outcome_unknown`` if it may have run, else ``not_run``."""
        state = self.get_state(job.arrival.target)
        self.close_job(job, sum(a.tokens for a in job.attempts))
        if job.may_have_run:
            code = actions.OUTCOME_UNKNOWN
            return actions.Fail(job.name, code, reason=reason)
        retry = state.retry_delays.find_delay(job.name, job.tier, 0.0, 0.0, now)
        return actions.Fail(job.name, actions.NOT_RUN, retry, reason)

    def record_tokens(self, attempt: jobs.Attempt, tokens: int, now: float) -> None:
        """Record that an attempt has brought ``tokens`` tokens of the answer so far."""
        job = attempt.job
        state = self.get_state(job.arrival.target)
        state.backlog.served.add(job.tier, tokens - attempt.tokens)
        attempt.tokens = tokens
        if not attempt.started:
            self._record_first_token(attempt, state, now)
        elif now >= attempt.sampled_at + MIN_SAMPLE_SECONDS:
            self.sample_gap(attempt, now)

    def sample_gap(self, attempt: jobs.Attempt, now: float) -> None:
        """Record the mean time between tokens since the last sample."""
        tokens = attempt.tokens - attempt.sampled_tokens
        seconds = now - attempt.sampled_at
        attempt.sampled_tokens = attempt.tokens
        attempt.sampled_at = now
        if tokens <= 0 or seconds <= 0:
            return
        job = attempt.job
        state = self.get_state(job.arrival.target)
        state.speeds.record_tokens(job.tier, tokens, seconds)
        self._record_gap(attempt, seconds / tokens, state, now)

    def _record_first_token(
        self, attempt, state: target_states.TargetState, now: float
    ) -> None:
        attempt.first_at = now
        attempt.sampled_at = now
        attempt.sampled_tokens = attempt.tokens
        tier = attempt.job.tier
        state.speeds.record_first_token(tier, now - attempt.sent_at)
        self.detector.record_activity(attempt.upstream, now)
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is not None:
            load.start(tier)

    def _record_gap(
        self, attempt, gap: float, state: target_states.TargetState, now: float
    ) -> None:
        """Count a stream's gap for its upstream, unless it may have been preempted.

        A preempted stream is slow although its upstream isn't.
        """
        tier = attempt.job.tier
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is None:
            return
        may_be_preempted = load.by_tier.sum_more_urgent(tier) > 0 or (
            state.peer_level is not None and state.peer_level < tier
        )
        if may_be_preempted and not attempt.non_preemptible:
            self.detector.record_activity(attempt.upstream, now)
        else:
            self.detector.record_gap(attempt.upstream, gap, now)
