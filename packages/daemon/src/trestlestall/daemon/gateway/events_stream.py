"""Splits event streams into events, so that only complete ones are forwarded."""

import re

from trestlestall.daemon import exceptions

#: An event ends with an empty line; a line ends with CRLF, LF or CR.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
#: Bytes of an event that are held until it is complete.
EVENT_LIMIT_BYTES = 1024 * 1024
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


#: Bytes of the longest end of an event, less one: it may be split between two parts.
END_OVERLAP_BYTES = 3


class TooLongError(exceptions.DaemonError):
    """An event has no end within ``EVENT_LIMIT_BYTES``."""


class Splitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._remainder = b""
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete now, each with its final empty line.

        Raises ``TooLongError`` if too much is held of one that is not.
        """
        self._remainder += data
        events = []
        while found := EVENT_END.search(self._remainder, self._searched):
            events.append(self._remainder[: found.end()])
            self._remainder = self._remainder[found.end() :]
            self._searched = 0
        self._searched = max(0, len(self._remainder) - END_OVERLAP_BYTES)
        if len(self._remainder) > EVENT_LIMIT_BYTES:
            raise TooLongError(f"{len(self._remainder)} bytes of an event")
        return events


def read_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none.

    >>> read_event_id(b"id: 7\\ndata: x\\n\\n")
    7
    """
    found = EVENT_ID.search(event)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))
