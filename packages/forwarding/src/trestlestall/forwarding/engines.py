"""The estimated state of one upstream, out of what was sent there and what came back.

An engine reads prompts one after another, urgent tiers first, and generates for all
running requests in steps; a step that also reads a part of a prompt takes longer, which
delays every stream on that engine. So the tokens that an engine still has to read
matter more than how many requests it runs.
"""

import collections
import dataclasses
from collections import abc

from trestlestall.forwarding import descriptors

#: Prompt tokens that an engine reads in a second, until first events teach better.
FIRST_READ_RATE = 45_000.0
#: Tokens of a prompt at which reading takes twice as long as their number says, since
#: each token attends to all before it.
ATTENTION_TOKENS = 90_000
#: How far one observed first event moves the estimate of the rate.
LEARNING = 0.15
#: Shortest predicted reading, in seconds, that says anything about the rate.
SHORTEST_LESSON = 0.03
#: A first event is overdue after so many times its prediction and so much of its
#: target: twice what nine in ten first events took on quiet days.
OVERDUE_FACTOR = 2.0
OVERDUE_SHARE = 0.5
#: Bounds of a learned rate, against one wild observation.
RATE_BOUNDS = (2_000.0, 500_000.0)
#: How far one outcome moves the estimate of how often an upstream fails.
FAILURE_LEARNING = 0.12
#: Parts that are remembered for each upstream, where its memory isn't declared.
PARTS_KEPT = 4096

#: A part of a prompt, for one model.
PartKey = tuple[str, str]


#: The pause between two events, in seconds, of a stream whose engine reads a long
#: prompt all the while: some steps, each with a part of the prompt in it. Measured from
#: 0.06 to 0.2 s (docs/benchmarks.md).
READING_PAUSE = 0.1


def weigh_pause(pause_seconds: float | None) -> float:
    """Return how likely a stream is to pause for too long beside a long prompt.

    About 1 where the longest pause that is on time is what reading causes, and falling
    with the square of it.
    """
    return (READING_PAUSE / pause_seconds) ** 2 if pause_seconds else 0.0


@dataclasses.dataclass
class Task:
    """One request at an upstream; times in seconds of the monotonic clock.

    ``unread`` are the prompt tokens that the engine has to read for it, ``left`` the
    seconds of reading that are estimated to be left of them.
    """

    descriptor: descriptors.Descriptor
    identity: str
    unread: int
    placed_at: float
    predicted: float
    left: float = 0.0
    began: bool = False

    @property
    def tokens(self) -> int:
        """Tokens of the engine's memory that the request is expected to take."""
        return self.descriptor.tokens_in + self.descriptor.expected_tokens_out

    def find_overdue(self, now: float) -> float:
        """Return the seconds by which the first event is late, beyond usual errors."""
        due = OVERDUE_FACTOR * self.predicted
        due += OVERDUE_SHARE * self.descriptor.first_seconds
        return max(0.0, now - self.placed_at - due)


def rank_task(task: Task) -> tuple[int, float]:
    """Return the place of a task in the order of reading."""
    return task.descriptor.tier, task.placed_at


class Upstream:
    """What is estimated of one incarnation."""

    def __init__(self, identity: str, slots: int, memory_tokens: int) -> None:
        self.identity = identity
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.read_rate = FIRST_READ_RATE
        self.failure_rates: dict[str, float] = {}
        self.reachable = True
        self.tasks: dict[str, Task] = {}
        self._advanced_at = 0.0
        self._parts: collections.OrderedDict[PartKey, int] = collections.OrderedDict()
        self._part_tokens = 0

    # What a choice asks.

    def count_unread(self, descriptor: descriptors.Descriptor) -> int:
        """Return the prompt tokens that this engine would have to read."""
        held = 0
        for part in descriptor.parts:
            if (descriptor.model, part.identity) not in self._parts:
                break
            held += part.tokens
        return max(0, descriptor.tokens_in - held)

    def count_read_again(
        self, descriptor: descriptors.Descriptor, used: abc.Mapping[PartKey, float]
    ) -> int:
        """Return the tokens of shared parts that another engine has read already.

        ``used`` holds the parts that some engine has used lately. The last part belongs
        to the request itself and is not shared.
        """
        tokens, held = 0, True
        for part in descriptor.parts[:-1]:
            key = (descriptor.model, part.identity)
            held = held and key in self._parts
            if not held and key in used:
                tokens += part.tokens
        return tokens

    def find_reading(self, tokens: int) -> float:
        """Return the seconds that reading so many tokens of one prompt takes."""
        return tokens * (1 + tokens / ATTENTION_TOKENS) / self.read_rate

    def find_backlog(self, now: float) -> float:
        """Return the seconds of reading that all prompts here still need."""
        self._advance(now)
        return sum(task.left for task in self.tasks.values())

    def find_wait(self, now: float, tier: int) -> float:
        """Return the seconds until the engine gets to a new prompt of the tier.

        If the engine is late with one that comes before, it is taken to be as late with
        the next: that is how an upstream shows first that it is slow or stands still.
        """
        self._advance(now)
        before = [
            task
            for task in self.tasks.values()
            if not task.began and task.descriptor.tier <= tier
        ]
        overdue = max((task.find_overdue(now) for task in before), default=0.0)
        return sum(task.left for task in before) + overdue

    def find_tightness(self) -> float:
        """Return how much a long prompt would hurt the streams that run here.

        See ``weigh_pause``.
        """
        return sum(
            weigh_pause(task.descriptor.pause_seconds) for task in self.tasks.values()
        )

    def find_memory_share(self, descriptor: descriptors.Descriptor) -> float:
        """Return the part of the memory that would be taken with this request."""
        if not self.memory_tokens:
            return 0.0
        taken = sum(task.tokens for task in self.tasks.values())
        own = descriptor.tokens_in + descriptor.expected_tokens_out
        return (taken + own) / self.memory_tokens

    # What happens.

    def begin(self, task: Task, now: float) -> None:
        """Note that a request is being sent here."""
        self.tasks[task.descriptor.request_id] = task
        self._advance(now)
        task.left = self.find_reading(task.unread)
        self._remember(task.descriptor)

    def note_first(self, request_id: str, now: float) -> None:
        """Note a request's first event: its prompt has been read."""
        task = self.tasks.get(request_id)
        if task is None or task.began:
            return
        self._advance(now)
        task.began = True
        task.left = 0.0
        self._learn_rate(task, now - task.placed_at)

    def end(self, request_id: str, now: float) -> Task | None:
        """Note that a request is no longer here."""
        self._advance(now)
        return self.tasks.pop(request_id, None)

    def note_outcome(self, data_centre: str, failed: bool) -> None:
        """Learn from an answer or its lack; some callers may fare worse than others."""
        known = self.failure_rates.get(data_centre, 0.0)
        self.failure_rates[data_centre] = known + FAILURE_LEARNING * (failed - known)

    def find_failure_rate(self, data_centre: str) -> float:
        """Return how often requests from the data centre failed lately."""
        return self.failure_rates.get(data_centre, 0.0)

    def _learn_rate(self, task: Task, seconds: float) -> None:
        if task.predicted < SHORTEST_LESSON:
            return
        ratio = min(4.0, max(0.25, task.predicted / max(seconds, 0.001)))
        rate = self.read_rate * ratio**LEARNING
        self.read_rate = min(RATE_BOUNDS[1], max(RATE_BOUNDS[0], rate))

    def _advance(self, now: float) -> None:
        """Take what was read since the last time off the prompts, in their order."""
        seconds, self._advanced_at = now - self._advanced_at, now
        waiting = [task for task in self.tasks.values() if task.left > 0]
        for task in sorted(waiting, key=rank_task):
            taken = min(task.left, seconds)
            task.left -= taken
            seconds -= taken
            if seconds <= 0:
                return

    def _remember(self, descriptor: descriptors.Descriptor) -> None:
        """Note that the prompt's parts will be held here, the newest longest."""
        for part in descriptor.parts:
            key = (descriptor.model, part.identity)
            self._part_tokens += part.tokens - self._parts.pop(key, 0)
            self._parts[key] = part.tokens
        while self._parts and self._is_full():
            _, tokens = self._parts.popitem(last=False)
            self._part_tokens -= tokens

    def _is_full(self) -> bool:
        if not self.memory_tokens:
            return len(self._parts) > PARTS_KEPT
        running = sum(task.tokens for task in self.tasks.values())
        return self._part_tokens > max(0, self.memory_tokens - running)
