"""Backoff between attempts to dial a peer."""

import random

#: Wait between the first attempts, number of those attempts, and longest wait. The
#: processes of a deployment that is started at once are up within half a second of each
#: other, and callers wait for the last link of a majority.
INITIAL_WAIT_SECONDS = 0.05
INITIAL_TRIES = 12
MAX_WAIT_SECONDS = 1.5
#: Factor by which each later wait is longer than the previous one.
GROWTH_FACTOR = 1.3
#: Share of a wait that is random, so that peers don't dial at the same times.
JITTER_SHARE = 0.5
#: How long a link must last to reset the backoff.
STABLE_SECONDS = 1.0


class Backoff:
    """The waits of one dialler.

    >>> backoff = Backoff(random.Random(1))
    >>> backoff.find_next(0.0) < backoff.find_next(10.0) <= INITIAL_WAIT_SECONDS
    True
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._begin()

    def find_next(self, link_seconds: float) -> float:
        """Return the next wait in seconds, after a link of the given duration."""
        if link_seconds > STABLE_SECONDS:
            self._begin()
        if self._tries_left:
            self._tries_left -= 1
        else:
            self._wait = min(MAX_WAIT_SECONDS, self._wait * GROWTH_FACTOR)
        return self._wait * self._source.uniform(1 - JITTER_SHARE, 1)

    def _begin(self) -> None:
        self._wait = INITIAL_WAIT_SECONDS
        self._tries_left = INITIAL_TRIES
