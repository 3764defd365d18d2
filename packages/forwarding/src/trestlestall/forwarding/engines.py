"""The estimated state of one upstream, from the requests sent there and their events.

An engine prefills prompts one after another, urgent ones first, and decodes for all
running requests in steps. A step that also prefills a chunk of a prompt takes longer,
which delays every stream on that engine. So the tokens that an engine still has to
prefill matter more than the number of its requests.
"""

import collections
import dataclasses
import math

from trestlestall.forwarding import descriptors, pauses, prefix_cache, speeds

#: Tokens of a prompt at which prefill takes twice as long as their number suggests,
#: since each token attends to all before it.
ATTENTION_TOKENS = 90_000
#: A first event is overdue after this multiple of its prediction plus this share of its
#: target: twice what nine in ten first events took on quiet days.
OVERDUE_FACTOR = 2.0
OVERDUE_SHARE = 0.5
#: The same where predictions come from a Kalman estimator: requests that are admitted
#: behind a late prompt would be late as well.
ACCURATE_OVERDUE_FACTOR = 1.0
ACCURATE_OVERDUE_SHARE = 0.05
#: Weight of one outcome in the moving average of an upstream's failure rate.
FAILURE_SMOOTHING = 0.12
#: Share of the memory up to which a first event is a sample of the prefill speed.
SAMPLE_MEMORY_SHARE = 0.9
#: Seconds that a request uses its slot, until requests have ended, and the weight of
#: one request in the moving average.
INITIAL_SLOT_SECONDS = 2.0
SLOT_SMOOTHING = 0.05
#: Seconds of prefill from which on a prompt is long: beside shorter ones, streams don't
#: pause for longer than between other steps.
LONG_PREFILL_SECONDS = 0.06
#: Seconds over which the share of time for prefill of long prompts is averaged; about
#: as long as most streams run.
PREFILL_DUTY_SECONDS = 2.0


@dataclasses.dataclass
class Task:
    """One request at an upstream; times in seconds of the monotonic clock.

    ``unread`` are the prompt tokens that the engine has to prefill for it,
    ``prefill_left`` the estimated seconds of prefill that remain. ``prefill_before`` is
    the engine's total of long prefill in seconds when the first event came.
    ``is_fully_observed`` tells whether its whole course was observed here: otherwise
    its times are no samples of the engine.
    """

    descriptor: descriptors.Descriptor
    identity: str
    unread: int
    placed_at: float
    predicted: float
    prefill_seconds: float = 0.0
    prefill_left: float = 0.0
    has_begun: bool = False
    was_queued: bool = False
    prefill_before: float = 0.0
    is_fully_observed: bool = True

    @property
    def tokens(self) -> int:
        """Tokens of the engine's memory that the request is expected to take."""
        return self.descriptor.tokens_in + self.descriptor.expected_tokens_out

    def compute_overdue(self, now: float, is_accurate: bool = False) -> float:
        """Return the seconds by which the first event is late, beyond usual errors.

        ``is_accurate`` tells that the prediction comes from a Kalman estimator.
        """
        factor = ACCURATE_OVERDUE_FACTOR if is_accurate else OVERDUE_FACTOR
        share = ACCURATE_OVERDUE_SHARE if is_accurate else OVERDUE_SHARE
        due = factor * self.predicted + share * self.descriptor.first_seconds
        return max(0.0, now - self.placed_at - due)


def get_prefill_order(task: Task) -> tuple[int, float]:
    """Return the sort key of the order in which tasks are prefilled."""
    return task.descriptor.rank, task.placed_at


class Upstream:
    """The estimated state of one incarnation of an upstream."""

    def __init__(self, identity: str, slots: int, memory_tokens: int) -> None:
        self.identity = identity
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.estimator: speeds.Estimator = speeds.RatioEstimator()
        self.failure_rates: dict[str, float] = {}
        self.reachable = True
        self.token_seconds = 0.0
        self.link_free_at = float("-inf")
        self.tasks: dict[str, Task] = {}
        #: Tasks without a first event, counted since each choice reads all upstreams.
        self.waiting = 0
        self.pauses = pauses.Pauses()
        self.slot_seconds = INITIAL_SLOT_SECONDS
        #: Number of requests here by the longest pause of their streams, in seconds.
        self.targets: collections.Counter[float] = collections.Counter()
        #: Tokens of all tasks, counted since each choice reads all upstreams.
        self._task_tokens = 0
        self._prefilled_seconds = 0.0
        self._prefill_duty = 0.0
        self._prefilling: Task | None = None
        self._last_first_event_at = float("-inf")
        self._advanced_at = 0.0
        self.prefix_cache = prefix_cache.PrefixCache()

    # Queries of a choice.

    @property
    def prefill_rate(self) -> float:
        """The estimated prefill speed in prompt tokens a second."""
        return self.estimator.rate

    def count_uncached(self, descriptor: descriptors.Descriptor) -> int:
        """Return the prompt tokens that this engine would have to prefill."""
        return self.prefix_cache.count_uncached(descriptor)

    def estimate_prefill_seconds(self, tokens: int) -> float:
        """Return the seconds of prefill for so many tokens of one prompt."""
        return compute_prefill_work(tokens) / self.prefill_rate

    def find_backlog(self, now: float) -> float:
        """Return the seconds of prefill that the long prompts here still need."""
        self._advance(now)
        return sum(
            task.prefill_left
            for task in self.tasks.values()
            if task.prefill_seconds >= LONG_PREFILL_SECONDS
        )

    def find_wait(self, now: float, rank: int) -> float:
        """Return the seconds until the engine begins with a new prompt of the rank.

        If the engine is late with a prompt that comes before, the next one is expected
        to be as late: this is the first evidence that an upstream is slow or stalled.
        """
        self._advance(now)
        before = [
            task
            for task in self.tasks.values()
            if not task.has_begun and task.descriptor.rank <= rank
        ]
        is_accurate = isinstance(self.estimator, speeds.KalmanEstimator)
        late = (task.compute_overdue(now, is_accurate) for task in before)
        overdue = max(late, default=0.0)
        wait = sum(task.prefill_left for task in before) + overdue
        current = self._prefilling
        if current is not None and current.descriptor.rank > rank:
            # A prefill that has begun runs to its end.
            wait += current.prefill_left
        return wait

    def find_slot_wait(self, rank: int) -> float:
        """Return the seconds until a slot is free for a new request of the rank.

        Less urgent requests are preempted for it.
        """
        before = sum(task.descriptor.rank <= rank for task in self.tasks.values())
        return max(0, before - self.slots + 1) * self.slot_seconds / self.slots

    def has_less_urgent(self, rank: int) -> bool:
        """Return whether a request is here that the rank would preempt."""
        return any(task.descriptor.rank > rank for task in self.tasks.values())

    def find_pause_risk(
        self, target: float | None, backlog: float, prefill_seconds: float
    ) -> float:
        """Return the expected number of additional streams that pause for too long.

        The new stream is included. ``backlog`` are the seconds of prefill that remain
        here, ``prefill_seconds`` those that the new request adds. Streams that pause
        for too long anyway don't count, so that long prompts gather at few engines.
        """
        backlog += self._prefill_duty * PREFILL_DUTY_SECONDS
        risk = self.pauses.estimate_late_share(target, backlog)
        for other, count in self.targets.items():
            after = self.pauses.estimate_late_share(other, backlog + prefill_seconds)
            risk += count * (after - self.pauses.estimate_late_share(other, backlog))
        return risk

    def _has_free_memory(self) -> bool:
        """Return whether prompts are prefilled as they come.

        One that waits for memory is no sample of the prefill speed.
        """
        if (
            not isinstance(self.estimator, speeds.KalmanEstimator)
            or not self.memory_tokens
        ):
            return True
        return self._task_tokens <= SAMPLE_MEMORY_SHARE * self.memory_tokens

    def find_memory_share(self, descriptor: descriptors.Descriptor) -> float:
        """Return the share of the memory that would be used with this request."""
        if not self.memory_tokens:
            return 0.0
        own = descriptor.tokens_in + descriptor.expected_tokens_out
        return (self._task_tokens + own) / self.memory_tokens

    # Events.

    def begin(self, task: Task, now: float) -> None:
        """Record that a request is being sent here."""
        self._remove_task(task.descriptor.request_id)
        self.tasks[task.descriptor.request_id] = task
        self.waiting += 1
        self._task_tokens += task.tokens
        if task.descriptor.pause_seconds:
            self.targets[task.descriptor.pause_seconds] += 1
        self._advance(now)
        task.was_queued = any(one.prefill_left > 0 for one in self.tasks.values())
        task.prefill_seconds = task.prefill_left = self.estimate_prefill_seconds(
            task.unread
        )
        self.prefix_cache.add_blocks(task.descriptor, self._count_free_tokens())

    def record_first_event(self, request_id: str, now: float) -> None:
        """Record a request's first event: its prompt has been prefilled."""
        task = self.tasks.get(request_id)
        if task is None or task.has_begun:
            return
        self._advance(now)
        task.has_begun = True
        self.waiting -= 1
        task.prefill_left = 0.0
        self.prefix_cache.record_prefilled(task.descriptor)
        task.prefill_before = self._prefilled_seconds
        sample = speeds.Sample(
            task.predicted,
            now - task.placed_at,
            compute_prefill_work(task.unread),
            self._last_first_event_at - task.placed_at,
            task.was_queued,
        )
        self._last_first_event_at = now
        if task.is_fully_observed and self._has_free_memory():
            self.estimator.learn(sample)

    def end(self, request_id: str, now: float, pause: float = 0.0) -> Task | None:
        """Record that a request is no longer here.

        ``pause`` is the longest pause of its stream in seconds; 0 if unknown.
        """
        self._advance(now)
        task = self._remove_task(request_id)
        if task is not None and task.has_begun:
            slot_held = now - task.placed_at
            self.slot_seconds += SLOT_SMOOTHING * (slot_held - self.slot_seconds)
            if pause and task.is_fully_observed:
                self.pauses.learn(pause, self._prefilled_seconds - task.prefill_before)
        return task

    def _count_free_tokens(self) -> int | None:
        """Return the memory that tasks are not expected to use; None if undeclared."""
        if not self.memory_tokens:
            return None
        return max(0, self.memory_tokens - self._task_tokens)

    def _remove_task(self, request_id: str) -> Task | None:
        task = self.tasks.pop(request_id, None)
        if task is None:
            return None
        self._task_tokens -= task.tokens
        self.waiting -= not task.has_begun
        if task is self._prefilling:
            self._prefilling = None
        target = task.descriptor.pause_seconds
        if target:
            self.targets[target] -= 1
            if not self.targets[target]:
                del self.targets[target]
        return task

    def record_outcome(self, data_centre: str, failed: bool) -> None:
        """Update the failure rate that callers of the data centre see."""
        known = self.failure_rates.get(data_centre, 0.0)
        self.failure_rates[data_centre] = known + FAILURE_SMOOTHING * (failed - known)

    def find_failure_rate(self, data_centre: str) -> float:
        """Return the recent failure rate of requests from the data centre."""
        return self.failure_rates.get(data_centre, 0.0)

    def _advance(self, now: float) -> None:
        """Subtract the prefill since the last call from the prompts, in their order."""
        seconds, self._advanced_at = now - self._advanced_at, now
        if seconds <= 0:
            return
        before = self._prefilled_seconds
        self._advance_prefills(seconds)
        share = (self._prefilled_seconds - before) / seconds
        weight = 1 - math.exp(-seconds / PREFILL_DUTY_SECONDS)
        self._prefill_duty += weight * (share - self._prefill_duty)

    def _advance_prefills(self, seconds: float) -> None:
        waiting = [task for task in self.tasks.values() if task.prefill_left > 0]
        waiting.sort(key=get_prefill_order)
        if self._prefilling in waiting:
            waiting.remove(self._prefilling)
            waiting.insert(0, self._prefilling)
        self._prefilling = None
        for task in waiting:
            self._prefilling = task
            taken = min(task.prefill_left, seconds)
            task.prefill_left -= taken
            if task.prefill_seconds >= LONG_PREFILL_SECONDS:
                self._prefilled_seconds += taken
            seconds -= taken
            if task.prefill_left > 0:
                return
        self._prefilling = None


def compute_prefill_work(tokens: int) -> float:
    """Return the work of prefilling a prompt, in tokens of a short one.

    >>> compute_prefill_work(45_000)
    67500.0
    """
    return tokens * (1 + tokens / ATTENTION_TOKENS)
