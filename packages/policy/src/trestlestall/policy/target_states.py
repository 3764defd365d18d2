"""The state of one target: queue, backlog, floors, speeds and retry delays."""

from trestlestall.policy import (
    backlogs,
    floors,
    jobs,
    queues,
    retry_delays,
    settings as defaults,
    speeds,
)

# Less urgent than every tier: any arrival may look for an upstream.
NOT_FULL = 1_000_000
# How many tiers, from a peer's level on, get a start time: at least all there are.
PRESSURE_TIERS = 64


class TargetState:
    """The state of one model or service at this router.

    ``full_tier`` is the most urgent tier that found no upstream since the last change;
    arrivals of it and of less urgent tiers need not look for one. ``unserved_since`` is
    the time since which no upstream accepts work of the target, ``None`` while some do.
    """

    def __init__(self, target: str, seed: int, settings: defaults.Settings):
        self.target = target
        self.queue = queues.TargetQueue()
        self.backlog = backlogs.Backlog()
        self.floors = floors.Floors(settings.floor_credit, settings.floor_window)
        self.speeds = speeds.Speeds(
            settings.default_first_token, settings.default_token_gap
        )
        self.retry_delays = retry_delays.Schedule(
            seed, settings.min_retry_delay, settings.max_retry_delay
        )
        self.full_tier = NOT_FULL
        self.rates: dict[int, float] = {}
        self.peer_level: int | None = None
        self.unserved_since: float | None = None
        self._peer_since: dict[int, float] = {}

    def update_peer_level(self, level: int | None, now: float) -> None:
        """Apply the most urgent tier under pressure at the peer routers."""
        before = self.peer_level
        if level == before:
            return
        self.peer_level = level
        self.full_tier = NOT_FULL
        if level is not None:
            end = before if before is not None else level + PRESSURE_TIERS
            self._peer_since.update((tier, now) for tier in range(level, end))

    def find_peer_seconds(self, tier: int, now: float) -> float | None:
        """Return how long any peer has had work of the tier, or more urgent, waiting.

        The result is in seconds, and ``None`` if none has.
        """
        if self.peer_level is None or self.peer_level > tier:
            return None
        return now - self._peer_since.get(tier, now)

    def update_served(self, served: bool, now: float) -> None:
        """Record whether any upstream accepts work of the target."""
        if served:
            self.unserved_since = None
        elif self.unserved_since is None:
            self.unserved_since = now

    def refresh(self) -> None:
        """Reset what is cached from one tick to the next."""
        self.full_tier = NOT_FULL
        self.rates = {}

    def enqueue(self, job: jobs.Job, now: float, first: bool = False) -> None:
        """Add a request to the queue, with ``first`` at its workspace's head."""
        job.stage = jobs.Stage.WAITING
        self.queue.push(job, first)
        self.backlog.add_waiting(job, now)
        request_class = job.arrival.request_class
        self.floors.record_enqueued(request_class, job.estimate.tokens, now)

    def dequeue(self, job: jobs.Job, stage: jobs.Stage) -> None:
        """Stop counting a request as waiting; its queue drops it by its stage."""
        job.stage = stage
        self.backlog.remove_waiting(job)
        request_class = job.arrival.request_class
        self.floors.record_dequeued(request_class, job.estimate.tokens)

    def charge(self, job: jobs.Job, now: float) -> None:
        """Charge the workspace and the class for a request that is sent."""
        tokens = job.estimate.tokens
        shares = self.queue.find_shares(job.tier)
        shares.advance(shares.find_virtual_time(job.arrival.workspace))
        shares.charge(job.arrival.workspace, tokens, job.arrival.weight)
        self.floors.charge(job.arrival.request_class, tokens, job.by_floor, now)

    def correct_charge(self, job: jobs.Job, tokens: float) -> None:
        """Charge the difference once the actual cost in tokens is known."""
        difference = tokens - job.estimate.tokens
        shares = self.queue.find_shares(job.tier)
        shares.charge(job.arrival.workspace, difference, job.arrival.weight)
        if job.by_floor:
            self.floors.correct(job.arrival.request_class, difference)
