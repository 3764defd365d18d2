"""Gossip about upstreams between neighbouring routers.

The owner polls every ``topology.POLL_SECONDS``, and at once after an urgent change (an
upstream announced itself or left). Each poll returns an update for each neighbour that
has rows outstanding. The first update on a new link holds all rows.

Example::

    exchange = Exchange("router-a1", known)
    for update in exchange.poll(mesh.linked(), now):
        mesh.send(update.neighbour, ...)
"""

import dataclasses
from collections import abc

from trestlestall.membership import outcomes, rows, table, topology

# Lower than every mark: selects all rows except those that the neighbour itself sent.
NOTHING_SENT = -1


@dataclasses.dataclass(frozen=True)
class NeighbourUpdate:
    """Rows and renewals to send to one neighbour."""

    neighbour: str
    rows: tuple[rows.RowUpdate, ...]


@dataclasses.dataclass(frozen=True)
class Received:
    """Result of merging a neighbour's rows.

    ``changes`` are the resulting changes of the table, ``missing`` the keys of the rows
    to request from the neighbour.
    """

    changes: tuple[outcomes.Change, ...]
    missing: tuple[bytes, ...]


class Exchange:
    """Tracks, as one mark per neighbour, which changes each neighbour has been sent."""

    def __init__(self, name: str, known: table.Table) -> None:
        self.name = name
        self.table = known
        self.marks: dict[str, int] = {}
        self.plan = topology.make_plan(name, (), 0)

    def set_routers(self, routers: abc.Collection[str], upstreams: int) -> None:
        """Compute the plan for these routers and this number of upstreams."""
        self.plan = topology.make_plan(self.name, routers, upstreams)
        self.table.interval = self.plan.interval
        self.table.grace = self.plan.grace

    def restart(self, neighbour: str) -> None:
        """Send all rows to the neighbour again, since the link to it is new.

        Must be called for each new link before any message received on it is handled.
        """
        self.marks.pop(neighbour, None)
        self.table.reset_peer(neighbour)

    def poll(self, linked: abc.Collection[str], now: float) -> list[NeighbourUpdate]:
        """Return the rows that each linked neighbour has not been sent yet."""
        updates = []
        for neighbour in self.plan.neighbours:
            if neighbour not in linked:
                continue
            mark = self.marks.get(neighbour, NOTHING_SENT)
            batch = self.table.list_rows_since(mark, now, neighbour)
            self.marks[neighbour] = batch.mark
            if batch.rows:
                updates.append(NeighbourUpdate(neighbour, batch.rows))
        return updates

    def receive(
        self, neighbour: str, received_rows: abc.Iterable[rows.RowUpdate], now: float
    ) -> Received:
        """Merge a neighbour's rows into the table."""
        changes = self.table.merge(received_rows, now, neighbour)
        return Received(tuple(changes), self.table.pop_missing_keys())

    def answer(self, keys: abc.Iterable[bytes], now: float) -> tuple[rows.Row, ...]:
        """Return the whole rows that a neighbour requested by key."""
        return self.table.list_rows_by_key(keys, now)
