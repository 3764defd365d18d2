"""Which software versions served lately, by service.

A version that is new to a service serves only once a majority of the directories has
heard of it. So any majority knows all versions that may have begun a stream.
"""

import dataclasses
from collections import abc

from trestlestall.forwarding import upstreams

#: Seconds for which a version counts as recent: longer than any stream's record.
HISTORY_SECONDS = 700.0


@dataclasses.dataclass(frozen=True)
class Seen:
    """A version of a service; None stands for upstreams whose version is unknown."""

    service: str
    version: str | None


class VersionHistory:
    """When each version was last seen; ``now`` is in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._seen_at: dict[Seen, float] = {}
        self._confirmed: set[Seen] = set()

    def record(self, rows: abc.Iterable[upstreams.Row], now: float) -> None:
        """Record the versions of rows that are distributed, or just were."""
        for row in rows:
            if row.service:
                self._seen_at[Seen(row.service, row.version)] = now
                self._confirmed.add(Seen(row.service, row.version))
        self._expire(now)

    def record_proposed(self, service: str, version: str, now: float) -> None:
        """Record a version that will serve once a majority has heard of it."""
        self._seen_at[Seen(service, version)] = now
        self._expire(now)

    def is_new(self, row: upstreams.Row) -> bool:
        """Return whether a row's version must not serve yet."""
        return Seen(row.service, row.version) not in self._confirmed

    def _expire(self, now: float) -> None:
        for seen, at in list(self._seen_at.items()):
            if now - at > HISTORY_SECONDS:
                del self._seen_at[seen]
                self._confirmed.discard(seen)

    def find_sole(self, service: str, seconds: float, now: float) -> str | None:
        """Return the only version seen in the last seconds; None if there are others.

        The rows that serve have to be recorded just before.
        """
        found = {
            seen.version
            for seen, at in self._seen_at.items()
            if seen.service == service and now - at <= seconds
        }
        return found.pop() if len(found) == 1 else None
