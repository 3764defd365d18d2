"""All that the policy keeps for one target: queue, backlog, floors, speeds, returns."""

from trestlestall.policy import (
    backlogs,
    flights,
    floors,
    queues,
    returns,
    settings as defaults,
    speeds,
)

# Above every tier: no arrival is kept from looking for an upstream.
NEVER_FULL = 1_000_000
# How many tiers, from a peer's level on, are noted: at least as many as there are.
PRESSURE_TIERS = 64


class Lane:
    """One model or service at this router.

    ``full_tier`` is the most urgent tier that found no upstream open since the last
    change; arrivals of it and of less urgent tiers need not look again.
    ``unserved_since`` is when no upstream took work of the target any more, None while
    some do.
    """

    def __init__(self, target: str, seed: int, settings: defaults.Settings):
        self.target = target
        self.queue = queues.TargetQueue()
        self.backlog = backlogs.Backlog()
        self.floors = floors.Floors(settings.floor_credit, settings.floor_window)
        self.speeds = speeds.Speeds(
            settings.default_first_token, settings.default_token_gap
        )
        self.returns = returns.Schedule(seed, settings.retry_least, settings.retry_most)
        self.full_tier = NEVER_FULL
        self.rates: dict[int, float] = {}
        self.peer_level: int | None = None
        self.unserved_since: float | None = None
        self._peer_since: dict[int, float] = {}

    def note_peers(self, level: int | None, now: float) -> None:
        """Take in the most urgent tier under pressure at the peer routers."""
        before = self.peer_level
        if level == before:
            return
        self.peer_level = level
        self.full_tier = NEVER_FULL
        if level is not None:
            end = before if before is not None else level + PRESSURE_TIERS
            self._peer_since.update((tier, now) for tier in range(level, end))

    def find_peer_seconds(self, tier: int, now: float) -> float | None:
        """Return for how long a peer has had work of the tier, or more urgent, waiting.

        ``None`` when none has.
        """
        if self.peer_level is None or self.peer_level > tier:
            return None
        return now - self._peer_since.get(tier, now)

    def note_served(self, served: bool, now: float) -> None:
        """Note whether any upstream takes work of the target."""
        if served:
            self.unserved_since = None
        elif self.unserved_since is None:
            self.unserved_since = now

    def refresh(self) -> None:
        """Look again at what was known to be so until the next tick."""
        self.full_tier = NEVER_FULL
        self.rates = {}

    def enqueue(self, flight: flights.Flight, now: float, first: bool = False) -> None:
        """Let a request wait."""
        flight.stage = flights.Stage.WAITING
        self.queue.push(flight, first)
        self.backlog.add_waiting(flight, now)
        request_class = flight.arrival.request_class
        self.floors.note_waiting(request_class, flight.estimate.tokens, now)

    def dequeue(self, flight: flights.Flight, stage: flights.Stage) -> None:
        """Take a request out of the waiting ones."""
        flight.stage = stage
        self.backlog.remove_waiting(flight)
        request_class = flight.arrival.request_class
        self.floors.note_gone(request_class, flight.estimate.tokens)

    def charge(self, flight: flights.Flight, now: float) -> None:
        """Charge the workspace and the class for a request that is sent."""
        tokens = flight.estimate.tokens
        shares = self.queue.find_shares(flight.tier)
        shares.advance(shares.find_tag(flight.arrival.workspace))
        shares.charge(flight.arrival.workspace, tokens, flight.arrival.weight)
        self.floors.charge(flight.arrival.request_class, tokens, flight.by_floor, now)

    def settle(self, flight: flights.Flight, tokens: float) -> None:
        """Charge the difference when the true cost in tokens is known."""
        difference = tokens - flight.estimate.tokens
        shares = self.queue.find_shares(flight.tier)
        shares.charge(flight.arrival.workspace, difference, flight.arrival.weight)
        if flight.by_floor:
            self.floors.correct(flight.arrival.request_class, difference)
