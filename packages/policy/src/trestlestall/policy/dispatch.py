"""Dispatch: which waiting request goes next, and sending it.

The order: a class that its floor is due, then the tiers strictly in order. A tier that
is less urgent than one under pressure, at any router of the data centre, goes by floors
alone.
"""

import dataclasses

from trestlestall.policy import actions, choice, core, flights, lanes, loads

# Headroom is kept once more urgent tiers offer work for over so many slots.
HEADROOM_SLOTS = 0.05


class Dispatcher:
    """Sends the waiting requests of a core's lanes."""

    def __init__(self, shared: core.Core):
        self._core = shared

    def run(
        self, lane: lanes.Lane, now: float, freed: loads.Load | None = None
    ) -> list[actions.Action]:
        """Send what can be sent for one target now.

        ``freed`` is an upstream where a slot came free. When all others are known to be
        full, only that one is looked at.
        """
        only = freed if lane.full_tier != lanes.NEVER_FULL else None
        sent: list[actions.Action] = []
        while lane.backlog.waiting.find_first() is not None:
            action = self._send_by_floor(lane, now, only)
            action = action or self._send_in_order(lane, now, only)
            if action is None:
                break
            sent.append(action)
        return sent

    def run_all(
        self, targets: list[str], now: float, freed: loads.Load | None = None
    ) -> list[actions.Action]:
        """Send for several targets, the one with the most urgent work first."""
        found = [self._core.lanes[name] for name in targets if name in self._core.lanes]
        waiting = [(lane.backlog.waiting.find_first(), lane) for lane in found]
        ready = [(tier, lane) for tier, lane in waiting if tier is not None]
        ready.sort(key=lambda pair: pair[0])
        sent: list[actions.Action] = []
        for _, lane in ready:
            sent += self.run(lane, now, freed)
        return sent

    def send_claimed(
        self, flight: flights.Flight, now: float
    ) -> list[actions.Action] | None:
        """Send a request whose claim was granted to the upstream kept for it.

        Return ``None`` when that upstream may get nothing new any more.
        """
        [attempt] = flight.attempts
        target = flight.arrival.target
        names = {load.upstream.name for load in self._core.fleet.list_open(target)}
        load = self._core.fleet.find(attempt.upstream, attempt.incarnation)
        if load is None or attempt.upstream not in names or now < load.avoid_until:
            return None
        # More urgent work may have been sent there since the claim was asked for.
        if attempt.floor and not load.still_fits_floor(flight.tier):
            return None
        attempt.sent_at = now
        flight.stage = flights.Stage.RUNNING
        flight.sends += 1
        self._core.budget.fill()
        candidates = (attempt.upstream,)
        return [make_send(attempt, candidates, "claim granted")]

    def send(
        self, flight: flights.Flight, place: choice.Place, priority: int, now: float
    ) -> actions.Send:
        """Send one more attempt of a request."""
        attempt = self._core.open_attempt(flight, place.load, priority, now)
        if not flight.sends:
            self._core.budget.fill()
        flight.sends += 1
        self._core.chooser.remember(flight, attempt.upstream)
        return make_send(attempt, place.candidates, place.reason)

    def _send_by_floor(self, lane, now: float, only) -> actions.Action | None:
        level = self._core.find_level(lane, now)
        first = lane.backlog.waiting.find_first()
        urgent = min(level, first)
        name = lane.floors.find_due(
            urgent, lambda tier: self._core.find_rate(lane, tier), now
        )
        if name is None:
            return None
        flight = lane.queue.peek_class(lane.floors.find_tier(name), name)
        if flight is None:
            return None
        turn = choice.Turn(0.0, self._count_rivals(lane, urgent), by_floor=True)
        place = self._core.chooser.choose(flight, now, turn, only)
        if place is None:
            return None
        return self._start(lane, flight, place, urgent, now)

    def _send_in_order(self, lane, now: float, only) -> actions.Action | None:
        tier = lane.backlog.waiting.find_first()
        if tier is None or tier > self._core.find_level(lane, now):
            return None
        flight = lane.queue.peek_tier(tier)
        if flight is None:
            return None
        turn = choice.Turn(self._find_spare(lane, tier), self._count_rivals(lane, tier))
        place = self._core.chooser.choose(flight, now, turn, only)
        if place is None:
            lane.full_tier = min(lane.full_tier, tier)
            return None
        return self._start(lane, flight, place, tier, now)

    def _start(self, lane, flight, place, priority: int, now) -> actions.Action:
        flight.by_floor = priority != flight.tier
        ready = flight.idempotent or flight.claimed
        lane.dequeue(flight, flights.Stage.RUNNING if ready else flights.Stage.ASKING)
        # Lengths may have been learned since the request arrived.
        tokens = max(1.0, self._core.predict_length(flight.arrival).find_mean())
        flight.estimate = dataclasses.replace(flight.estimate, tokens=tokens)
        lane.charge(flight, now)
        if ready:
            return self.send(flight, place, priority, now)
        self._core.open_attempt(flight, place.load, priority, now)
        return actions.RequestClaim(flight.name)

    def _count_rivals(self, lane: lanes.Lane, tier: int) -> int:
        """Return how many routers, this one included, have work as urgent waiting."""
        if lane.peer_level is None or lane.peer_level > tier:
            return 1
        return max(2, self._core.view.routers)

    def _find_spare(self, lane: lanes.Lane, tier: int) -> float:
        """Return the share of slots to keep free while more urgent work comes in."""
        urgent = lane.backlog.offered.sum_above(tier)
        return self._core.settings.headroom if urgent > HEADROOM_SLOTS else 0.0


def make_send(attempt: flights.Attempt, candidates, reason: str) -> actions.Send:
    """Return the action that sends an attempt."""
    name = attempt.flight.name
    by_floor = "by the class's floor; " if attempt.floor else ""
    return actions.Send(
        name,
        attempt.name,
        attempt.upstream,
        attempt.priority,
        candidates,
        by_floor + reason,
    )
