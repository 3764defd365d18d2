"""Batches: which rows a peer router is told next."""

import dataclasses
from collections import abc

from trestlestall.membership import entries, rows


@dataclasses.dataclass(frozen=True)
class Batch:
    """Rows that changed after a mark; ``mark`` is the one to ask with next time."""

    mark: int
    rows: tuple[rows.Told, ...]


def choose_rows(
    recent: abc.Iterable[entries.Entry], mark: int, now: float, peer: str, urgent: bool
) -> abc.Iterator[rows.Told]:
    """Yield the rows for a peer of the entries, which come newest news first.

    ``Table.rows_since`` says what the arguments mean.
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
