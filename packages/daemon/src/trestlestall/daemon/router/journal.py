"""Writes the router's log lines, and keeps the newest by request for ``explain``."""

import collections
import dataclasses

from trestlestall.daemon import environment, events, logs

REQUEST_LIMIT = 2000
LINE_LIMIT = 40


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line about a request; ``at`` is the Unix time in seconds."""

    at: float
    number: str
    name: str
    fields: dict[str, object]


class Journal:
    """Writes each event to the log, and retains those of the newest requests."""

    def __init__(self, log: logs.Log, clock: environment.Clock):
        self._log = log
        self._clock = clock
        self._requests: collections.OrderedDict[str, list[Line]]
        self._requests = collections.OrderedDict()

    def write(self, event: events.Event, **fields: object) -> None:
        """Write one line; a line with a ``request`` is retained for ``explain`` too."""
        self._log.write(event, **fields)
        request = fields.get("request")
        if request:
            self._store(str(request), event, fields)

    def explain(self, request: str) -> list[Line] | None:
        """Return the lines about a request, or ``None`` if it is not retained."""
        return self._requests.get(request)

    def list_requests(self) -> list[str]:
        """Return the retained requests, oldest first."""
        return list(self._requests)

    def _store(self, request: str, event: events.Event, fields: dict) -> None:
        lines = self._requests.get(request)
        if lines is None:
            lines = self._requests[request] = []
            if len(self._requests) > REQUEST_LIMIT:
                self._requests.popitem(last=False)
        if len(lines) < LINE_LIMIT:
            lines.append(Line(self._clock.wall(), event.number, event.name, fields))
