"""Continuous batching of a model engine: slots, priorities, preemption.

Pure, without a clock. Each call of ``Batch.step`` is one forward pass over the batch
and returns the generated tokens and the duration of the pass. The caller sleeps for
that long and then delivers the tokens.

The duration of a pass grows with the batch. Prompts of new jobs are prefilled in the
same pass, which delays all jobs in the batch:

    token_interval + interval_growth * (running - 1) + uncached / prefill_rate
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Pace:
    """Speed of the engine.

    ``token_interval`` and ``interval_growth`` are in seconds, ``prefill_rate`` is in
    prompt tokens a second.
    """

    token_interval: float = 0.01
    interval_growth: float = 0.001
    prefill_rate: float = 20_000.0


@dataclasses.dataclass(frozen=True)
class Job:
    """One request in the engine.

    ``priority``: lower is more urgent. ``start`` is the index of its first token, more
    than 0 when it resumes; ``end`` is the index after its last. ``uncached`` is the
    number of prompt tokens that are not in the prefix cache.
    """

    name: str
    priority: int
    start: int
    end: int
    uncached: int = 0


@dataclasses.dataclass(frozen=True)
class Token:
    """A token generated for a job; ``last`` if it completes the job."""

    job: str
    index: int
    last: bool


@dataclasses.dataclass(frozen=True)
class Step:
    """One pass: its tokens, the preempted jobs, and its duration in seconds."""

    tokens: tuple[Token, ...]
    displaced: tuple[str, ...]
    duration: float


@dataclasses.dataclass
class Place:
    """The scheduling state of a job: its arrival number and its next token."""

    job: Job
    arrival: int
    next_index: int
    uncached: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key: the most urgent first, then the earliest."""
        return (self.job.priority, self.arrival)


class Batch:
    """The running and waiting jobs of one engine.

    >>> batch = Batch(slots=1, waiting_limit=10, pace=Pace())
    >>> batch.submit(Job("slow", priority=3, start=0, end=2))
    True
    >>> batch.step().tokens
    (Token(job='slow', index=0, last=False),)
    >>> batch.submit(Job("urgent", priority=0, start=0, end=1))
    True
    >>> batch.step().displaced
    ('slow',)
    """

    def __init__(self, slots: int, waiting_limit: int, pace: Pace):
        self.slots = slots
        self.waiting_limit = waiting_limit
        self.pace = pace
        self._arrivals = 0
        self._running: dict[str, Place] = {}
        self._waiting: dict[str, Place] = {}

    @property
    def running(self) -> tuple[str, ...]:
        """Names of the jobs in the batch, in the order in which they joined."""
        return tuple(self._running)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Names of the waiting jobs, the next to run first."""
        places = sorted(self._waiting.values(), key=lambda place: place.sort_key)
        return tuple(place.job.name for place in places)

    @property
    def held_tokens(self) -> int:
        """Number of answer tokens in the KV cache for running jobs."""
        return sum(place.next_index for place in self._running.values())

    def submit(self, job: Job) -> bool:
        """Queue the job; return False if the queue is full."""
        if len(self._waiting) >= self.waiting_limit:
            return False
        self._arrivals += 1
        place = Place(job, self._arrivals, job.start, job.uncached)
        self._waiting[job.name] = place
        return True

    def cancel(self, name: str) -> bool:
        """Remove the job; return False if it is not running or waiting."""
        found = self._running.pop(name, None) or self._waiting.pop(name, None)
        return found is not None

    def step(self) -> Step:
        """Run one pass over the batch."""
        self._fill_slots()
        displaced = self._displace()
        duration = self._compute_duration()
        tokens = tuple(self._advance(place) for place in list(self._running.values()))
        return Step(tokens, displaced, duration)

    def _fill_slots(self) -> None:
        for name in self.waiting[: self.slots - len(self._running)]:
            self._running[name] = self._waiting.pop(name)

    def _displace(self) -> tuple[str, ...]:
        """Preempt the least urgent running jobs for strictly more urgent ones."""
        displaced = []
        for name in self.waiting:
            worst = max(self._running.values(), key=lambda place: place.sort_key)
            if self._waiting[name].job.priority >= worst.job.priority:
                break
            self._waiting[worst.job.name] = self._running.pop(worst.job.name)
            self._running[name] = self._waiting.pop(name)
            displaced.append(worst.job.name)
        return tuple(displaced)

    def _compute_duration(self) -> float:
        uncached = sum(place.uncached for place in self._running.values())
        growth = self.pace.interval_growth * max(0, len(self._running) - 1)
        return self.pace.token_interval + growth + uncached / self.pace.prefill_rate

    def _advance(self, place: Place) -> Token:
        """Generate the job's next token, and remove the job after its last one."""
        place.uncached = 0
        index = place.next_index
        place.next_index += 1
        last = place.next_index >= place.job.end
        if last:
            del self._running[place.job.name]
        return Token(place.job.name, index, last)
