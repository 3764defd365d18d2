"""Schedules loads, so that the weight store is not overloaded.

Loads start in the order of urgency, a few at a time and at a bounded rate; each that is
not urgent starts after a random delay. A failed load backs off, longer each time. So
many loads that become wanted at one moment, as when a data centre returns, are spread
over time.
"""

import dataclasses
import random
import typing
from collections import abc

from trestlestall.placement import settings

#: A load of this urgency or below is not delayed: no engine serves a bound model.
AT_ONCE = 0

Key: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, order=True)
class Load:
    """A load that is wanted; lower urgency goes first."""

    urgency: int
    engine: str
    target: str

    @property
    def key(self) -> Key:
        """The key under which failures are counted."""
        return self.engine, self.target


@dataclasses.dataclass(frozen=True)
class Wait:
    """A load must not start before ``until``; ``failures`` counts those in a row."""

    until: float
    failures: int = 0


class Schedule:
    """Decides which of the wanted loads start now; ``seed`` is for random delays."""

    def __init__(
        self,
        seed: int,
        times: settings.Loading = settings.Loading(),  # noqa: B008
    ):
        self._random = random.Random(seed)
        self._times = times
        self._waits: dict[Key, Wait] = {}
        self._next_start = float("-inf")

    def choose(
        self, wanted: abc.Iterable[Load], running: int, now: float
    ) -> list[Load]:
        """Return the loads to start now, of which there may be one or none.

        ``running`` counts the loads under way. A chosen load counts as started: the
        next may start an interval later.
        """
        due = [load for load in sorted(wanted) if self._is_due(load, now)]
        if not due or running >= self._times.at_once or now < self._next_start:
            return []
        self._next_start = now + self._times.interval
        return due[:1]

    def count_failures(self, engine: str, target: str) -> int:
        """Return how many times in a row the load has failed."""
        wait = self._waits.get((engine, target))
        return wait.failures if wait is not None else 0

    def record_failure(self, engine: str, target: str, now: float) -> None:
        """Back off: twice as long as the last time, with a jitter of half of that."""
        failures = self.count_failures(engine, target) + 1
        span = self._times.retry_first * 2 ** min(failures - 1, 30)
        span = min(span, self._times.retry_longest)
        until = now + span * self._random.uniform(0.5, 1.5)
        self._waits[engine, target] = Wait(until, failures)

    def reset(self, engine: str, target: str) -> None:
        """Remove the failures of a load that was done."""
        self._waits.pop((engine, target), None)

    def _is_due(self, load: Load, now: float) -> bool:
        wait = self._waits.get(load.key)
        if wait is None:
            spread = self._times.spread if load.urgency > AT_ONCE else 0.0
            wait = Wait(now + spread * self._random.random())
            self._waits[load.key] = wait
        return now >= wait.until
