"""The assumed contents of engines' prefix caches, inferred from outside; pure.

An engine caches what it has prefilled until its memory is needed. Blocks that were sent
there are assumed to be cached, and evicted oldest first. Only blocks that a first event
has shown to be prefilled can be fetched.
"""

import collections
import itertools
from collections import abc

from trestlestall.forwarding import descriptors

#: Capacity in blocks where the engine's memory isn't declared.
BLOCKS_LIMIT = 4096

#: Seconds after its last use in which a block is assumed to be cached somewhere.
RECENT_SECONDS = 10.0
#: Blocks that one choice checks for expiry; more than one request adds.
EXPIRY_BATCH = 16

#: A model and the identity of a block.
BlockKey = tuple[str, str]


class PrefixCache:
    """The assumed prefix cache of one engine."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[BlockKey, int] = collections.OrderedDict()
        self._tokens = 0
        self._prefilled: set[BlockKey] = set()

    def count_uncached(self, descriptor: descriptors.Descriptor) -> int:
        """Return the prompt tokens that the engine would have to prefill."""
        cached = 0
        for block in descriptor.parts:
            if (descriptor.model, block.identity) not in self._blocks:
                break
            cached += block.tokens
        return max(0, descriptor.tokens_in - cached)

    def count_prefilled(self, descriptor: descriptors.Descriptor) -> int:
        """Return the first tokens of the prompt that were surely prefilled here."""
        read = 0
        for block in descriptor.parts:
            if (descriptor.model, block.identity) not in self._prefilled:
                break
            read += block.tokens
        return read

    def count_recomputed(
        self, descriptor: descriptors.Descriptor, used: abc.Container[BlockKey]
    ) -> int:
        """Return the tokens of shared blocks that another engine has prefilled already.

        ``used`` holds the blocks that some engine has used recently. The last block
        belongs to the request itself and is not shared.
        """
        tokens, cached = 0, True
        for block in descriptor.parts[:-1]:
            key = (descriptor.model, block.identity)
            cached = cached and key in self._blocks
            if not cached and key in used:
                tokens += block.tokens
        return tokens

    def add_blocks(
        self, descriptor: descriptors.Descriptor, free_tokens: int | None
    ) -> None:
        """Add the prompt's blocks, and evict the oldest beyond ``free_tokens``.

        None stands for a memory that isn't declared.
        """
        for block in descriptor.parts:
            key = (descriptor.model, block.identity)
            self._tokens += block.tokens - self._blocks.pop(key, 0)
            self._blocks[key] = block.tokens
        while self._blocks and self._is_full(free_tokens):
            key, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens
            self._prefilled.discard(key)

    def record_prefilled(self, descriptor: descriptors.Descriptor) -> None:
        """Record that the prompt's blocks have been prefilled."""
        for block in descriptor.parts:
            key = (descriptor.model, block.identity)
            if key in self._blocks:
                self._prefilled.add(key)

    def _is_full(self, free_tokens: int | None) -> bool:
        if free_tokens is None:
            return len(self._blocks) > BLOCKS_LIMIT
        return self._tokens > free_tokens


class RecentBlocks:
    """The shared blocks that some engine has used recently, ordered by last use."""

    def __init__(self) -> None:
        self._used_at: dict[BlockKey, float] = {}

    def __contains__(self, key: BlockKey) -> bool:
        return key in self._used_at

    def record(self, descriptor: descriptors.Descriptor, now: float) -> None:
        """Record the use of a request's shared blocks; the last one is its own."""
        for block in descriptor.parts[:-1]:
            key = (descriptor.model, block.identity)
            self._used_at.pop(key, None)
            self._used_at[key] = now

    def expire(self, now: float) -> None:
        """Remove some of the blocks that no engine has used recently."""
        for key, used_at in tuple(
            itertools.islice(self._used_at.items(), EXPIRY_BATCH)
        ):
            if now - used_at <= RECENT_SECONDS:
                return
            del self._used_at[key]
