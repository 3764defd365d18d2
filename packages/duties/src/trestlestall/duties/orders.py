"""Orders of upstreams, as stored in the agreed log: logged first, then sent.

A subject is a service in a data centre, with the kind of upstream that is ordered. An
order that was logged but not yet accepted by the platform is sent again by the next
lease holder; an accepted one is not, unless another count is wanted.
"""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True)
class Subject:
    """What is ordered where; ``reclaimable`` upstreams may be reclaimed."""

    service: str
    data_centre: str
    reclaimable: bool = False


@dataclasses.dataclass(frozen=True)
class Order:
    """The lease holder under ``token`` wants ``count`` upstreams of a subject."""

    token: int
    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def subject(self) -> Subject:
        """What is ordered where."""
        return Subject(self.service, self.data_centre, self.reclaimable)


@dataclasses.dataclass(frozen=True)
class Placed(Order):
    """The platform has accepted the order of ``count`` upstreams of a subject."""


@dataclasses.dataclass(frozen=True)
class Standing:
    """How many upstreams are wanted, and whether the platform accepted that order."""

    count: int
    taken: bool


@dataclasses.dataclass(frozen=True)
class Orders:
    """The latest order of each subject."""

    standing: abc.Mapping[Subject, Standing] = dataclasses.field(default_factory=dict)


NONE = Orders()


def enter(orders: Orders, order: Order) -> Orders:
    """Return the orders with a new one, which is not accepted yet."""
    known = orders.standing.get(order.subject)
    if known is not None and known.count == order.count:
        return orders
    entered = Standing(order.count, False)
    return Orders({**orders.standing, order.subject: entered})


def record_placed(orders: Orders, placed: Placed) -> Orders:
    """Return the orders after one was accepted, unless another one has replaced it."""
    known = orders.standing.get(placed.subject)
    if known is None or known.count != placed.count:
        return orders
    return Orders({**orders.standing, placed.subject: Standing(known.count, True)})


def encode(orders: Orders) -> list[list[typing.Any]]:
    """Return the orders as plain values."""
    return [
        [*dataclasses.astuple(subject), standing.count, standing.taken]
        for subject, standing in orders.standing.items()
    ]


def decode(plain: abc.Iterable[abc.Sequence[typing.Any]]) -> Orders:
    """Return the orders that plain values encode."""
    return Orders(
        {
            Subject(service, data_centre, reclaimable): Standing(count, taken)
            for service, data_centre, reclaimable, count, taken in plain
        }
    )
