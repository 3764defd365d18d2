"""Observed times to the first token and between tokens, kept by tier of a target.

An estimate for a tier reads only what that tier and the more urgent ones observed.
"""

import math

from trestlestall.policy import tiers

# How much an observation weighs beside the next one.
FADE = 0.97
# How much the least time to the first token grows with each observation over it.
LEAST_GROWTH = 1.01
# A late first token: so many standard deviations over the mean.
LATE_DEVIATIONS = 1.5
# What the defaults count beside observations.
PRIOR_STARTS = 2.0
PRIOR_TOKENS = 50.0


class Speeds:
    """What streams of one target took, in seconds."""

    def __init__(self, default_first: float, default_gap: float):
        self._defaults = (default_first, default_gap)
        self._starts = tiers.PerTier()
        self._start_seconds = tiers.PerTier()
        self._start_squares = tiers.PerTier()
        self._least_starts: dict[int, float] = {}
        self._tokens = tiers.PerTier()
        self._token_seconds = tiers.PerTier()

    def note_start(self, tier: int, seconds: float) -> None:
        """Learn from the time between sending and the first token."""
        fade(self._starts, tier, 1.0)
        fade(self._start_seconds, tier, seconds)
        fade(self._start_squares, tier, seconds * seconds)
        least = self._least_starts.get(tier, seconds)
        self._least_starts[tier] = min(seconds, least * LEAST_GROWTH)

    def note_tokens(self, tier: int, tokens: int, seconds: float) -> None:
        """Learn from the time that a run of tokens took."""
        fade(self._tokens, tier, tokens)
        fade(self._token_seconds, tier, seconds)

    def find_first(self, tier: int) -> float:
        """Return the expected seconds from sending to the first token."""
        seconds = self._defaults[0] * PRIOR_STARTS + self._start_seconds.sum_to(tier)
        return seconds / (PRIOR_STARTS + self._starts.sum_to(tier))

    def find_least_first(self, tier: int) -> float:
        """Return seconds to the first token without load: the least seen lately."""
        found = [least for own, least in self._least_starts.items() if own <= tier]
        return min(found, default=self._defaults[0])

    def find_late_first(self, tier: int) -> float:
        """Return seconds to the first token that most streams do not pass."""
        mean = self.find_first(tier)
        squares = self._defaults[0] ** 2 * PRIOR_STARTS
        squares += self._start_squares.sum_to(tier)
        variance = squares / (PRIOR_STARTS + self._starts.sum_to(tier)) - mean * mean
        return mean + LATE_DEVIATIONS * math.sqrt(max(0.0, variance))

    def find_gap(self, tier: int) -> float:
        """Return the expected seconds between two tokens of one stream."""
        seconds = self._defaults[1] * PRIOR_TOKENS + self._token_seconds.sum_to(tier)
        return seconds / (PRIOR_TOKENS + self._tokens.sum_to(tier))

    def find_least_gap(self, tier: int) -> float:
        """Return the gap of the quickest of the tiers up to this one.

        The others' gaps may hold times in which the engine had displaced them.
        """
        gaps = [
            self._token_seconds.get(other) / self._tokens.get(other)
            for other in range(tier + 1)
            if self._tokens.get(other) >= PRIOR_TOKENS
        ]
        return min([*gaps, self.find_gap(tier)])


def fade(sums: tiers.PerTier, tier: int, amount: float) -> None:
    """Add an amount, letting earlier ones fade."""
    sums.put(tier, sums.get(tier) * FADE + amount)
