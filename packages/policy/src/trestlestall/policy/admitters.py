"""Admission of arriving requests, and the retry delay of refused ones."""

from trestlestall.policy import (
    actions,
    admission,
    arrivals,
    core,
    estimates,
    jobs,
    target_states,
)


class Admitter:
    """Admits requests into the queues of a core's targets, or refuses them."""

    def __init__(self, shared: core.Core):
        self._core = shared

    def admit(self, request: arrivals.Arrival, now: float) -> list[actions.Action]:
        """Enqueue a request and return no action, or return its refusal."""
        if not self._core.fleet.list_open(request.target):
            return [self._refuse_unserved(request, now)]
        state = self._core.get_state(request.target)
        state.update_peer_level(self._core.view.pressure.get(request.target), now)
        estimate = self._estimate(request, state)
        wait = self._find_wait(request, estimate, state, now)
        settings = self._core.settings
        waiting = int(state.backlog.waiting.get(request.tier))
        code = admission.decide(request, estimate, wait, waiting, settings)
        if code is not None:
            return [self._refuse(request, estimate, wait, code, state, now)]
        self._accept(request, estimate, state, now)
        return []

    def record_length(self, job: jobs.Job, tokens: int) -> None:
        """Record the length, in tokens, of a complete answer."""
        arrival = job.arrival
        name = arrival.request_class.name
        self._core.lengths.record(name, arrival.workspace, arrival.target, tokens)

    def _estimate(
        self, request, state: target_states.TargetState
    ) -> estimates.Estimate:
        distribution = self._core.predict_length(request)
        return estimates.estimate(
            request, distribution, state.speeds, self._core.settings
        )

    def _find_wait(self, request, estimate, state, now: float) -> admission.Wait:
        count = self._core.fleet.count_slots(request.target)
        even_share = count / max(1, self._core.view.routers)
        reserve = self._core.settings.floor_reserve
        return admission.find_wait(
            request,
            estimate,
            state.backlog,
            state.floors,
            admission.find_slots(state.backlog, request.tier, even_share, reserve),
            self._core.find_token_rate(state, request.tier),
            self._find_pressure_seconds(request, state, now),
            now,
        )

    def _find_pressure_seconds(self, request, state, now: float) -> float | None:
        tier = request.tier
        own = self._core.tracker.get_level(request.target, now)
        found = []
        if own < tier:
            found.append(self._core.tracker.find_duration(request.target, tier, now))
        peers = state.find_peer_seconds(tier - 1, now)
        if peers is not None:
            found.append(peers)
        return max(found) if found else None

    def _accept(
        self, request, estimate, state: target_states.TargetState, now: float
    ) -> None:
        job = jobs.Job(request, estimate)
        self._core.jobs[request.request] = job
        state.backlog.record_offered(request.tier, estimate.service, now)
        state.enqueue(job, now)
        self._core.deadlines.add(job, state.backlog)

    def _refuse(self, request, estimate, wait, code, state, now) -> actions.Refuse:
        if code != admission.UNREACHABLE:
            self._core.tracker.record(request.target, request.tier, now)
        longest = max(0.0, estimate.admission_max_wait)
        excess_wait = max(0.0, wait.shortest - longest)
        pace = estimate.tokens / wait.rate
        retry = state.retry_delays.find_delay(
            request.request, request.tier, excess_wait, pace, now
        )
        planned = self._core.settings.planned_wait_share * longest
        reason = f"expected wait {wait.shortest:.2f} s, planned for {planned:.2f} s"
        return actions.Refuse(request.request, code, retry, reason)

    def _refuse_unserved(self, request, now: float) -> actions.Refuse:
        state = self._core.get_state(request.target)
        retry = state.retry_delays.find_delay(
            request.request, request.tier, 1.0, 0.0, now
        )
        reason = f"no upstream that takes work for {request.target}"
        return actions.Refuse(request.request, admission.NO_UPSTREAM, retry, reason)
