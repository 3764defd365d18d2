"""Requests and retries of a service per time slot, as directories exchange them.

A table holds the slot counts of all sources. A slot count only grows, so tables that
merged the same counts are equal, in whatever order and however often they arrived. Each
table numbers its changes, so that a peer which names the last one that it has heard of
gets what it lacks, whatever was lost on the way.
"""

import collections
import dataclasses
import math
from collections import abc

#: Seconds that one count covers. A window of 10 seconds has 40 slots, so its edges are
#: accurate to a fortieth, and a directory sends the others four counts a second.
SLOT_SECONDS = 0.25
#: A slot count on its way: source, service, slot number, age in seconds, requests and
#: retries.
Row = tuple[str, str, int, float, int, int]


@dataclasses.dataclass
class SlotCount:
    """Requests and retries of one service in one slot, as counted by one source.

    ``at`` is when the slot began, by the clock of the process that stores the count,
    and ``version`` that of the table when it last grew.
    """

    at: float
    requests: int = 0
    repeats: int = 0
    version: int = 0


@dataclasses.dataclass(frozen=True)
class Update:
    """Slot counts of one source, as exchanged with earlier builds.

    ``known`` is the length in seconds of the window, up to now, for which the sender
    has the counts of every source; 0 for an incremental update. ``granted`` is how many
    retries the source itself has granted in total, if it asks for acknowledgement; 0
    otherwise. Each tuple of ``tallies`` is a row without its source.
    """

    source: str
    known: float
    tallies: tuple[tuple[str, int, float, int, int], ...]
    granted: int = 0


class Table:
    """Slot counts of all sources; ``version`` is the number of the last change."""

    def __init__(self) -> None:
        self.version = 0
        self._counts: dict[tuple[str, str, int], SlotCount] = {}

    def __len__(self) -> int:
        """Return the number of slot counts."""
        return len(self._counts)

    def record(
        self, source: str, service: str, now: float, requests: int, retries: int
    ) -> bool:
        """Add to the current slot of a source; return whether it is a new one."""
        number = int(now / SLOT_SECONDS)
        key = source, service, number
        is_new = key not in self._counts
        if is_new:
            self._counts[key] = SlotCount(number * SLOT_SECONDS)
        found = self._counts[key]
        self._grow(found, found.requests + requests, found.repeats + retries)
        return is_new

    def merge(self, rows: abc.Iterable[Row], now: float) -> None:
        """Take over what these counts have more of."""
        for source, service, number, age, requests, retries in rows:
            found = self._counts.setdefault(
                (source, service, number), SlotCount(now - age)
            )
            # Transit time makes a count look younger than it is, never older.
            found.at = min(found.at, now - age)
            if requests > found.requests or retries > found.repeats:
                self._grow(
                    found,
                    max(found.requests, requests),
                    max(found.repeats, retries),
                )

    def _grow(self, found: SlotCount, requests: int, retries: int) -> None:
        self.version += 1
        found.requests, found.repeats = requests, retries
        found.version = self.version

    def list_rows(
        self, now: float, since: int = 0, of: str | None = None, but: str | None = None
    ) -> tuple[Row, ...]:
        """Return the counts that grew after a version.

        Only those of the source ``of`` if given, and none of the source ``but``.
        """
        return tuple(
            (*key, round(now - found.at, 3), found.requests, found.repeats)
            for key, found in self._counts.items()
            if found.version > since and key[0] != but and of in (None, key[0])
        )

    def count(self, service: str) -> tuple[int, int]:
        """Return the requests and the retries of a service."""
        found = [each for key, each in self._counts.items() if key[1] == service]
        requests = sum(each.requests for each in found)
        return requests, sum(each.repeats for each in found)

    def count_retries_by_source(self, service: str) -> dict[str, int]:
        """Return the retries of a service by the process that granted them."""
        found = collections.Counter()
        for (source, name, _), each in self._counts.items():
            if name == service and each.repeats:
                found[source] += each.repeats
        return dict(found)

    def expire_before(self, limit: float) -> None:
        """Remove the counts of slots that began before a time."""
        expired = [key for key, found in self._counts.items() if found.at < limit]
        for key in expired:
            del self._counts[key]


def decode_update(
    source: object, known: object, counts: abc.Iterable, granted: object
) -> Update:
    """Return the update of a message; raise ``ValueError`` if a field is invalid."""
    if not isinstance(source, str) or not is_duration(known) or not is_count(granted):
        raise ValueError(f"invalid update of a retry ledger from {source!r}")
    decoded = tuple(decode_count(encoded) for encoded in counts)
    return Update(source, known, decoded, granted)


def decode_rows(encoded: abc.Iterable) -> tuple[Row, ...]:
    """Return the rows of a message; raise ``ValueError`` if one is invalid."""
    return tuple(map(decode_row, encoded))


def decode_row(encoded: object) -> Row:
    """Return one row of a message; raise ``ValueError`` if it is invalid."""
    try:
        source, *count = encoded
    except (TypeError, ValueError) as error:
        raise ValueError(f"invalid slot count: {encoded!r}") from error
    if not isinstance(source, str):
        raise ValueError(f"invalid slot count: {encoded!r}")
    return source, *decode_count(count)


def decode_count(encoded: object) -> tuple[str, int, float, int, int]:
    """Return one slot count of a message; raise ``ValueError`` if it is invalid."""
    try:
        service, number, age, requests, retries = encoded
    except (TypeError, ValueError) as error:
        raise ValueError(f"invalid slot count: {encoded!r}") from error
    counted = all(is_count(count) for count in (number, requests, retries))
    if not (counted and isinstance(service, str) and is_duration(age)):
        raise ValueError(f"invalid slot count: {encoded!r}")
    return service, number, age, requests, retries


def is_count(number: object) -> bool:
    """Return whether the value is an integer from 0 up."""
    return type(number) is int and number >= 0


def is_duration(seconds: object) -> bool:
    """Return whether the value is a finite number of seconds from 0 up."""
    if isinstance(seconds, bool) or not isinstance(seconds, (int, float)):
        return False
    return math.isfinite(seconds) and seconds >= 0
