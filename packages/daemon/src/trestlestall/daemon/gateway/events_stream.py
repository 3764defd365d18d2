"""Event streams, cut at the ends of events, so that only whole ones are passed on."""

import re

#: An event ends with an empty line, in any of the three ways to end a line.
END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
IDENTITY = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class Splitter:
    """Collects bytes and gives back whole events with their identity."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an event that has not ended."""
        return self._rest

    def take(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now, each with its ending empty line."""
        self._rest += data
        events = []
        while (found := END.search(self._rest)) is not None:
            events.append(self._rest[: found.end()])
            self._rest = self._rest[found.end() :]
        return events


def read_identity(event: bytes) -> int | None:
    """Return the number of an event, or None if it has none.

    >>> read_identity(b"id: 7\\ndata: x\\n\\n")
    7
    """
    found = IDENTITY.search(event)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))
