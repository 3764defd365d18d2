"""Pools of a service's upstreams, one for each group of QoS classes; pure.

The load: long prompts compete with streams that must not pause. An engine prefills a
long prompt in chunks between the decode steps of all its streams, so in a burst of long
prompts every stream of every engine pauses for too long, although a few engines could
serve all streams together. Choosing an upstream for one request at a time never clears
an engine for them.

So requests are divided into QoS classes by how long their streams may pause, and the
classes get pools of upstreams. Two classes share a pool if a prompt of either is
prefilled beside a stream of the other within that stream's longest pause, also during a
slowdown of the engine. Pools for short pauses get enough engines to keep their own
prefill to a small share of the time, and the pool for the longest pauses gets the rest.
Where capacity is too small for all, the pools for short pauses shrink to the size that
still keeps their pauses.
"""

import bisect
import collections
import dataclasses
import math
import operator
import statistics
from collections import abc

#: By how much prefill takes longer during a slowdown of an engine.
SLOWDOWN_FACTOR = 2.5
#: Share of its engines' time that a pool for short pauses spends on prefill. A slowdown
#: turns it into three quarters, or into one and a half times all of the time where
#: capacity is short, which streams tolerate for as long as a slowdown lasts.
NORMAL_SHARE = 0.3
TIGHT_SHARE = 0.6
#: The largest share of all upstreams that the pools for short pauses get together,
#: unless they would have to prefill for more than nine tenths of the time: at the start
#: of a burst speeds may be unknown, and pools that seem too small are large enough.
STRICT_POOLS_SHARE = 0.6
MAX_PREFILL_SHARE = 0.9
#: Share of the time for prefill in the pool for the longest pauses: uninterrupted
#: prefill leaves no time for decode steps, and streams that never end take the memory
#: of new ones.
TOLERANT_SHARE = 0.85
#: Share of a pool's slots that its streams may take.
SLOTS_SHARE = 0.7
#: By how much prefill must be shorter until classes in separate pools share one.
SEPARATION_FACTOR = 1.25
#: The smallest pool: one of its upstreams may fail.
MIN_MEMBERS = 2
#: Windows over which demand is counted. The larger rate counts, so that pools react to
#: a burst within a second and to its end later.
SHORT_WINDOW_SECONDS = 1.0
LONG_WINDOW_SECONDS = 4.0
#: Seconds without a request after which a class has no pool any more.
IDLE_SECONDS = 30.0
#: Seconds that one count of demand covers, and between two evaluations of the pools.
BUCKET_SECONDS = 0.25
#: By how much a pool may exceed its load before it releases an upstream.
RELEASE_FACTOR = 1.15
#: Weight of one request in the moving average of its class's prompt size.
SIZE_SMOOTHING = 0.02
#: Seconds of remaining prefill at an upstream that weigh as much as all of its speed
#: when a pool takes one more: the pool's streams would run beside that prefill.
BACKLOG_SECONDS = 0.5

#: The longest pause of a class's streams, in seconds; infinity without a bound.
QosClass = float


@dataclasses.dataclass(frozen=True)
class Member:
    """An upstream that may serve in a pool.

    ``rate`` is its prefill speed in tokens a second, ``backlog`` the seconds of prefill
    that remain there, ``streams`` the number of its requests by class.
    """

    identity: str
    data_centre: str
    rate: float
    backlog: float
    slots: int
    streams: abc.Mapping[QosClass, int]


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of a pool: tokens to prefill a second, and running requests."""

    qos_classes: tuple[QosClass, ...]
    tokens: float
    running: int


class Demand:
    """The recent demand by class; ``sizes`` are average prompt sizes in tokens.

    Sizes are of whole prompts: how much of one an upstream has cached is not known
    before the upstream is chosen.
    """

    def __init__(self) -> None:
        self.sizes: dict[QosClass, float] = {}
        self._counts: dict[QosClass, collections.deque[tuple[float, float]]] = {}
        self._since: float | None = None

    def record(
        self, qos_class: QosClass, size: float, tokens: float, now: float
    ) -> None:
        """Count a request with its prompt's size and the tokens left to prefill."""
        if self._since is None:
            self._since = now
        self._update_size(qos_class, size)
        counts = self._counts.setdefault(qos_class, collections.deque())
        if counts and now - counts[-1][0] < BUCKET_SECONDS:
            began_at, before = counts.pop()
            counts.append((began_at, before + tokens))
        else:
            counts.append((now, tokens))
        while now - counts[0][0] > LONG_WINDOW_SECONDS:
            counts.popleft()

    def record_earlier(
        self, qos_class: QosClass, size: float, tokens: float, at: float
    ) -> None:
        """Count a request that another process placed at an earlier time.

        Earlier requests arrive in any order.
        """
        self._since = at if self._since is None else min(self._since, at)
        self._update_size(qos_class, size)
        counts = self._counts.setdefault(qos_class, collections.deque())
        place = bisect.bisect(counts, at, key=operator.itemgetter(0))
        if place and at - counts[place - 1][0] < BUCKET_SECONDS:
            began_at, before = counts[place - 1]
            counts[place - 1] = (began_at, before + tokens)
        else:
            counts.insert(place, (at, tokens))

    def _update_size(self, qos_class: QosClass, size: float) -> None:
        known = self.sizes.get(qos_class, size)
        self.sizes[qos_class] = known + SIZE_SMOOTHING * (size - known)

    def expire(self, now: float) -> None:
        """Remove classes without recent requests: their route may have been removed."""
        for qos_class, counts in tuple(self._counts.items()):
            if now - counts[-1][0] > IDLE_SECONDS:
                del self._counts[qos_class], self.sizes[qos_class]

    def find_rate(self, qos_class: QosClass, now: float) -> float:
        """Return the tokens a second that the class's requests have to prefill.

        A process that has just begun to place counts over the time since then only.
        """
        counts = self._counts.get(qos_class)
        if not counts:
            return 0.0
        seen = max(BUCKET_SECONDS, now - self._since)
        return max(
            sum(tokens for began_at, tokens in counts if now - began_at < seconds)
            / min(seconds, seen)
            for seconds in (SHORT_WINDOW_SECONDS, LONG_WINDOW_SECONDS)
        )


class Pools:
    """The pools of one service, numbered from the one with the shortest pauses."""

    def __init__(self) -> None:
        self.demand = Demand()
        self._qos_classes: tuple[tuple[QosClass, ...], ...] = ()
        self._assigned: dict[str, int] = {}
        self._rebalanced_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether to evaluate the pools again."""
        return now - self._rebalanced_at >= BUCKET_SECONDS

    def rebalance(self, available: abc.Sequence[Member], now: float) -> None:
        """Assign to each pool the upstreams that its demand requires."""
        self._rebalanced_at = now
        rates = [one.rate for one in available]
        middle = statistics.median(rates) if rates else 0.0
        self.demand.expire(now)
        qos_classes = partition_classes(self.demand.sizes, middle, self._qos_classes)
        if qos_classes != self._qos_classes:
            self._qos_classes = qos_classes
            self._assigned = {}
        if len(qos_classes) < 2 or len(available) < MIN_MEMBERS * len(qos_classes):
            self._assigned = {}
            return
        loads = [self._compute_load(pool, available, now) for pool in qos_classes]
        self._assigned = assign_pools(loads, available, self._assigned)

    def find_pool(self, qos_class: QosClass) -> int | None:
        """Return the number of a class's pool; None where all upstreams serve it."""
        if not self._assigned:
            return None
        for number, pool in enumerate(self._qos_classes):
            if qos_class in pool:
                return number
        return None

    def list_members(self, number: int) -> abc.Collection[str]:
        """Return the upstreams of a pool."""
        return {
            identity
            for identity, assigned in self._assigned.items()
            if assigned == number
        }

    def list_more_tolerant(self, number: int) -> abc.Collection[str]:
        """Return the upstreams of the pools whose streams may pause for longer."""
        return {
            identity
            for identity, assigned in self._assigned.items()
            if assigned > number
        }

    def count(self) -> dict[QosClass, int]:
        """Return how many upstreams each pool has, by its shortest pause."""
        sizes = collections.Counter(self._assigned.values())
        return {pool[0]: sizes[number] for number, pool in enumerate(self._qos_classes)}

    def _compute_load(
        self,
        qos_classes: tuple[QosClass, ...],
        available: abc.Iterable[Member],
        now: float,
    ) -> Load:
        tokens = sum(self.demand.find_rate(qos_class, now) for qos_class in qos_classes)
        running = sum(
            one.streams.get(qos_class, 0)
            for one in available
            for qos_class in qos_classes
        )
        return Load(qos_classes, tokens, running)


def partition_classes(
    sizes: abc.Mapping[QosClass, float],
    rate: float,
    before: abc.Iterable[tuple[QosClass, ...]] = (),
) -> tuple[tuple[QosClass, ...], ...]:
    """Return the classes that may share upstreams of this speed, shortest pauses first.

    ``sizes`` are the tokens of a prompt, by class. Classes in different pools of
    ``before`` share one only once they clearly may: each change moves many upstreams.

    >>> partition_classes({0.2: 1_500, 0.3: 9_000, 0.4: 5_000}, 100_000)
    ((0.2,), (0.3, 0.4))
    """
    if not rate:
        return ()
    pools: list[tuple[QosClass, ...]] = []
    numbers = {
        qos_class: number for number, some in enumerate(before) for qos_class in some
    }
    for qos_class in sorted(sizes):
        prefill = SLOWDOWN_FACTOR * sizes[qos_class] / rate
        if pools and numbers.get(qos_class) != numbers.get(pools[-1][0]):
            prefill *= SEPARATION_FACTOR
        if pools and prefill <= pools[-1][0]:
            pools[-1] += (qos_class,)
        else:
            pools.append((qos_class,))
    return tuple(pools)


def assign_pools(
    loads: abc.Sequence[Load],
    available: abc.Sequence[Member],
    before: abc.Mapping[str, int],
) -> dict[str, int]:
    """Return each upstream's pool; the last pool gets what the others don't require.

    ``before`` is the previous assignment, from which as few upstreams move as possible.
    """
    last = len(loads) - 1
    assigned_to = {one.identity: before.get(one.identity, last) for one in available}
    share = compute_prefill_share(loads, sum(one.rate for one in available))
    for number, load in enumerate(loads[:-1]):
        required = load.tokens / share
        resize_pool(number, last, load, required, available, assigned_to)
    return assigned_to


def compute_prefill_share(loads: abc.Sequence[Load], capacity: float) -> float:
    """Return the share of their time that pools for short pauses may prefill."""
    left = capacity - loads[-1].tokens / TOLERANT_SHARE
    prefill = sum(load.tokens for load in loads[:-1])
    share = TIGHT_SHARE
    if left > 0:
        share = min(TIGHT_SHARE, max(NORMAL_SHARE, prefill / left))
    return max(share, min(MAX_PREFILL_SHARE, prefill / (STRICT_POOLS_SHARE * capacity)))


def resize_pool(
    number: int,
    last: int,
    load: Load,
    required: float,
    available: abc.Sequence[Member],
    assigned_to: dict[str, int],
) -> None:
    """Let a pool take upstreams from the last one, or give some back."""
    members = [one for one in available if assigned_to[one.identity] == number]
    spare = [one for one in available if assigned_to[one.identity] == last]
    while spare and is_too_small(members, load, required):
        if len(spare) <= MIN_MEMBERS:
            return
        best = max(
            spare, key=lambda one: score_candidate(one, members, load.qos_classes)
        )
        assigned_to[best.identity] = number
        members.append(best)
        spare.remove(best)
    while len(members) > MIN_MEMBERS:
        # The slowest, whose loss costs the pool least.
        slowest = min(members, key=lambda one: (one.rate, one.identity))
        rest = [one for one in members if one is not slowest]
        if is_too_small(rest, load, required * RELEASE_FACTOR):
            return
        assigned_to[slowest.identity] = last
        members = rest


def is_too_small(members: abc.Sequence[Member], load: Load, required: float) -> bool:
    """Return whether a pool is too small for its load."""
    if len(members) < MIN_MEMBERS:
        return True
    slots = SLOTS_SHARE * sum(one.slots for one in members)
    return sum(one.rate for one in members) < required or slots < load.running


def score_candidate(
    one: Member, members: abc.Sequence[Member], qos_classes: abc.Collection[QosClass]
) -> tuple[float, str]:
    """Return how well an upstream suits a pool as its next member.

    Fast upstreams keep pauses short. One that already has streams of these classes was
    in the pool of another process before. One with a large backlog would delay the
    pool's streams first. Data centres take turns, as one of them may be partitioned.
    """
    same_site = sum(other.data_centre == one.data_centre for other in members)
    own = sum(one.streams.get(qos_class, 0) for qos_class in qos_classes)
    suited = math.log(one.rate) + own / one.slots
    suited -= one.backlog / BACKLOG_SECONDS + same_site / max(1, len(members))
    return suited, one.identity
