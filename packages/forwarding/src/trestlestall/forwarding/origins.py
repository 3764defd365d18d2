"""Which software began a stream, and which upstreams may go on with it.

What two versions write doesn't fit together, and upstreams don't check who began: a
stream goes on only at the service and the version that wrote its first event.
"""

import collections
import dataclasses
from collections import abc

from trestlestall.forwarding import upstreams

#: Why a stream can't go on now.
NO_UPSTREAM = "no upstream of the version that began the stream"
UNKNOWN = "it is not known which version began the stream"
MOVED = "the route no longer leads to the service that began the stream"


@dataclasses.dataclass(frozen=True)
class Origin:
    """The service and the version that began a stream.

    The version is None if it was not known: then no upstream may go on with it.
    """

    service: str
    version: str | None

    def matches(self, row: upstreams.Row) -> bool:
        """Return whether the upstream may go on with the stream.

        >>> row = upstreams.Row("u1", 1, upstreams.State.SERVING, "s", version="v1")
        >>> Origin("s", "v1").matches(row)
        True
        """
        known = self.version is not None
        return known and (row.service, row.version) == (self.service, self.version)


def list_last(by_service: abc.Mapping[str, list[upstreams.Row]]) -> frozenset[str]:
    """Return the upstreams that alone serve their version, beside others."""
    found = set()
    for rows in by_service.values():
        counts = collections.Counter(row.version for row in rows)
        if len(counts) > 1:
            found |= {row.identity for row in rows if counts[row.version] == 1}
    return frozenset(found)


def list_others(origin: Origin, rows: abc.Iterable[upstreams.Row]) -> set[str]:
    """Return the upstreams of the service that may not go on with the stream."""
    return {
        row.identity
        for row in rows
        if row.service == origin.service and not origin.matches(row)
    }
