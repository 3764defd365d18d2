"""Continuous batching as a model engine does it: slots, priorities, displacement.

Pure: there is no clock. Each call of ``Batch.step`` is one pass of the engine over its
batch. It says which tokens the pass makes and how long the pass takes; whoever drives
the batch sleeps for that long and then hands the tokens out.

The duration of a pass grows with the batch, and the prompts that joined it have to be
read first (prefill), which delays everybody in it:

    token_interval + interval_growth * (running - 1) + uncached / prefill_rate
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Pace:
    """Speed of the engine.

    ``token_interval`` and ``interval_growth`` are seconds, ``prefill_rate`` is prompt
    tokens a second.
    """

    token_interval: float = 0.01
    interval_growth: float = 0.001
    prefill_rate: float = 20_000.0


@dataclasses.dataclass(frozen=True)
class Job:
    """One request in the engine.

    ``priority``: lower is more urgent. ``start`` is the place of its first token, more
    than 0 when it resumes; ``end`` is the place after its last. ``uncached`` counts the
    prompt tokens that no cached prefix holds.
    """

    name: str
    priority: int
    start: int
    end: int
    uncached: int = 0


@dataclasses.dataclass(frozen=True)
class Token:
    """A token made for a job; ``last`` when the job is done with it."""

    job: str
    index: int
    last: bool


@dataclasses.dataclass(frozen=True)
class Step:
    """One pass: its tokens, the jobs it displaced, and its duration in seconds."""

    tokens: tuple[Token, ...]
    displaced: tuple[str, ...]
    duration: float


@dataclasses.dataclass
class Place:
    """A job's place in the engine: its arrival number and its next token."""

    job: Job
    arrival: int
    next_index: int
    uncached: int

    @property
    def urgency(self) -> tuple[int, int]:
        """Sort key: the most urgent first, then the first come."""
        return (self.job.priority, self.arrival)


class Batch:
    """The running and the waiting jobs of one engine.

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
        """Names of the jobs in the batch, in order of joining."""
        return tuple(self._running)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Names of the jobs that wait, the next to run first."""
        places = sorted(self._waiting.values(), key=lambda place: place.urgency)
        return tuple(place.job.name for place in places)

    @property
    def held_tokens(self) -> int:
        """Answer tokens of the running jobs whose KV blocks the engine holds."""
        return sum(place.next_index for place in self._running.values())

    def submit(self, job: Job) -> bool:
        """Let the job wait for a slot; False when the queue is at its limit."""
        if len(self._waiting) >= self.waiting_limit:
            return False
        self._arrivals += 1
        place = Place(job, self._arrivals, job.start, job.uncached)
        self._waiting[job.name] = place
        return True

    def cancel(self, name: str) -> bool:
        """Take the job out; False when it is not here (any more)."""
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
        """Pause the least urgent running jobs for strictly more urgent waiting ones."""
        displaced = []
        for name in self.waiting:
            worst = max(self._running.values(), key=lambda place: place.urgency)
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
        """Make the job's next token and take it out when that was its last."""
        place.uncached = 0
        index = place.next_index
        place.next_index += 1
        last = place.next_index >= place.job.end
        if last:
            del self._running[place.job.name]
        return Token(place.job.name, index, last)
