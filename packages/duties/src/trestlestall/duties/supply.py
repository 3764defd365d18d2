"""What an operator declares about a service whose upstreams may be ordered."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True)
class Terms:
    """What may be ordered of a service, in each data centre.

    ``least`` and ``most`` bound both kinds of upstreams together. ``prices`` are those
    of an on-demand upstream by data centre; ``reclaimable_price`` is the fraction of
    them that a reclaimable one costs, None if there are none.
    """

    least: int
    most: int
    start_seconds: float
    prices: abc.Mapping[str, float]
    reclaimable_price: float | None = None
