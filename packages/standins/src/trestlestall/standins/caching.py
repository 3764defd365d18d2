"""The engine's prefix cache, and the events published about it.

Pure. A prompt is split into blocks. A block's hash also covers all text before it, so
that equal hashes mean equal prefixes. The cache stores a limited number of blocks and
evicts the least recently used.

Events are published late, and some are lost: ``Feed`` numbers every event, omits every
``gap_every``-th, and shows the others once they are ``delay`` seconds old. A reader can
detect a gap in the numbers, but not what was lost.
"""

import collections
import dataclasses
import hashlib

BLOCK_CHARACTERS = 64


@dataclasses.dataclass(frozen=True)
class Event:
    """A block stored or evicted; ``at`` is in seconds of the engine's clock."""

    number: int
    at: float
    kind: str
    block: str


@dataclasses.dataclass(frozen=True)
class Change:
    """The effect of using a prompt: blocks found, stored and evicted."""

    hits: int
    stored: tuple[str, ...]
    dropped: tuple[str, ...]


def hash_blocks(text: str) -> tuple[str, ...]:
    """Return the chained hash of each full block of the text."""
    hashes = []
    digest = hashlib.sha256()
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.hexdigest()[:16])
    return tuple(hashes)


class PrefixCache:
    """A limited set of block hashes with least-recently-used eviction."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()

    @property
    def blocks(self) -> tuple[str, ...]:
        """The cached blocks, the least recently used first."""
        return tuple(self._blocks)

    def use(self, blocks: tuple[str, ...]) -> Change:
        """Look up the prompt's blocks, and store all of them."""
        hits = self.count_hits(blocks)
        stored = tuple(block for block in blocks if block not in self._blocks)
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        return Change(hits, stored, self._drop_oldest())

    def count_hits(self, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks are cached; later ones alone are no prefix."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def _drop_oldest(self) -> tuple[str, ...]:
        excess = max(0, len(self._blocks) - self.capacity)
        return tuple(self._blocks.popitem(last=False)[0] for _ in range(excess))


class Feed:
    """The published events: numbered, delayed, and with gaps."""

    def __init__(self, delay: float, gap_every: int, max_events: int = 1000):
        self.delay = delay
        self.gap_every = gap_every
        self._events: collections.deque[Event] = collections.deque(maxlen=max_events)
        self._last = 0

    def publish(self, change: Change, now: float) -> None:
        """Number the events of a change, and queue all but the omitted ones."""
        for kind, blocks in (("stored", change.stored), ("dropped", change.dropped)):
            for block in blocks:
                self._last += 1
                if not self.gap_every or self._last % self.gap_every:
                    self._events.append(Event(self._last, now, kind, block))

    def read(self, since: int, now: float) -> tuple[Event, ...]:
        """Return the events after number ``since`` that are at least ``delay`` old."""
        cutoff = now - self.delay
        return tuple(e for e in self._events if e.number > since and e.at <= cutoff)
