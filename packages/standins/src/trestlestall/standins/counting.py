"""Counters of an engine's work, with which tests check guarantees.

``tokens`` counts every generated token. Tokens of a complete answer are delivered; all
others are wasted: those of a cancelled, broken or repeated run.
"""

import collections
import dataclasses
import typing

MAX_RECORDED_NAMES = 200_000


@dataclasses.dataclass
class Counts:
    """Running totals of one engine since it started."""

    tokens: int = 0
    delivered: int = 0
    wasted: int = 0
    requests: int = 0
    completed: int = 0
    cancelled: int = 0
    broken: int = 0
    refused: int = 0
    displaced: int = 0
    cache_hit_tokens: int = 0
    prompt_tokens: int = 0
    attempts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    prompts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def record_request(self, attempt: str, prompt: str) -> None:
        """Count a run of an attempt and of its prompt."""
        self.requests += 1
        if len(self.attempts) < MAX_RECORDED_NAMES:
            self.attempts[attempt] += 1
            self.prompts[prompt] += 1

    def record_end(self, outcome: str, made: int) -> None:
        """Count the end of a run: ``completed``, ``cancelled`` or ``broken``."""
        setattr(self, outcome, getattr(self, outcome) + 1)
        if outcome == "completed":
            self.delivered += made
        else:
            self.wasted += made

    def describe(self, with_names: bool = True) -> dict[str, typing.Any]:
        """Return the counts as a JSON-serialisable document."""
        document = dict(vars(self))
        if not with_names:
            del document["attempts"], document["prompts"]
        return document
