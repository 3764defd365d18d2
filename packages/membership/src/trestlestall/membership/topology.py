"""The gossip overlay of a data centre's routers: neighbours and relaying interval.

Up to ``MESH_LIMIT`` routers form a full mesh. Beyond that each has four neighbours: the
next and the previous router in order of name, and those the square root of the number
of routers ahead and behind. Rows are then relayed over several routers along many
paths, so that a few failed routers don't partition the others. Both ends of a pair
compute the same result from the same list of names.
"""

import dataclasses
import math
from collections import abc

MESH_LIMIT = 5

# Bandwidth budget of renewals at one router, sent and received together. The rest of
# 7,000 bytes a second is for announcements, pressure, keepalive and configuration.
RENEWAL_BYTES_PER_SECOND = 5000.0

# Size of one renewal in a frame (see docs/design/dissemination.md). One router sends or
# receives each renewal about as many times as it has neighbours.
RENEWAL_BYTES = 27.0

MIN_INTERVAL_SECONDS = 0.5
POLL_SECONDS = 0.25

# Delay that a renewal may have on its path to a peer without needing grace: an upstream
# renews three times in one lease.
TOLERANCE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """The neighbours of a router and the pace of its relaying.

    ``interval``: the seconds within which the routers together relay one renewal of an
    upstream and suppress the others. ``grace``: the seconds to add to leases for the
    time that a renewal is suppressed and on its path.
    """

    neighbours: tuple[str, ...]
    interval: float
    grace: float


def make_plan(name: str, routers: abc.Collection[str], upstreams: int) -> Plan:
    """Return the plan for a router among the routers of its data centre.

    Example: with 3 routers and 25 upstreams all are neighbours, the interval is 0.5 s
    and there is no grace; with 82 routers and 150 upstreams the interval is 3.24 s.
    """
    neighbours = find_neighbours(name, routers)
    renewal_rate = upstreams * RENEWAL_BYTES * len(neighbours)
    interval = max(MIN_INTERVAL_SECONDS, renewal_rate / RENEWAL_BYTES_PER_SECOND)
    path_seconds = count_hops(len({*routers, name})) * POLL_SECONDS
    return Plan(
        neighbours, interval, max(0.0, interval + path_seconds - TOLERANCE_SECONDS)
    )


def find_neighbours(name: str, routers: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the names of the router's neighbours, in order."""
    ordered = sorted({*routers, name})
    count = len(ordered)
    if count <= MESH_LIMIT:
        return tuple(other for other in ordered if other != name)
    place = ordered.index(name)
    stride = find_stride(count)
    places = (place - 1, place + 1, place - stride, place + stride)
    return tuple(sorted({ordered[other % count] for other in places} - {name}))


def find_stride(count: int) -> int:
    """Return the distance of the far neighbours in the order of names."""
    return max(2, round(math.sqrt(count)))


def count_hops(count: int) -> int:
    """Return an upper bound on the hops of a row to any other router."""
    if count <= MESH_LIMIT:
        return 1
    stride = find_stride(count)
    return math.ceil(count / stride / 2) + math.ceil(stride / 2)
