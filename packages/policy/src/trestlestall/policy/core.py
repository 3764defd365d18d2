"""The state that the parts of one router's policy share."""

import random

from trestlestall.policy import (
    actions,
    arrivals,
    budgets,
    choice,
    deadlines,
    fleet,
    flights,
    lanes,
    lengths,
    loads,
    pressure,
    settings as defaults,
    stragglers,
)

# The shortest run of a stream whose gaps between tokens are sampled.
SAMPLE_SECONDS = 0.1


class Core:
    """Requests, attempts, lanes and loads, and the steps that change several."""

    def __init__(self, seed: int, settings: defaults.Settings):
        self.seed = seed
        self.settings = settings
        self.view = arrivals.View()
        self.fleet = fleet.Fleet(settings)
        self.watch = stragglers.Watch(settings)
        self.chooser = choice.Chooser(
            random.Random(seed), settings, self.fleet, self.watch
        )
        self.tracker = pressure.Tracker(
            settings.pressure_hold, settings.pressure_repeat
        )
        self.budget = budgets.Budget(settings.budget_share, settings.budget_most)
        self.deadlines = deadlines.Deadlines()
        self.lengths = lengths.Book()
        self.flights: dict[str, flights.Flight] = {}
        self.attempts: dict[str, flights.Attempt] = {}
        self.lanes: dict[str, lanes.Lane] = {}
        self._count = 0

    def find_lane(self, target: str) -> lanes.Lane:
        """Return the lane of a target, made when first asked for."""
        lane = self.lanes.get(target)
        if lane is None:
            lane = lanes.Lane(target, self.seed, self.settings)
            self.lanes[target] = lane
        return lane

    def predict_length(self, arrival: arrivals.Arrival) -> lengths.Distribution:
        """Return what is known now of the length of a request's answer."""
        return self.lengths.predict(
            arrival.request_class.name,
            arrival.workspace,
            arrival.target,
            arrival.max_tokens,
        )

    def take_view(self, view: arrivals.View, now: float) -> None:
        """Take in what the router sees of its data centre."""
        if view is self.view:
            return
        drained_before = self.view.drained
        self.view = view
        gone = self.fleet.refresh(view)
        if gone:
            self.watch.forget(gone)
        for lane in self.lanes.values():
            lane.note_peers(view.pressure.get(lane.target), now)
            if gone is not None or drained_before != view.drained:
                lane.full_tier = lanes.NEVER_FULL

    def find_level(self, lane: lanes.Lane, now: float) -> int:
        """Return the most urgent tier under pressure at any router for a target."""
        own = self.tracker.find(lane.target, now)
        return own if lane.peer_level is None else min(own, lane.peer_level)

    def find_rate(self, lane: lanes.Lane, tier: int) -> float:
        """Return the tokens per second that this router's even share can make.

        It is worked out once per tick and tier, so that no event between two ticks
        changes it.
        """
        rate = lane.rates.get(tier)
        if rate is None:
            slots = self.fleet.count_slots(lane.target)
            even = slots / max(1, self.view.routers)
            rate = lane.rates[tier] = even / lane.speeds.find_least_gap(tier)
        return rate

    def is_crowded(self, lane: lanes.Lane, tier: int, now: float) -> bool:
        """Whether other routers' less urgent work may hold slots that it won't leave.

        Peers that say they have work as urgent waiting send less urgent work by floors
        alone; what they sent before lingers for a while. On engines that displace it,
        less urgent work is not in the way.
        """
        told = lane.find_peer_seconds(tier, now)
        if told is not None and told >= self.settings.lingering:
            return False
        return any(
            load.others > 0 and not load.upstream.capabilities.priorities
            for load in self.fleet.list_open(lane.target)
        )

    def open_attempt(
        self,
        flight: flights.Flight,
        load: loads.Load,
        priority: int,
        now: float,
    ) -> flights.Attempt:
        """Make an attempt and count it at its upstream."""
        self._count += 1
        upstream = load.upstream
        name = f"{self.settings.router}-{self._count}"
        attempt = flights.Attempt(
            name, flight, upstream.name, upstream.incarnation, priority, now
        )
        attempt.floor = priority != flight.tier
        attempt.fixed = attempt.floor or not upstream.capabilities.priorities
        attempt.sampled_at = now
        flight.attempts.append(attempt)
        self.attempts[name] = attempt
        load.add(flight.tier, attempt.floor, now)
        lane = self.find_lane(flight.arrival.target)
        lane.backlog.add_in_flight(flight.tier, attempt.fixed, now)
        if self.watch.is_straggling(upstream.name):
            self.watch.note_probe(upstream.name, now)
        return attempt

    def close_attempt(self, attempt: flights.Attempt, now: float) -> None:
        """Forget an attempt; what comes of it later belongs to nobody."""
        del self.attempts[attempt.name]
        flight = attempt.flight
        flight.attempts.remove(attempt)
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is not None:
            load.remove(flight.tier, attempt.floor, attempt.started, now)
        lane = self.find_lane(flight.arrival.target)
        lane.backlog.remove_in_flight(flight.tier, attempt.fixed, now)

    def cancel_attempts(
        self, flight: flights.Flight, now: float, but: flights.Attempt | None = None
    ) -> list[actions.Action]:
        """Cancel the request's attempts, except the one that answers."""
        found = [attempt for attempt in flight.attempts if attempt is not but]
        for attempt in found:
            self.close_attempt(attempt, now)
        return [actions.Cancel(attempt.name) for attempt in found]

    def close_flight(self, flight: flights.Flight, tokens: float) -> None:
        """Forget a request that has its final answer."""
        flight.stage = flights.Stage.DONE
        self.flights.pop(flight.name, None)
        if flight.sends:
            self.find_lane(flight.arrival.target).settle(flight, tokens)

    def fail(self, flight: flights.Flight, reason: str, now: float) -> actions.Fail:
        """Give a request its final answer: truthfully, whether it may have run."""
        lane = self.find_lane(flight.arrival.target)
        self.close_flight(flight, sum(a.tokens for a in flight.attempts))
        if flight.may_have_run:
            code = actions.OUTCOME_UNKNOWN
            return actions.Fail(flight.name, code, reason=reason)
        retry = lane.returns.find_retry(flight.name, flight.tier, 0.0, 0.0, now)
        return actions.Fail(flight.name, actions.NOT_RUN, retry, reason)

    def note_tokens(self, attempt: flights.Attempt, tokens: int, now: float) -> None:
        """Learn from an attempt's progress."""
        flight = attempt.flight
        lane = self.find_lane(flight.arrival.target)
        lane.backlog.served.add(flight.tier, tokens - attempt.tokens)
        attempt.tokens = tokens
        if not attempt.started:
            self._note_start(attempt, lane, now)
        elif now >= attempt.sampled_at + SAMPLE_SECONDS:
            self.sample_gap(attempt, now)

    def sample_gap(self, attempt: flights.Attempt, now: float) -> None:
        """Learn the time between tokens since the last sample."""
        tokens = attempt.tokens - attempt.sampled_tokens
        seconds = now - attempt.sampled_at
        attempt.sampled_tokens = attempt.tokens
        attempt.sampled_at = now
        if tokens <= 0 or seconds <= 0:
            return
        flight = attempt.flight
        lane = self.find_lane(flight.arrival.target)
        lane.speeds.note_tokens(flight.tier, tokens, seconds)
        self._judge_gap(attempt, seconds / tokens, lane, now)

    def _note_start(self, attempt, lane: lanes.Lane, now: float) -> None:
        attempt.first_at = now
        attempt.sampled_at = now
        attempt.sampled_tokens = attempt.tokens
        tier = attempt.flight.tier
        lane.speeds.note_start(tier, now - attempt.sent_at)
        self.watch.note_heard(attempt.upstream, now)
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is not None:
            load.start(tier)

    def _judge_gap(self, attempt, gap: float, lane: lanes.Lane, now: float) -> None:
        """Let a stream's gap count for its upstream unless it may be displaced."""
        tier = attempt.flight.tier
        load = self.fleet.find(attempt.upstream, attempt.incarnation)
        if load is None:
            return
        displaced = load.by_tier.sum_above(tier) > 0 or (
            lane.peer_level is not None and lane.peer_level < tier
        )
        if displaced and not attempt.fixed:
            self.watch.note_heard(attempt.upstream, now)
        else:
            self.watch.note_gap(attempt.upstream, gap, now)
