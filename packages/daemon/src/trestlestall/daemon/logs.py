"""Structured logs: one JSON line per event of the catalogue.

    log = logs.Log(env.stderr, env.clock, process="router-a1")
    log.write(events.routing.SENT, request="r1", upstream="u1", reason="least loaded")

writes ``{"event": "TS2004", "at": "2026-01-01T09:00:00.000Z", "level": "info", "name":
"request_sent", "process": "router-a1", "request": "r1", …}``.
"""

import datetime
import json
import typing
from collections import abc

import msgspec
import structlog

from trestlestall.daemon import environment, events, exceptions
from trestlestall.wire import clocks

ENCODER = msgspec.json.Encoder(enc_hook=repr)


class Log:
    """Writes events to a stream, one line each."""

    def __init__(
        self, stream: typing.TextIO, clock: environment.Clock, process: str = ""
    ) -> None:
        self._clock = clock
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream),
            processors=[_put_event_first, structlog.processors.JSONRenderer(_encode)],
            wrapper_class=structlog.BoundLogger,
        ).bind()
        self._process = process

    def write(self, event: events.Event, **fields: object) -> None:
        """Write a line.

        Raise ``UnknownFieldError`` for a field that the event doesn't have.
        """
        unknown = fields.keys() - set(event.fields)
        if unknown:
            names = ", ".join(sorted(unknown))
            raise exceptions.UnknownFieldError(f"{event.number} has no field {names}")
        line = {
            "at": _format_time(self._clock.wall()),
            "level": event.level.value,
            "name": event.name,
            "process": self._process,
            **fields,
        }
        self._logger.msg(event.number, **line)


class Throttle:
    """Permits one log line per interval and counts the lines suppressed in between.

    >>> throttle = Throttle(1.0, iter((0.0, 0.4, 0.9, 1.2)).__next__)
    >>> [throttle.count() for _ in range(4)]
    [0, None, None, 2]
    """

    def __init__(
        self, seconds: float, clock: abc.Callable[[], float] = clocks.read
    ) -> None:
        self._interval_seconds = seconds
        self._clock = clock
        self._last = float("-inf")
        self._left_out = 0

    def count(self) -> int | None:
        """Return the number of suppressed lines if a line is due now, else None."""
        now = self._clock()
        if now - self._last < self._interval_seconds:
            self._left_out += 1
            return None
        self._last = now
        left_out, self._left_out = self._left_out, 0
        return left_out


def _encode(line: dict, **options: object) -> str:
    """Return the line as JSON; values that JSON can't represent are written as repr."""
    try:
        return ENCODER.encode(line).decode()
    except UnicodeEncodeError:
        # Text with a lone surrogate, which the standard library escapes.
        return json.dumps(line, default=repr)


def _put_event_first(logger: object, method: str, line: dict) -> dict:
    """Return the line with the event's number first, where readers look for it."""
    return {"event": line.pop("event"), **line}


def _format_time(seconds: float) -> str:
    """Return the Unix time in ISO 8601 with milliseconds, in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
