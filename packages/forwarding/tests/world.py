"""Engines, callers and a placer in virtual time: what callers get under a load.

    found = world.play(world.World(), world.BURST, seed=1)
    found["verdict"].on_time

Engines prefill prompts in chunks between the decode steps of all running streams,
urgent ones first, cache the blocks of prompts until their memory is full, and emit one
event per ``stride`` tokens. The figures of ``Engine`` are those that an operator states
of real ones. A caller whose request is refused retries once, after the given time; one
that gets no event for too long leaves. Results are measured from the first try. Engines
may differ in speed, and each has slowdown episodes in which its steps take longer.
Blocks that are fetched from another engine use the links of both, one transfer after
another. A partition between data centres breaks all that runs across it: a resumable
stream is placed again, another one is lost.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from trestlestall.forwarding import (
    descriptors,
    feature_flags as features,
    fetching,
    model,
    placement,
    upstreams,
)

#: Network delay between a gateway and an engine in one direction.
NETWORK_SECONDS = 0.004
SERVICE = "engines"
#: Slowdown episodes: the factor on the time of a step, the share of the time that an
#: engine has one, and the seconds after which that is drawn again.
SLOWDOWN_FACTOR = 2.5
SLOWDOWN_SHARE = 0.15
SLOWDOWN_SECONDS = 0.6


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests: targets in seconds, sizes in tokens, and worth.

    Requests share two blocks: the first of ``base_tokens`` in ``bases`` variants, the
    second of ``subject_tokens`` on average in ``subjects`` variants.
    """

    name: str
    tier: int
    first: float
    pause: float
    total: float
    tokens: float
    events: float
    base_tokens: int
    bases: int
    subject_tokens: int
    subjects: int
    worth: float
    late_worth: float
    resumable: bool = False

    @property
    def timeout(self):
        """How long a caller waits for an event before it leaves, in seconds."""
        return max(2.0, 4 * self.first, 8 * self.pause)


VERDICT = RequestClass(
    "verdict", 1, 0.6, 0.3, 6.0, 2890, 17, 2520, 4, 3780, 74, 3.6, 1.1, True
)
NOTE = RequestClass("note", 0, 0.6, 0.2, 15.0, 628, 97, 119, 8, 79, 224, 1.7, 0.16)


@dataclasses.dataclass(frozen=True)
class Phase:
    """Requests of one class at a rate a second, from ``start`` to ``end``."""

    request_class: RequestClass
    rate: float
    start: float
    end: float


@dataclasses.dataclass
class ClassStats:
    """What the callers of one class got.

    Of those that are ``late``, ``returned_on_time`` were on time from their retry.
    """

    asked: int = 0
    on_time: int = 0
    returned_on_time: int = 0
    late: int = 0
    abandoned: int = 0
    refused: int = 0
    late_first: int = 0
    late_pause: int = 0

    def find_share(self, request_class):
        """Return the share of the requests' worth that was earned."""
        earned = (
            self.on_time + self.late * request_class.late_worth / request_class.worth
        )
        return earned / max(1, self.asked)


@dataclasses.dataclass
class Run:
    """One request, first with its caller, then at an engine."""

    request_class: RequestClass
    request: str
    asked_at: float
    parts: tuple
    own: int
    events: int
    data_centre: str = "a"
    returned: bool = False
    tried_at: float = 0.0
    unread: int = 0
    context: int = 0
    tokens: int = 0
    last_event_at: float = 0.0
    first: float | None = None
    longest: float = 0.0
    order: tuple = ()
    fetch_from: str = ""
    done: bool = False
    engine: object = None

    @property
    def size(self):
        """Tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts) + self.own


class Engine:
    """One engine; all times in seconds."""

    step = 0.00555
    step_of_run = 0.000029
    step_of_thousand = 0.0000152
    prefill_rate = 42_600.0
    pairs = 0.55e-9
    chunk = 2048
    stride = 3
    speed = 1.0
    has_slowdowns = False
    #: Seconds from the last chunk of a prompt to its first event.
    first_seconds = 0.0
    #: Whether a request waits until its prompt and answer fit beside running ones.
    has_memory_bound = False

    def __init__(self, identity, slots, memory, data_centre):
        self.identity = identity
        self.slots = slots
        self.memory = memory
        self.data_centre = data_centre
        self.queue = []
        self.running = []
        self.cached = collections.OrderedDict()
        self.busy = False
        self.prefilled_tokens = 0
        self.link_free_at = 0.0

    def get_slowdown(self, now):
        """Return how long a step takes now, in multiples of its usual time."""
        if not self.has_slowdowns:
            return 1 / self.speed
        drawn = random.Random(f"{self.identity}/{int(now / SLOWDOWN_SECONDS)}").random()
        return (SLOWDOWN_FACTOR if drawn < SLOWDOWN_SHARE else 1.0) / self.speed

    def admit(self):
        """Admit requests to free slots, the most urgent first."""
        self.queue.sort(key=lambda run: run.order)
        while self.queue and len(self.running) < self.slots:
            if not self.has_memory(self.queue[0]):
                break
            run = self.queue.pop(0)
            self.running.append(run)
            cached, is_prefix = 0, True
            for part, tokens in run.parts:
                is_prefix = is_prefix and part in self.cached
                cached += tokens if is_prefix else 0
                self.cached.pop(part, None)
                self.cached[part] = tokens
            self.cached[run.request] = run.own
            run.unread = run.size - cached
            run.context = cached
        taken = sum(run.own + run.tokens for run in self.running)
        while self.cached and sum(self.cached.values()) + taken > self.memory:
            self.cached.popitem(last=False)

    def has_memory(self, run):
        """Return whether a request fits beside the running ones."""
        if not self.has_memory_bound or not self.running:
            return True
        taken = sum(one.size + one.tokens for one in self.running)
        return taken + run.size <= self.memory

    def make_step(self):
        """Return the seconds of the next step, and the runs that made a token."""
        remaining, seconds = (
            self.chunk,
            self.step + self.step_of_run * len(self.running),
        )
        context = sum(run.context + run.tokens for run in self.running)
        seconds += self.step_of_thousand * context / 1000
        made = []
        for run in sorted(self.running, key=lambda run: run.order):
            if run.unread:
                taken = min(remaining, run.unread)
                seconds += taken / self.prefill_rate + self.pairs * taken * run.context
                run.unread -= taken
                run.context += taken
                remaining -= taken
                self.prefilled_tokens += taken
            if not run.unread:
                made.append(run)
        return seconds, made


class World:
    """Engines behind one placer, and the callers' requests."""

    def __init__(
        self,
        engines=5,
        slots=64,
        memory=332_405,
        data_centres="a",
        engine_class=Engine,
        parts=features.NONE,
        token_seconds=0.0,
    ):
        self.placer = placement.Placer(parts)
        self.token_seconds = token_seconds
        self.data_centres = data_centres
        self.engines = {
            f"u{number}": engine_class(
                f"u{number}",
                slots,
                memory,
                data_centres[number % len(data_centres)],
            )
            for number in range(engines)
        }
        capacity = model.Engine(slots, memory, token_seconds)
        declared = model.Service(SERVICE, "/healthz", 400, capacity)
        self.configuration = model.Configuration(1, (), {SERVICE: declared})
        rows = [
            upstreams.Row(
                name,
                1,
                upstreams.State.SERVING,
                SERVICE,
                name,
                one.data_centre,
                slots,
                version="v1",
            )
            for name, one in self.engines.items()
        ]
        self.placer.set_upstreams(rows, self.configuration, 0.0)
        self.stride = engine_class.stride
        self.events = []
        self.numbers = itertools.count()
        self.stats = collections.defaultdict(ClassStats)
        self.now = 0.0
        self.used = {}
        self.recomputed_tokens = 0

    def at(self, when, work, *args):
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.numbers), work, args))

    def run(self):
        """Play to the end."""
        while self.events:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)

    # Callers.

    def ask(self, run):
        """Receive a caller's request at the gateway and place it."""
        descriptor = descriptors.Descriptor(
            request_id=run.request,
            service=SERVICE,
            rank=run.request_class.tier,
            first_seconds=run.request_class.first,
            whole_seconds=run.request_class.total,
            pause_seconds=run.request_class.pause,
            model="m",
            tokens_in=run.size,
            tokens_out=run.events * self.stride,
            parts=tuple(descriptors.PrefixBlock(*part) for part in run.parts)
            + (descriptors.PrefixBlock(run.request, run.own),),
            data_centre=run.data_centre,
            may_return=not run.returned,
            may_repeat=run.request_class.resumable,
        )
        found = self.placer.place(descriptor, self.now)
        if isinstance(found, placement.Refused):
            self.handle_refusal(run, found)
            return
        run.engine = self.engines[found.row.identity]
        run.fetch_from = found.fetch_from
        run.order = (run.request_class.tier, self.now)
        run.last_event_at = self.now
        self.at(self.now + NETWORK_SECONDS, self.arrive, run)
        self.at(self.now + run.request_class.timeout, self.check_timeout, run)
        self.at(run.asked_at + run.request_class.total, self.leave, run)

    def handle_refusal(self, run, refused):
        """Let the caller retry once, after the given time."""
        self.stats[run.request_class.name].refused += 1
        if run.returned:
            self.finish(run)
            return
        run.returned = True
        wait = min(refused.return_seconds, run.request_class.total / 3)
        run.tried_at = self.now + wait + 2 * NETWORK_SECONDS
        self.at(run.tried_at, self.ask, run)

    def check_timeout(self, run):
        """Let the caller leave if it has received no event for too long."""
        if run.done:
            return
        due = run.last_event_at + run.request_class.timeout
        if self.now >= due - 1e-9:
            self.leave(run)
        else:
            self.at(due, self.check_timeout, run)

    def leave(self, run):
        """Cancel a request whose caller leaves."""
        if run.done:
            return
        engine = run.engine
        if run in engine.running:
            engine.running.remove(run)
        if run in engine.queue:
            engine.queue.remove(run)
        self.placer.end(run.request, self.now, 0.0)
        self.finish(run)

    def take_over(self, with_speeds=True):
        """Replace the placer by one that learns which requests run where.

        ``with_speeds`` tells whether it also gets the predecessor's estimated speeds.
        """
        before, after = self.placer, placement.Placer(self.placer.features)
        after.set_upstreams(before.rows.values(), self.configuration, self.now)
        if with_speeds:
            after.pooling.merge_speeds(before.pooling.list_speeds())
        for identity, engine in before.engines.items():
            for task in engine.tasks.values():
                age = self.now - task.placed_at
                after.adopt(task.descriptor, identity, self.now, age)
                if task.has_begun:
                    after.record_first_event(task.descriptor.request_id, self.now)
        self.placer = after

    def partition(self, data_centre):
        """Break all attempts between the data centre and the others."""
        for engine in self.engines.values():
            for run in engine.running + engine.queue:
                near = engine.data_centre == run.data_centre
                if not near and data_centre in (engine.data_centre, run.data_centre):
                    self.break_attempt(engine, run)

    def break_attempt(self, engine, run):
        """Break an attempt; a resumable stream is placed again."""
        waits = run in engine.queue
        (engine.queue if waits else engine.running).remove(run)
        self.placer.record_outcome(engine.identity, run.data_centre, True)
        self.placer.end(run.request, self.now)
        if run.request_class.resumable:
            self.ask(run)
        else:
            self.finish(run)

    def record_first_event(self, run):
        """Notify the current placer of a first event."""
        self.placer.record_first_event(run.request, self.now)

    def finish(self, run, complete=False):
        """Count the outcome of a request."""
        run.done = True
        class_stats = self.stats[run.request_class.name]
        if not complete:
            class_stats.abandoned += 1
            return
        late_first = run.first - run.asked_at > run.request_class.first
        late_pause = run.longest > run.request_class.pause
        class_stats.late_first += late_first
        class_stats.late_pause += late_pause
        if not late_first and not late_pause:
            class_stats.on_time += 1
        else:
            class_stats.late += 1
            in_time = run.first - run.tried_at <= run.request_class.first
            class_stats.returned_on_time += run.returned and in_time and not late_pause

    # Engines.

    def arrive(self, run):
        """Receive a request at its engine."""
        if run.done:
            return
        if run.fetch_from:
            self.fetch(run)
            return
        cached = True
        for part, tokens in run.parts:
            cached = cached and part in run.engine.cached
            if not cached and self.now - self.used.get(part, -100.0) < 10.0:
                self.recomputed_tokens += tokens
            self.used[part] = self.now
        run.engine.queue.append(run)
        self.wake(run.engine)

    def fetch(self, run):
        """Fetch the first blocks of the prompt from another engine."""
        source, run.fetch_from = self.engines[run.fetch_from], ""
        prefix = list(
            itertools.takewhile(lambda part: part[0] in source.cached, run.parts)
        )
        wanted = [part for part in prefix if part[0] not in run.engine.cached]
        far = source.data_centre != run.engine.data_centre
        seconds = sum(tokens for _, tokens in wanted) * self.token_seconds
        seconds *= fetching.REMOTE_FACTOR if far else 1.0
        begins = max(self.now, source.link_free_at, run.engine.link_free_at)
        ends = begins + fetching.SETUP_SECONDS + seconds
        source.link_free_at = run.engine.link_free_at = ends
        self.at(ends, self.finish_fetch, run, wanted)

    def finish_fetch(self, run, wanted):
        """Cache the fetched blocks and begin with the request."""
        run.engine.cached.update(wanted)
        self.arrive(run)

    def wake(self, engine):
        """Begin a step unless one is running."""
        if engine.busy:
            return
        engine.admit()
        if not engine.running:
            return
        engine.busy = True
        seconds, made = engine.make_step()
        seconds *= engine.get_slowdown(self.now)
        self.at(self.now + seconds, self.end_step, engine, made)

    def end_step(self, engine, made):
        """Deliver the events of a step."""
        engine.busy = False
        for run in made:
            if run not in engine.running:
                continue  # It left, or was placed elsewhere, during the step.
            run.tokens += 1
            if run.tokens % self.stride == 0 or run.tokens == 1:
                self.deliver_event(engine, run)
        self.wake(engine)

    def deliver_event(self, engine, run):
        """Deliver an event to the caller."""
        at = self.now + NETWORK_SECONDS
        if run.first is None:
            at += engine.first_seconds
            run.first = at
            if engine.first_seconds:
                self.at(at, self.record_first_event, run)
            else:
                self.placer.record_first_event(run.request, at)
        else:
            run.longest = max(run.longest, at - run.last_event_at)
        run.last_event_at = at
        if run.tokens >= run.events * self.stride:
            engine.running.remove(run)
            pause = run.longest if run.events >= 8 else 0.0
            self.placer.end(run.request, at, pause)
            self.placer.record_outcome(engine.identity, run.data_centre, False)
            self.finish(run, complete=True)


def make_requests(phases, seed):
    """Return the requests of the phases, in the order of their times."""
    draw = random.Random(seed)
    made = []
    for phase in phases:
        at, request_class = phase.start, phase.request_class
        while (at := at + draw.expovariate(phase.rate)) < phase.end:
            subject = int(request_class.subjects * draw.random() ** 1.3)
            base = subject % request_class.bases
            size = random.Random(f"{request_class.name}{subject}")
            parts = (
                (f"{request_class.name}-b{base}", request_class.base_tokens),
                (
                    f"{request_class.name}-s{subject}",
                    int(request_class.subject_tokens * size.lognormvariate(-0.2, 0.6))
                    + 1,
                ),
            )
            own = min(
                12 * request_class.tokens,
                request_class.tokens * draw.lognormvariate(-0.4, 0.9),
            )
            events = min(
                3 * request_class.events,
                request_class.events * draw.lognormvariate(-0.2, 0.6),
            )
            made.append((at, request_class, parts, int(own) + 1, max(1, int(events))))
    made.sort(key=lambda one: one[0])
    return made


def play(world, phases, seed=1):
    """Play the phases; return what the callers of each class got."""
    for number, (at, request_class, parts, own, events) in enumerate(
        make_requests(phases, seed)
    ):
        data_centre = world.data_centres[number % len(world.data_centres)]
        run = Run(request_class, f"r{number}", at, parts, own, events, data_centre)
        world.stats[request_class.name].asked += 1
        world.at(at, world.ask, run)
    world.run()
    return world.stats


#: A morning on which long prompts arrive at more than twice their usual rate, at
#: engines with empty caches, and short ones at nearly twice theirs later.
BURST = (
    Phase(VERDICT, 9.0, 0.0, 30.0),
    Phase(VERDICT, 14.0, 0.5, 9.5),
    Phase(NOTE, 18.0, 0.0, 30.0),
    Phase(NOTE, 14.0, 11.0, 16.0),
    Phase(VERDICT, 10.0, 17.5, 22.0),
)
