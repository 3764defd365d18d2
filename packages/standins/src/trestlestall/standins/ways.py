"""The ways that the load tool sends its arrivals: the router and the baselines.

A way is a small class registered by name. ``choose`` returns where an arrival goes,
``finish`` hears that it ended. The baselines send straight to the engines with equal
priorities, so that each engine serves first come first served:

    router   through a router of the deployment, chosen at random as a balancer would
    random   to an engine chosen at random
    least    to the engine with the fewest requests of this client in flight
"""

import collections
import dataclasses
import random
from collections import abc

from trestlestall.standins import addresses, deployment, mixes


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

    def finish(self, destination: Destination) -> None:
        """Hear that a request sent there has ended."""


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


@register("random")
class RandomWay(Way):
    """First come first served at an engine chosen at random."""

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return a random engine."""
        return Destination(self.source.choice(self.running.engines).address)


@register("least")
class LeastWay(Way):
    """First come first served at the engine with the least in flight."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.in_flight: collections.Counter = collections.Counter()

    def choose(self, arrival: mixes.Arrival) -> Destination:
        """Return the engine with the fewest requests in flight, ties at random."""
        found = [engine.address for engine in self.running.engines]
        self.source.shuffle(found)
        address = min(found, key=lambda each: self.in_flight[each])
        self.in_flight[address] += 1
        return Destination(address)

    def finish(self, destination: Destination) -> None:
        """Count the request out."""
        self.in_flight[destination.address] -= 1
