"""The parts of prompts that engines hold, as far as can be told from outside; pure.

An engine keeps what it has read until its memory is needed. What was sent there is
taken to be held, the newest longest; only what a first event has shown as read can be
fetched.
"""

import collections
import itertools
from collections import abc

from trestlestall.forwarding import descriptors

#: Parts that are remembered, where the engine's memory isn't declared.
PARTS_KEPT = 4096

#: Seconds after its last use in which a part is taken to be held somewhere.
READ_AGAIN_SECONDS = 10.0
#: Parts that one choice looks at to forget them; more than one request adds.
FORGOTTEN_AT_ONCE = 16

#: A part of a prompt, for one model.
PartKey = tuple[str, str]


class HeldParts:
    """The parts of one engine."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[PartKey, int] = collections.OrderedDict()
        self._tokens = 0
        self._read: set[PartKey] = set()

    def count_unread(self, descriptor: descriptors.Descriptor) -> int:
        """Return the prompt tokens that the engine would have to read."""
        held = 0
        for part in descriptor.parts:
            if (descriptor.model, part.identity) not in self._parts:
                break
            held += part.tokens
        return max(0, descriptor.tokens_in - held)

    def count_read(self, descriptor: descriptors.Descriptor) -> int:
        """Return the first tokens of the prompt that the engine has surely read."""
        read = 0
        for part in descriptor.parts:
            if (descriptor.model, part.identity) not in self._read:
                break
            read += part.tokens
        return read

    def count_read_again(
        self, descriptor: descriptors.Descriptor, used: abc.Container[PartKey]
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

    def remember(
        self, descriptor: descriptors.Descriptor, free_tokens: int | None
    ) -> None:
        """Note that the prompt's parts will be held, in so many tokens of memory.

        None stands for a memory that isn't declared.
        """
        for part in descriptor.parts:
            key = (descriptor.model, part.identity)
            self._tokens += part.tokens - self._parts.pop(key, 0)
            self._parts[key] = part.tokens
        while self._parts and self._is_full(free_tokens):
            key, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
            self._read.discard(key)

    def note_read(self, descriptor: descriptors.Descriptor) -> None:
        """Note that the prompt's parts are held by now."""
        for part in descriptor.parts:
            key = (descriptor.model, part.identity)
            if key in self._parts:
                self._read.add(key)

    def _is_full(self, free_tokens: int | None) -> bool:
        if free_tokens is None:
            return len(self._parts) > PARTS_KEPT
        return self._tokens > free_tokens


class RecentParts:
    """The shared parts that some engine has used lately, the oldest use first."""

    def __init__(self) -> None:
        self._used_at: dict[PartKey, float] = {}

    def __contains__(self, key: PartKey) -> bool:
        return key in self._used_at

    def note(self, descriptor: descriptors.Descriptor, now: float) -> None:
        """Note that a request uses its shared parts; the last one is its own."""
        for part in descriptor.parts[:-1]:
            key = (descriptor.model, part.identity)
            self._used_at.pop(key, None)
            self._used_at[key] = now

    def forget(self, now: float) -> None:
        """Forget some of the parts that no engine has used for a while."""
        for key, used_at in tuple(
            itertools.islice(self._used_at.items(), FORGOTTEN_AT_ONCE)
        ):
            if now - used_at <= READ_AGAIN_SECONDS:
                return
            del self._used_at[key]
