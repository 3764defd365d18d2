"""Jobs, which track admitted requests to their end, and their attempts."""

import dataclasses
import enum

from trestlestall.policy import arrivals, estimates


class Stage(enum.Enum):
    """The stage of a job. In ``CLAIMING`` it waits for the answer to its claim."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request to one upstream.

    ``tokens`` counts answer tokens from the answer's first; a resumed attempt begins at
    ``resumed_at``. ``version`` is that of its upstream's software. ``floor`` says that
    it was sent under its class's floor, ``non_preemptible`` that its upstream would not
    preempt it for more urgent work.
    """

    name: str
    job: "Job"
    upstream: str
    incarnation: int
    priority: int
    sent_at: float
    floor: bool = False
    non_preemptible: bool = False
    tokens: int = 0
    resumed_at: int = 0
    first_at: float | None = None
    sampled_at: float = 0.0
    sampled_tokens: int = 0
    version: str = ""

    @property
    def started(self) -> bool:
        """Whether the attempt has brought its first token."""
        return self.first_at is not None


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One request from admission to its end.

    ``answering`` is the attempt whose bytes go to the caller. ``may_have_run`` is set
    once an attempt ended without proof that it did not run; from then on the request
    can no longer fail as ``not_run``. ``excluded`` holds the names of upstreams not to
    send to again. ``borrowed_before`` and ``queued_before`` are the slot-seconds that
    less urgent work had borrowed, and that the workspace had added, when it was queued.
    """

    arrival: arrivals.Arrival
    estimate: estimates.Estimate
    stage: Stage = Stage.WAITING
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    answering: Attempt | None = None
    claimed: bool = False
    may_have_run: bool = False
    sends: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    by_floor: bool = False
    borrowed_before: float = 0.0
    queued_before: float = 0.0

    @property
    def name(self) -> str:
        """The request's name."""
        return self.arrival.request

    @property
    def tier(self) -> int:
        """The request's tier."""
        return self.arrival.request_class.tier

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.arrival.request_class.idempotent

    @property
    def delivered(self) -> int:
        """The number of tokens that have reached the caller."""
        if self.answering is None or not self.arrival.stream:
            return 0
        return self.answering.tokens
