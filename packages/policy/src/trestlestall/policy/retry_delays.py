"""Retry delays for refused callers.

Refused callers get retry times one after the other, at the pace at which the target
could serve them, so that they don't all retry together: the more were refused, the
later the next one is asked to return. A jitter by the request's name spreads those of
several routers.
"""

import zlib

# The jitter: a delay is multiplied by a factor from JITTER_MIN to that plus span.
JITTER_MIN = 0.75
JITTER_SPAN = 0.5


class Schedule:
    """The next retry time that is not assigned yet, for each tier of one target."""

    def __init__(self, seed: int, min_delay: float, max_delay: float):
        self._seed = seed
        self._min_delay = min_delay
        self._max_delay = max_delay
        self._next: dict[int, float] = {}

    def find_delay(
        self, request: str, tier: int, excess: float, pace: float, now: float
    ) -> float:
        """Return seconds until the caller should retry.

        ``excess`` is by how many seconds the wait is too long. ``pace`` is the seconds
        in which the tier serves one request.
        """
        earliest = now + max(self._min_delay, excess)
        place = max(earliest, self._next.get(tier, 0.0) + pace)
        self._next[tier] = min(place, now + self._max_delay)
        delay = min(place - now, self._max_delay)
        return round(delay * (JITTER_MIN + JITTER_SPAN * self._draw(request)), 3)

    def _draw(self, request: str) -> float:
        """Return a number in 0..1 that depends on the request and seed alone."""
        return zlib.crc32(f"{self._seed}/{request}".encode()) / 2**32
