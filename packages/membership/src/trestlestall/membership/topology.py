"""Which routers of a data centre tell each other about upstreams, and how often.

Up to ``MESH_LIMIT`` routers, each has every other as a neighbour. Beyond that each has
four: the next and the previous router in order of name, and those a square root of the
number further on and back. Rows then travel over several routers, by many ways, so that
a few failed routers don't part the others. Both ends of a pair come to the same result
from the same list of names.
"""

import dataclasses
import math
from collections import abc

MESH_LIMIT = 5

# The bytes a second, sent and received together, that renewals may take at one router:
# the rest of 7,000 is for announcements, pressure, keepalive and configuration.
RENEWAL_BUDGET = 5000.0

# Bytes of one renewal in a frame, as measured (see docs/design/dissemination.md). At
# one router, each is sent or received about as often as there are neighbours.
RENEWAL_BYTES = 27.0

SHORTEST_INTERVAL = 0.5
POLL_SECONDS = 0.25

# How late a renewal may come to a peer without eating into the lease: an upstream
# renews three times in one lease.
TOLERANCE = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Whom a router tells, and how often.

    ``interval``: the seconds within which the routers together pass on one renewal of
    an upstream and hold the others back. ``grace``: the seconds to add to leases that
    peers told of, for the time that a renewal is held back and on its way.
    """

    neighbours: tuple[str, ...]
    interval: float
    grace: float


def make_plan(name: str, routers: abc.Collection[str], upstreams: int) -> Plan:
    """Return the plan for a router among the routers of its data centre.

    Example: with 3 routers and 25 upstreams all are neighbours, the interval is 0.5 s
    and there is no grace; with 82 routers and 150 upstreams it is 3.24 s.
    """
    neighbours = find_neighbours(name, routers)
    spent = upstreams * RENEWAL_BYTES * len(neighbours)
    interval = max(SHORTEST_INTERVAL, spent / RENEWAL_BUDGET)
    way = count_hops(len({*routers, name})) * POLL_SECONDS
    return Plan(neighbours, interval, max(0.0, interval + way - TOLERANCE))


def find_neighbours(name: str, routers: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the names of the routers to be linked with, in order."""
    ordered = sorted({*routers, name})
    count = len(ordered)
    if count <= MESH_LIMIT:
        return tuple(other for other in ordered if other != name)
    place = ordered.index(name)
    stride = find_stride(count)
    places = (place - 1, place + 1, place - stride, place + stride)
    return tuple(sorted({ordered[other % count] for other in places} - {name}))


def find_stride(count: int) -> int:
    """Return the distance of the far neighbours."""
    return max(2, round(math.sqrt(count)))


def count_hops(count: int) -> int:
    """Return a bound on the routers that a row passes on its way to any other."""
    if count <= MESH_LIMIT:
        return 1
    stride = find_stride(count)
    return math.ceil(count / stride / 2) + math.ceil(stride / 2)
