"""The waits between tries to dial a peer."""

import random

#: Seconds between the first tries, how many of them, and seconds at the most. A whole
#: deployment that starts at once has its processes up within half a second of each
#: other, and callers wait for the last link of a majority.
FIRST_WAIT = 0.05
FIRST_TRIES = 12
LONGEST_WAIT = 1.5
#: How much longer each later wait is than the one before.
GROWTH = 1.3
#: Part of a wait that is drawn by lot, so that peers don't dial in step.
JITTER = 0.5
#: Seconds that a link must last for the waits to begin anew.
STABLE_SECONDS = 1.0


class Waits:
    """The waits of one dialler.

    >>> waits = Waits(random.Random(1))
    >>> waits.find_next(0.0) < waits.find_next(10.0) <= FIRST_WAIT
    True
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._begin()

    def find_next(self, lasted: float) -> float:
        """Return the next wait in seconds, after a link that lasted so long."""
        if lasted > STABLE_SECONDS:
            self._begin()
        if self._tries_left:
            self._tries_left -= 1
        else:
            self._wait = min(LONGEST_WAIT, self._wait * GROWTH)
        return self._wait * self._source.uniform(1 - JITTER, 1)

    def _begin(self) -> None:
        self._wait = FIRST_WAIT
        self._tries_left = FIRST_TRIES
