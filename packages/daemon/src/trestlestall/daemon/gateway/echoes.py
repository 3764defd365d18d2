"""Whose answer has arrived, by the request id that the upstream repeats in it.

An upstream may send an answer twice, the second time where the next answer of the
connection is due. So an answer counts as that of the request that waits only if it
names it, or if no other request was ever sent on the connection.
"""

import enum
from collections import abc

from trestlestall.daemon.gateway import heads


class Echo(enum.Enum):
    """Which request an answer names."""

    OWN = "own"
    OTHER = "other"
    MISSING = "missing"


def read(
    headers: abc.Iterable[tuple[bytes, bytes]], name: str, request_id: str
) -> Echo:
    """Return which request the headers of an answer name.

    One that names several requests belongs to none of them.

    >>> read([(b"x-id", b"r-1"), (b"x-id", b"r-2")], "X-Id", "r-1")
    <Echo.OTHER: 'other'>
    """
    named = heads.list_values(list(headers), name)
    if not named:
        return Echo.MISSING
    return Echo.OWN if named == (request_id,) else Echo.OTHER
