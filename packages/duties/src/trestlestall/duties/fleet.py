"""How many upstreams to order, where and of which kind.

There are two kinds. On-demand upstreams run until they are released. Reclaimable ones
cost a fraction of that, but all of them in a data centre may be reclaimed, with a
notice that is shorter than the start of another upstream. So most are reclaimable,
spread evenly over all data centres, and some are on-demand everywhere. Reclaimed
upstreams are replaced by reclaimable ones in other data centres, and by on-demand ones
where no others are available.

    observations = {"a": fleet.Observation(14, 0, 14)}
    planned = fleet.plan(terms, 31.0, observations)
"""

import dataclasses
import math
from collections import abc

from trestlestall.duties import supply

#: The share of the maximum that always runs, however low the demand is. Starting an
#: upstream takes seconds, in which a burst asks for several times as much as before;
#: half of the maximum as reclaimable upstreams costs a tenth of the maximum as
#: on-demand ones.
FLOOR_SHARE = 0.5
#: The share of the wanted upstreams that are on-demand. They serve when all reclaimable
#: ones are lost, until others have started: with less urgent requests refused, a
#: seventh of the slots still serves the most urgent ones.
ON_DEMAND_SHARE = 0.15
#: An order of reclaimable upstreams is lowered by no fewer than this at once, so that
#: noise does not start and end upstreams; on-demand ones are released one by one.
LEAST_CHANGE = 2


@dataclasses.dataclass(frozen=True)
class Observation:
    """The upstreams of a service in a data centre.

    ``on_demand`` and ``reclaimable`` count those that take requests, ``ordered`` the
    on-demand ones ordered so far. While it is ``closed``, no more reclaimable ones are
    available there.
    """

    on_demand: int
    reclaimable: int
    ordered: int
    closed: bool = False


@dataclasses.dataclass(frozen=True)
class Count:
    """How many upstreams of each kind a data centre should have."""

    on_demand: int
    reclaimable: int


def plan(
    terms: supply.Terms,
    target_capacity: float,
    observations: abc.Mapping[str, Observation],
) -> dict[str, Count]:
    """Return what each data centre should have for a target capacity of upstreams."""
    size = compute_size(terms, target_capacity, len(observations))
    if terms.reclaimable_price is None:
        return {name: Count(size, 0) for name in observations}
    on_demand = min(size, max(terms.least, math.ceil(ON_DEMAND_SHARE * size)))
    reclaimable = spread_reclaimable(terms, size - on_demand, on_demand, observations)
    missing = (
        len(observations) * size
        - sum(reclaimable.values())
        - on_demand * len(observations)
    )
    on_demand_counts = fill_on_demand(terms, on_demand, reclaimable, max(0, missing))
    on_demand_counts = retain_on_demand(
        terms, on_demand_counts, reclaimable, observations
    )
    return {
        name: Count(
            on_demand_counts[name],
            min(reclaimable[name], terms.most - on_demand_counts[name]),
        )
        for name in observations
    }


def compute_size(terms: supply.Terms, target_capacity: float, data_centres: int) -> int:
    """Return how many upstreams of both kinds each data centre should have."""
    least = max(terms.least, math.ceil(FLOOR_SHARE * terms.most))
    wanted = math.ceil(target_capacity / max(1, data_centres))
    return min(terms.most, max(least, wanted))


def spread_reclaimable(
    terms: supply.Terms,
    wanted: int,
    on_demand: int,
    observations: abc.Mapping[str, Observation],
) -> dict[str, int]:
    """Return the reclaimable upstreams by data centre, ``wanted`` on average.

    A closed data centre keeps those that it has; the others make up for what it lacks.
    """
    counts = {
        name: min(wanted, observation.reclaimable) if observation.closed else wanted
        for name, observation in observations.items()
    }
    missing = wanted * len(observations) - sum(counts.values())
    opened = sorted(
        name for name, observation in observations.items() if not observation.closed
    )
    for place, name in enumerate(opened):
        share = math.ceil(missing / (len(opened) - place))
        added = min(share, terms.most - on_demand - counts[name])
        counts[name] += added
        missing -= added
    return counts


def fill_on_demand(
    terms: supply.Terms,
    on_demand: int,
    reclaimable: abc.Mapping[str, int],
    missing: int,
) -> dict[str, int]:
    """Return the on-demand upstreams by data centre.

    Missing upstreams are added where on-demand ones cost least.

    >>> terms = supply.Terms(1, 6, 4.0, {"a": 1.0, "b": 0.8})
    >>> fill_on_demand(terms, 1, {"a": 0, "b": 0}, 7)
    {'a': 3, 'b': 6}
    """
    on_demand_counts = {name: on_demand for name in reclaimable}
    for name in sorted(
        on_demand_counts, key=lambda one: (terms.prices.get(one, 1.0), one)
    ):
        added = min(missing, terms.most - on_demand - reclaimable[name])
        on_demand_counts[name] += added
        missing -= added
    return on_demand_counts


def retain_on_demand(
    terms: supply.Terms,
    wanted: abc.Mapping[str, int],
    reclaimable: abc.Mapping[str, int],
    observations: abc.Mapping[str, Observation],
) -> dict[str, int]:
    """Return the on-demand upstreams, of which only as many are released as are spare.

    The most expensive ones are released first. Where on-demand upstreams occupy the
    capacity for reclaimable ones, they are released before these can start, as long as
    enough upstreams serve overall.
    """
    serving = sum(
        observation.on_demand + observation.reclaimable
        for observation in observations.values()
    )
    spare = max(0, serving - sum(wanted.values()) - sum(reclaimable.values()))
    retained = {}
    for name in sorted(wanted, key=lambda one: (-terms.prices.get(one, 1.0), one)):
        too_many = max(0, observations[name].ordered - wanted[name])
        released = min(too_many, spare)
        spare -= released
        retained[name] = wanted[name] + too_many - released
    return retained


def is_change(standing: int, wanted: int, enough: bool, reclaimable: bool) -> bool:
    """Return whether a new order should replace a standing one.

    Upstreams are released only while ``enough`` of them serve overall.
    """
    if wanted > standing:
        return True
    least = LEAST_CHANGE if reclaimable else 1
    return enough and wanted <= standing - least
