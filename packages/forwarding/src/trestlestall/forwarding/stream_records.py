"""Records of which software began each stream, as long as callers may take it up.

A record is kept under a digest of the workspace and the request's id, so that nobody
can find, or even name, the stream of another workspace.
"""

import dataclasses
import hashlib
import math
from collections import abc

from trestlestall.forwarding import origins

#: Bytes of a key: large enough that collisions occur neither by chance nor by intent.
KEY_BYTES = 12
#: Records that are kept, the newest: over a minute of streams at the largest planned
#: deployment, some 30 MB.
RECORDS_LIMIT = 100_000
#: The longest time for which a record is kept, in seconds.
LONGEST_SECONDS = 600.0


@dataclasses.dataclass(frozen=True)
class Record:
    """The origin of a stream, None after contradicting reports; kept until then."""

    origin: origins.Origin | None
    until: float


class Records:
    """The newest records by key; ``dropped`` counts those dropped before their end.

    ``now`` is in seconds of one monotonic clock.
    """

    def __init__(self, limit: int = RECORDS_LIMIT) -> None:
        self.dropped = 0
        self._limit = limit
        self._records: dict[bytes, Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(
        self, key: bytes, origin: origins.Origin, seconds: float, now: float
    ) -> None:
        """Keep the origin of a stream for some seconds from now.

        Two origins of one stream are a contradiction: then none is known.
        """
        existing = self._records.pop(key, None)
        until = now + min(seconds, LONGEST_SECONDS)
        if existing is not None and existing.until > now:
            until = max(until, existing.until)
            origin = origin if existing.origin == origin else None
        self._records[key] = Record(origin, until)
        self._shrink(now)

    def find(self, key: bytes, now: float) -> origins.Origin | None:
        """Return the origin of a stream; None if it is not known."""
        found = self._records.get(key)
        return found.origin if found is not None and found.until > now else None

    def list_newest(self, count: int, now: float) -> list[tuple]:
        """Return rows of the newest records, with the seconds that are left."""
        newest = list(self._records.items())[-count:]
        return [
            encode_row(key, one.origin, one.until - now)
            for key, one in newest
            if one.origin is not None and one.until > now
        ]

    def _shrink(self, now: float) -> None:
        """Drop the oldest records that have ended, and those beyond the limit."""
        while self._records:
            key = next(iter(self._records))
            has_ended = self._records[key].until <= now
            if not has_ended and len(self._records) <= self._limit:
                return
            self.dropped += not has_ended
            del self._records[key]


def compute_key(workspace: str, request_id: str) -> bytes:
    """Return the key of the stream that a workspace's request began."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (workspace.encode(), request_id.encode()):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def encode_row(key: bytes, origin: origins.Origin, seconds: float) -> tuple:
    """Return a record as plain values, kept for ``seconds`` by its receiver."""
    return key, origin.service, origin.version, round(seconds, 1)


def decode_rows(
    plain: abc.Iterable[object],
) -> abc.Iterator[tuple[bytes, origins.Origin, float]]:
    """Yield the valid records of a message; others are left out."""
    for item in plain:
        if is_row(item):
            key, service, version, seconds = item
            yield key, origins.Origin(service, version), seconds


def is_row(item: object) -> bool:
    """Return whether a plain value is a record."""
    if not isinstance(item, (list, tuple)) or len(item) != 4:
        return False
    key, service, version, seconds = item
    return (
        isinstance(key, bytes)
        and len(key) == KEY_BYTES
        and isinstance(service, str)
        and isinstance(version, str)
        and isinstance(seconds, (int, float))
        and math.isfinite(seconds)
        and seconds > 0
    )
