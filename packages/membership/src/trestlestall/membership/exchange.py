"""What a router sends its neighbours about upstreams, and when.

The owner polls every ``topology.POLL_SECONDS``, and at once after a change that can't
wait (an upstream announced itself or left); each poll returns a parcel for each
neighbour that has something to hear. A new link begins with all rows.

Example::

    exchange = Exchange("router-a1", known)
    for parcel in exchange.poll(mesh.linked(), now):
        mesh.send(parcel.neighbour, ...)
"""

import dataclasses
from collections import abc

from trestlestall.membership import outcomes, rows, table, topology

# Below every mark: all rows but those that the neighbour told.
NOTHING_SENT = -1


@dataclasses.dataclass(frozen=True)
class Parcel:
    """Rows for one neighbour."""

    neighbour: str
    rows: tuple[rows.Told, ...]


@dataclasses.dataclass(frozen=True)
class Received:
    """What came of a neighbour's rows: changes, and keys of rows to ask it for."""

    changes: tuple[outcomes.Change, ...]
    missing: tuple[bytes, ...]


class Exchange:
    """The marks of a router's neighbours: which changes each has been sent."""

    def __init__(self, name: str, known: table.Table) -> None:
        self.name = name
        self.table = known
        self.marks: dict[str, int] = {}
        self.plan = topology.make_plan(name, (), 0)

    def set_routers(self, routers: abc.Collection[str], upstreams: int) -> None:
        """Plan for the routers of the data centre and a number of upstreams."""
        self.plan = topology.make_plan(self.name, routers, upstreams)
        self.table.interval = self.plan.interval
        self.table.grace = self.plan.grace

    def restart(self, neighbour: str) -> None:
        """Begin again with all rows: the link to the neighbour is new.

        To be called for each new link, before anything that came on it is taken in.
        """
        self.marks.pop(neighbour, None)
        self.table.forget_teller(neighbour)

    def poll(self, linked: abc.Collection[str], now: float) -> list[Parcel]:
        """Return what each linked neighbour has not been sent yet."""
        parcels = []
        for neighbour in self.plan.neighbours:
            if neighbour not in linked:
                continue
            mark = self.marks.get(neighbour, NOTHING_SENT)
            batch = self.table.rows_since(mark, now, neighbour)
            self.marks[neighbour] = batch.mark
            if batch.rows:
                parcels.append(Parcel(neighbour, batch.rows))
        return parcels

    def receive(
        self, neighbour: str, told: abc.Iterable[rows.Told], now: float
    ) -> Received:
        """Take in a neighbour's rows."""
        changes = self.table.merge(told, now, neighbour)
        return Received(tuple(changes), self.table.take_missing())

    def answer(self, keys: abc.Iterable[bytes], now: float) -> tuple[rows.Row, ...]:
        """Return the whole rows that a neighbour asked for."""
        return self.table.rows_for(keys, now)
