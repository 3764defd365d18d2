"""Computes the target capacity of a service from the load of the last seconds.

Two resources limit an upstream: its slots, and the time it has for prefill. The load on
each is expressed as a number of upstreams. The target capacity is the larger load,
divided by the utilisation up to which callers are served in time, at its peak over the
last seconds.
"""

import collections
import dataclasses

#: The utilisation (0..1) up to which requests are served in time. Arrivals come in
#: bursts, so that some wait when two thirds of the slots are taken on average; the
#: prefill of a prompt is not interrupted, so that others wait behind it at a lower
#: utilisation already.
SLOT_UTILISATION = 0.6
PREFILL_UTILISATION = 0.45
#: Seconds for which a peak counts: several times the start time of an upstream, so that
#: the next burst finds the capacity that the last one needed.
PEAK_SECONDS = 20.0
#: Seconds after which the load that a directory reported no longer counts.
STALE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of a service that one directory sees, as a number of upstreams.

    ``reading`` is the total prefill time of the prompts that arrive in a second, in
    seconds; ``places`` is the number of running requests over the slots of an upstream.
    """

    reading: float
    places: float


#: The weight of the latest second in the smoothed load: the arrivals of single seconds
#: vary by half.
SMOOTHING = 0.4


class Demand:
    """The load that all directories report for one service."""

    def __init__(self) -> None:
        self._received: dict[str, tuple[float, Load]] = {}
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, source: str, load: Load, now: float) -> None:
        """Record the load that a directory reports once a second."""
        before = self._received.get(source, (now, load))[1]
        self._received[source] = (now, blend(before, load))
        target_capacity = self._compute_present(now)
        while self._peaks and self._peaks[-1][1] <= target_capacity:
            self._peaks.pop()
        self._peaks.append((now, target_capacity))

    def find_target_capacity(self, now: float) -> float:
        """Return how many upstreams the peak load of the last seconds needs."""
        while self._peaks and now - self._peaks[0][0] > PEAK_SECONDS:
            self._peaks.popleft()
        return self._peaks[0][1] if self._peaks else 0.0

    def _compute_present(self, now: float) -> float:
        recent = [
            load for at, load in self._received.values() if now - at <= STALE_SECONDS
        ]
        reading = sum(load.reading for load in recent) / PREFILL_UTILISATION
        places = sum(load.places for load in recent) / SLOT_UTILISATION
        return max(reading, places)


def blend(before: Load, load: Load) -> Load:
    """Return the exponentially smoothed load after the latest one."""
    return Load(
        before.reading + SMOOTHING * (load.reading - before.reading),
        before.places + SMOOTHING * (load.places - before.places),
    )
