"""The stand-in engine without its HTTP: batch, cache, streams, counts and faults.

One greenlet runs the passes of the batch and queues each token for its stream. The
streams are greenlets of the HTTP server that wait for their tokens.
"""

import collections
import dataclasses
import os
import time
from collections import abc

import eventlet
from eventlet import event, queue

from trestlestall.standins import batching, caching, counting, faults, prompts

RATE_WINDOW_SECONDS = 1.0
CRASH_STATUS = 70


@dataclasses.dataclass(frozen=True)
class Settings:
    """The engine's settings; times in seconds, sizes in tokens or cache blocks."""

    name: str
    data_centre: str
    models: tuple[str, ...]
    slots: int = 8
    waiting_limit: int = 1000
    pace: batching.Pace = batching.Pace()
    cache_blocks: int = 512
    kv_tokens: int = 65_536
    event_delay: float = 1.0
    event_gap_every: int = 10
    report_lag: float = 0.5
    honours_priorities: bool = True
    checks_fencing: bool = True
    weights: str = ""
    load_seconds: float = 0.2


@dataclasses.dataclass(frozen=True)
class Load:
    """The engine's load at the wall-clock time ``at`` in seconds."""

    at: float
    running: int
    waiting: int
    tokens_per_second: float
    kv_used: float


@dataclasses.dataclass(frozen=True)
class Piece:
    """A token queued for its stream, or the stream's early end.

    ``end`` is empty within the answer, ``completed`` with its last token, and
    ``cancelled`` or ``broken`` if the run ended early.
    """

    index: int
    end: str = ""


@dataclasses.dataclass
class Run:
    """One run of a request: its job's name, token count and queue of tokens."""

    attempt: str
    name: str
    prompt: prompts.Prompt
    cached_tokens: int
    made: int = 0
    pieces: queue.Queue = dataclasses.field(default_factory=queue.Queue)


class Engine:
    """A model engine with synthetic answers."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.counts = counting.Counts()
        self.cache = caching.PrefixCache(settings.cache_blocks)
        self.feed = caching.Feed(settings.event_delay, settings.event_gap_every)
        self.faults = faults.Faults()
        pace = settings.pace
        self.batch = batching.Batch(settings.slots, settings.waiting_limit, pace)
        self._runs: dict[str, Run] = {}
        self._number = 0
        self._work = event.Event()
        self._loads: collections.deque[Load] = collections.deque(maxlen=256)
        self._rates: collections.deque[tuple[float, int]] = collections.deque()

    # Requests.

    def open_run(
        self, attempt: str, prompt: prompts.Prompt, priority: int, start: int, end: int
    ) -> Run | None:
        """Queue a run that generates the tokens ``start`` to ``end``, exclusive.

        Returns None if the queue is full.
        """
        change = self.cache.use(caching.hash_blocks(prompt.text))
        self.publish(change)
        per_block = caching.BLOCK_CHARACTERS // prompts.CHARACTERS_PER_TOKEN
        cached = min(prompt.tokens, change.hits * per_block)
        self._number += 1
        run = Run(attempt, f"{attempt}#{self._number}", prompt, cached)
        urgency = priority if self.settings.honours_priorities else 0
        job = batching.Job(run.name, urgency, start, end, prompt.tokens - cached)
        if not self.batch.submit(job):
            self.counts.refused += 1
            return None
        self._runs[run.name] = run
        self.counts.record_request(attempt, prompt.identity)
        self.counts.cache_hit_tokens += cached
        self.counts.prompt_tokens += prompt.tokens
        self._wake()
        return run

    def read_pieces(self, run: Run) -> abc.Iterator[Piece]:
        """Yield the run's tokens as they are generated, the last with the run's end."""
        while True:
            piece = run.pieces.get()
            yield piece
            if piece.end:
                return

    def publish(self, change: caching.Change) -> None:
        """Publish a change of the cache, delayed and with gaps."""
        self.feed.publish(change, time.time())

    def end_run(self, run: Run, outcome: str) -> None:
        """End a run early; does nothing if it has ended already."""
        if self._runs.pop(run.name, None) is None:
            return
        self.batch.cancel(run.name)
        self.counts.record_end(outcome, run.made)
        run.pieces.put(Piece(run.made, outcome))

    def cancel(self, attempt: str) -> int:
        """Cancel every run of the attempt, and return their number."""
        found = [run for run in self._runs.values() if run.attempt == attempt]
        for run in found:
            self.end_run(run, "cancelled")
        return len(found)

    @property
    def busy(self) -> bool:
        """Whether any run has not ended."""
        return bool(self._runs)

    # Passes.

    def run_passes(self) -> None:
        """Run passes forever, in a greenlet of its own."""
        while True:
            if self.batch.running or self.batch.waiting:
                self._run_pass()
            else:
                self._work = event.Event()
                self._work.wait()

    def _run_pass(self) -> None:
        if self.faults.tokens_left == 0:
            eventlet.sleep(self.settings.pace.token_interval)
            return
        step = self.batch.step()
        self.counts.displaced += len(step.displaced)
        eventlet.sleep(step.duration * self.faults.factor)
        self._record_rate(len(step.tokens))
        for token in step.tokens:
            self._deliver(token)

    def _deliver(self, token: batching.Token) -> None:
        self.counts.tokens += 1
        run = self._runs.get(token.job)
        if run is None:
            # Cancelled during the pass, so the token is wasted.
            self.counts.wasted += 1
            return
        run.made += 1
        if token.last:
            # Removed here, so that a disconnect after the last token has no effect.
            del self._runs[run.name]
            self.counts.record_end("completed", run.made)
        run.pieces.put(Piece(token.index, "completed" if token.last else ""))
        self._decrement_fault_tokens()

    def _decrement_fault_tokens(self) -> None:
        left = self.faults.tokens_left
        if left:
            self.faults = dataclasses.replace(self.faults, tokens_left=left - 1)

    def _wake(self) -> None:
        if not self._work.ready():
            self._work.send()

    # Faults.

    def set_faults(self, wanted: faults.Faults) -> None:
        """Replace the current faults."""
        self.faults = wanted

    def consume_crash(self, made: int) -> bool:
        """Return once whether to cut the stream that sent ``made`` tokens.

        Exits the process instead if the fault says so.
        """
        if self.faults.crash_after is None or made < self.faults.crash_after:
            return False
        if self.faults.crash_exits:
            os._exit(CRASH_STATUS)
        self.faults = faults.Faults()
        return True

    # Load.

    def _record_rate(self, tokens: int) -> None:
        now = time.time()
        self._rates.append((now, tokens))
        while self._rates and self._rates[0][0] < now - RATE_WINDOW_SECONDS:
            self._rates.popleft()

    def measure_load(self) -> Load:
        """Return the current load."""
        now = time.time()
        recent = (count for at, count in self._rates if at >= now - RATE_WINDOW_SECONDS)
        return Load(
            at=now,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            tokens_per_second=sum(recent) / RATE_WINDOW_SECONDS,
            kv_used=min(1.0, self.batch.held_tokens / self.settings.kv_tokens),
        )

    def sample_load(self, interval: float = 0.1) -> None:
        """Measure the load forever, so that reports can be delayed."""
        while True:
            self._loads.append(self.measure_load())
            eventlet.sleep(interval)

    def report_load(self) -> Load:
        """Return the load as of ``report_lag`` seconds ago."""
        cutoff = time.time() - self.settings.report_lag
        old = [load for load in self._loads if load.at <= cutoff]
        return old[-1] if old else (self._loads or [self.measure_load()])[0]
