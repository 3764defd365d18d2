"""The entry of a request: what it needs, whether to admit it, when to come back."""

from trestlestall.policy import (
    actions,
    admission,
    arrivals,
    core,
    estimates,
    flights,
    lanes,
)


class Entry:
    """Admits requests into the lanes of a core, or refuses them."""

    def __init__(self, shared: core.Core):
        self._core = shared

    def admit(self, request: arrivals.Arrival, now: float) -> list[actions.Action]:
        """Let a request wait, or return its refusal."""
        if not self._core.fleet.list_open(request.target):
            return [self._refuse_unserved(request, now)]
        lane = self._core.find_lane(request.target)
        lane.note_peers(self._core.view.pressure.get(request.target), now)
        estimate = self._estimate(request, lane)
        wait = self._find_wait(request, estimate, lane, now)
        settings = self._core.settings
        waiting = int(lane.backlog.waiting.get(request.tier))
        code = admission.decide(request, estimate, wait, waiting, settings)
        if code is not None:
            return [self._refuse(request, estimate, wait, code, lane, now)]
        self._let_in(request, estimate, lane, now)
        return []

    def learn(self, flight: flights.Flight, tokens: int) -> None:
        """Learn the length of a whole answer."""
        arrival = flight.arrival
        name = arrival.request_class.name
        self._core.lengths.note(name, arrival.workspace, arrival.target, tokens)

    def _estimate(self, request, lane: lanes.Lane) -> estimates.Estimate:
        distribution = self._core.predict_length(request)
        return estimates.estimate(
            request, distribution, lane.speeds, self._core.settings
        )

    def _find_wait(self, request, estimate, lane, now: float) -> admission.Wait:
        count = self._core.fleet.count_slots(request.target)
        even = count / max(1, self._core.view.routers)
        reserve = self._core.settings.floor_reserve
        return admission.find_wait(
            request,
            estimate,
            lane.backlog,
            lane.floors,
            admission.find_slots(lane.backlog, request.tier, even, reserve),
            self._core.find_rate(lane, request.tier),
            self._find_pressure_seconds(request, lane, now),
            now,
        )

    def _find_pressure_seconds(self, request, lane, now: float) -> float | None:
        tier = request.tier
        own = self._core.tracker.find(request.target, now)
        found = []
        if own < tier:
            found.append(self._core.tracker.find_duration(request.target, tier, now))
        peers = lane.find_peer_seconds(tier - 1, now)
        if peers is not None:
            found.append(peers)
        return max(found) if found else None

    def _let_in(self, request, estimate, lane: lanes.Lane, now: float) -> None:
        flight = flights.Flight(request, estimate)
        self._core.flights[request.request] = flight
        lane.backlog.note_offered(request.tier, estimate.service, now)
        lane.enqueue(flight, now)
        self._core.deadlines.add(flight, lane.backlog)

    def _refuse(self, request, estimate, wait, code, lane, now) -> actions.Refuse:
        if code != admission.UNREACHABLE:
            self._core.tracker.note(request.target, request.tier, now)
        longest = max(0.0, estimate.wait_admitted)
        excess = max(0.0, wait.shortest - longest)
        pace = estimate.tokens / wait.rate
        retry = lane.returns.find_retry(
            request.request, request.tier, excess, pace, now
        )
        planned = self._core.settings.wait_share * longest
        reason = f"expected wait {wait.shortest:.2f} s, planned for {planned:.2f} s"
        return actions.Refuse(request.request, code, retry, reason)

    def _refuse_unserved(self, request, now: float) -> actions.Refuse:
        lane = self._core.find_lane(request.target)
        retry = lane.returns.find_retry(request.request, request.tier, 1.0, 0.0, now)
        reason = f"no upstream that takes work for {request.target}"
        return actions.Refuse(request.request, admission.NO_UPSTREAM, retry, reason)
