"""Observed times to first token and between tokens, by tier of a target.

An estimate for a tier depends only on observations of it and of more urgent tiers.
"""

import math

from trestlestall.policy import tiers

# The weight of an observation relative to the next one.
DECAY = 0.97
# The growth of the least time to first token with each observation above it.
MIN_GROWTH = 1.01
# A late first token is this many standard deviations above the mean.
LATE_DEVIATIONS = 1.5
# How many observations the defaults count as.
PRIOR_STARTS = 2.0
PRIOR_TOKENS = 50.0


class Speeds:
    """Observed speeds of the streams of one target, in seconds."""

    def __init__(self, default_first_token: float, default_token_gap: float):
        self._defaults = (default_first_token, default_token_gap)
        self._first_counts = tiers.PerTier()
        self._first_seconds = tiers.PerTier()
        self._first_squares = tiers.PerTier()
        self._min_first_token: dict[int, float] = {}
        self._tokens = tiers.PerTier()
        self._token_seconds = tiers.PerTier()

    def record_first_token(self, tier: int, seconds: float) -> None:
        """Record the time from sending to the first token."""
        add_decayed(self._first_counts, tier, 1.0)
        add_decayed(self._first_seconds, tier, seconds)
        add_decayed(self._first_squares, tier, seconds * seconds)
        least = self._min_first_token.get(tier, seconds)
        self._min_first_token[tier] = min(seconds, least * MIN_GROWTH)

    def record_tokens(self, tier: int, tokens: int, seconds: float) -> None:
        """Record the time that a number of tokens took."""
        add_decayed(self._tokens, tier, tokens)
        add_decayed(self._token_seconds, tier, seconds)

    def find_first_token(self, tier: int) -> float:
        """Return the expected seconds from sending to the first token."""
        seconds = self._defaults[0] * PRIOR_STARTS + self._first_seconds.sum_up_to(tier)
        return seconds / (PRIOR_STARTS + self._first_counts.sum_up_to(tier))

    def find_min_first_token(self, tier: int) -> float:
        """Return the seconds to first token without load: the least observed lately."""
        found = [least for own, least in self._min_first_token.items() if own <= tier]
        return min(found, default=self._defaults[0])

    def find_late_first_token(self, tier: int) -> float:
        """Return the seconds to first token that most streams do not exceed."""
        mean = self.find_first_token(tier)
        squares = self._defaults[0] ** 2 * PRIOR_STARTS
        squares += self._first_squares.sum_up_to(tier)
        variance = (
            squares / (PRIOR_STARTS + self._first_counts.sum_up_to(tier)) - mean * mean
        )
        return mean + LATE_DEVIATIONS * math.sqrt(max(0.0, variance))

    def find_gap(self, tier: int) -> float:
        """Return the expected seconds between two tokens of one stream."""
        seconds = self._defaults[1] * PRIOR_TOKENS + self._token_seconds.sum_up_to(tier)
        return seconds / (PRIOR_TOKENS + self._tokens.sum_up_to(tier))

    def find_min_gap(self, tier: int) -> float:
        """Return the least gap of this tier and the more urgent ones.

        The gaps of the other tiers may include times in which they were preempted.
        """
        gaps = [
            self._token_seconds.get(other) / self._tokens.get(other)
            for other in range(tier + 1)
            if self._tokens.get(other) >= PRIOR_TOKENS
        ]
        return min([*gaps, self.find_gap(tier)])


def add_decayed(sums: tiers.PerTier, tier: int, amount: float) -> None:
    """Add an amount to a tier's sum, whose earlier amounts decay."""
    sums.put(tier, sums.get(tier) * DECAY + amount)
