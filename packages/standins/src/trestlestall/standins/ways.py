"""The ways in which the load tool sends arrivals: the router and the baselines.

A way is a class registered by name. ``choose`` returns the destination of an arrival;
``finish`` is called at its end. The baselines send directly to the engines with equal
priorities, so that each engine serves first come, first served, and exclude an engine
for a while after a connection to it failed:

    router   through a router of the deployment, chosen at random like a load balancer
    random   to an engine chosen at random
    least    to the engine with the fewest requests of this client in flight
"""

import collections
import dataclasses
import random
import time
from collections import abc

from trestlestall.standins import addresses, deployment, mixes

EXCLUSION_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Destination:
    """The address, key and headers for an arrival."""

    address: addresses.Address
    key: str = ""
    headers: tuple[tuple[str, str], ...] = ()


class Way:
    """Base class of ways; ``uses_daemons`` is true if the way needs routers."""

    uses_daemons = False

    def __init__(
        self, running: deployment.Deployment, keys: abc.Mapping[str, str], seed: int
    ):
        self.running = running
        self.keys = keys
        self.source = random.Random(seed)

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return the destination of an arrival."""
        raise NotImplementedError

    def finish(self, destination: Destination, failed: bool) -> None:
        """Handle the end of a request; ``failed`` is true if its connection broke."""


WAYS: dict[str, type[Way]] = {}


def register(name: str) -> abc.Callable[[type[Way]], type[Way]]:
    """Return a decorator that registers a way by name."""

    def add(way: type[Way]) -> type[Way]:
        WAYS[name] = way
        return way

    return add


@register("router")
class RouterWay(Way):
    """Sends through the routers."""

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
    """Base class of baselines, which exclude an engine for a while after a failure.

    Otherwise a crashed engine, whose connections fail fast, would attract all requests.
    """

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.failed_at: dict[addresses.Address, float] = {}

    def list_engines(self) -> list[addresses.Address]:
        """Return the engines without a recent failure, or all if each has failed."""
        found = [engine.address for engine in self.running.engines]
        since = time.monotonic() - EXCLUSION_SECONDS
        healthy = [e for e in found if self.failed_at.get(e, since - 1) < since]
        return healthy or found

    def finish(self, destination: Destination, failed: bool) -> None:
        """Record a failed connection."""
        if failed:
            self.failed_at[destination.address] = time.monotonic()


@register("random")
class RandomWay(BaselineWay):
    """First come, first served at a random engine."""

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return a random engine."""
        return Destination(self.source.choice(self.list_engines()))


@register("least")
class LeastWay(BaselineWay):
    """First come, first served at the engine with the fewest requests in flight."""

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
        """Decrement the engine's requests in flight."""
        super().finish(destination, failed)
        self.in_flight[destination.address] -= 1
