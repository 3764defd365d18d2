"""Orders of upstreams, as the agreed log holds them: entered first, then given.

A subject is a service in a data centre, with the kind of upstream that is ordered. An
order that was entered and not yet taken is given again by the next holder; one that was
taken is not, unless another count is wanted.
"""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True)
class Subject:
    """What is ordered where; upstreams that are ``reclaimable`` may be taken back."""

    service: str
    data_centre: str
    reclaimable: bool = False


@dataclasses.dataclass(frozen=True)
class Order:
    """The holder under ``token`` wants ``count`` upstreams of a subject."""

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
    """The platform has taken the order of ``count`` upstreams of a subject."""


@dataclasses.dataclass(frozen=True)
class Standing:
    """How many are wanted, and whether that order was taken."""

    count: int
    taken: bool


@dataclasses.dataclass(frozen=True)
class Orders:
    """The latest order of each subject."""

    standing: abc.Mapping[Subject, Standing] = dataclasses.field(default_factory=dict)


NONE = Orders()


def enter(orders: Orders, order: Order) -> Orders:
    """Return the orders with a new one, which is not taken yet."""
    known = orders.standing.get(order.subject)
    if known is not None and known.count == order.count:
        return orders
    entered = Standing(order.count, False)
    return Orders({**orders.standing, order.subject: entered})


def note_placed(orders: Orders, placed: Placed) -> Orders:
    """Return the orders after one was taken, unless another one took its place."""
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
    """Return the orders of plain values."""
    return Orders(
        {
            Subject(service, data_centre, reclaimable): Standing(count, taken)
            for service, data_centre, reclaimable, count, taken in plain
        }
    )
