"""Selection of the rows to send to a peer router next."""

import dataclasses
from collections import abc

from trestlestall.membership import entries, rows


@dataclasses.dataclass(frozen=True)
class Batch:
    """Rows that changed after a mark; ``mark`` is the mark for the next query."""

    mark: int
    rows: tuple[rows.RowUpdate, ...]


def choose_rows(
    recent: abc.Iterable[entries.Entry], mark: int, now: float, peer: str, urgent: bool
) -> abc.Iterator[rows.RowUpdate]:
    """Yield the rows for the peer from entries ordered by latest update, newest first.

    The arguments are those of ``Table.list_rows_since``.
    """
    for entry in recent:
        if entry.renewed_at <= mark:
            return
        if entry.fact.until <= now or (mark != 0 and peer in entry.known_by):
            continue
        if entry.changed_at > mark:
            yield rows.make_row(entry.fact, now)
        elif not urgent:
            yield rows.make_renewal(entry.fact, now)
