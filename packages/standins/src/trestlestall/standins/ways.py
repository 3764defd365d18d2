"""The ways that the load tool sends its arrivals: the router and the baselines.

A way is a small class registered by name. ``choose`` returns where an arrival goes,
``finish`` hears that it ended. The baselines send straight to the engines with equal
priorities, so that each engine serves first come first served, and leave out one whose
connections fail:

    router   through a router of the deployment, chosen at random as a balancer would
    random   to an engine chosen at random
    least    to the engine with the fewest requests of this client in flight
"""

import collections
import dataclasses
import random
import time
from collections import abc

from trestlestall.standins import addresses, deployment, mixes

AVOID_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Destination:
    """Where an arrival goes, with which key and headers."""

    address: addresses.Address
    key: str = ""
    headers: tuple[tuple[str, str], ...] = ()


class Way:
    """Base of the ways; ``uses_daemons`` tells whether routers are to be started."""

    uses_daemons = False

    def __init__(
        self, running: deployment.Deployment, keys: abc.Mapping[str, str], seed: int
    ):
        self.running = running
        self.keys = keys
        self.source = random.Random(seed)

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return where the arrival goes."""
        raise NotImplementedError

    def finish(self, destination: Destination, failed: bool) -> None:
        """Hear that a request sent there ended; ``failed``: its connection broke."""


WAYS: dict[str, type[Way]] = {}


def register(name: str) -> abc.Callable[[type[Way]], type[Way]]:
    """Return a decorator that registers a way by name."""

    def add(way: type[Way]) -> type[Way]:
        WAYS[name] = way
        return way

    return add


@register("router")
class RouterWay(Way):
    """Through the system itself."""

    uses_daemons = True

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return a random router, with the workspace's key and the class."""
        router = self.source.choice(self.running.routers)
        headers = (
            ("Trestlestall-Class", arrival.class_name),
            ("Idempotency-Key", f"load-{arrival.number}"),
        )
        return Destination(router.callers, self.keys[arrival.workspace], headers)


class BaselineWay(Way):
    """Base of the baselines, which leave out an engine for a while after a failure.

    Without that an ended engine, which answers at once, would draw all requests.
    """

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.failed_at: dict[addresses.Address, float] = {}

    def list_engines(self) -> list[addresses.Address]:
        """Return the engines that have not failed of late, or all if each has."""
        found = [engine.address for engine in self.running.engines]
        since = time.monotonic() - AVOID_SECONDS
        healthy = [e for e in found if self.failed_at.get(e, since - 1) < since]
        return healthy or found

    def finish(self, destination: Destination, failed: bool) -> None:
        """Note a failed connection."""
        if failed:
            self.failed_at[destination.address] = time.monotonic()


@register("random")
class RandomWay(BaselineWay):
    """First come first served at an engine chosen at random."""

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return a random engine."""
        return Destination(self.source.choice(self.list_engines()))


@register("least")
class LeastWay(BaselineWay):
    """First come first served at the engine with the least in flight."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.in_flight: collections.Counter = collections.Counter()

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return the engine with the fewest requests in flight, ties at random."""
        found = self.list_engines()
        self.source.shuffle(found)
        address = min(found, key=lambda each: self.in_flight[each])
        self.in_flight[address] += 1
        return Destination(address)

    def finish(self, destination: Destination, failed: bool) -> None:
        """Count the request out."""
        super().finish(destination, failed)
        self.in_flight[destination.address] -= 1
