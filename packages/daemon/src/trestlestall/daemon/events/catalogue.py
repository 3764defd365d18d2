"""What an event is, and the register that holds each of them once."""

import dataclasses
import enum
import re

from trestlestall.daemon import exceptions

NUMBER = re.compile(r"TS[1-9]\d{3}")
NAME = re.compile(r"[a-z]+(_[a-z]+)*")
# Keys that the log itself writes on each line.
RESERVED_FIELDS = frozenset({"at", "level", "event", "name", "process"})


class Level(enum.StrEnum):
    """How urgent an event is: ``ERROR`` asks for an operator's action now."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log line.

    ``number`` never changes its meaning and is never used again once it has been
    dropped; scripts and alarms match on it. ``fields`` are the only keys that a line of
    this event may carry. ``meaning`` says what happened, ``action`` what to do.
    """

    number: str
    name: str
    level: Level
    fields: tuple[str, ...]
    meaning: str
    action: str


CATALOGUE: dict[str, Event] = {}


def declare(
    number: str, name: str, level: Level, fields: str, meaning: str, action: str = ""
) -> Event:
    """Add an event to the catalogue and return it; the fields are split at spaces."""
    event = Event(
        number, name, level, tuple(fields.split()), meaning, action or "Nothing to do."
    )
    _check(event)
    CATALOGUE[number] = event
    return event


def _check(event: Event) -> None:
    """Raise when the event breaks a rule of the catalogue."""
    if not NUMBER.fullmatch(event.number) or event.number in CATALOGUE:
        raise exceptions.InvalidEventError(f"{event.number} is no number or is taken")
    if not NAME.fullmatch(event.name):
        raise exceptions.InvalidEventError(f"{event.number}: bad name {event.name}")
    if any(event.name == other.name for other in CATALOGUE.values()):
        raise exceptions.InvalidEventError(f"{event.number}: {event.name} is taken")
    if RESERVED_FIELDS.intersection(event.fields):
        raise exceptions.InvalidEventError(f"{event.number} uses a reserved field")
    if len(set(event.fields)) < len(event.fields):
        raise exceptions.InvalidEventError(f"{event.number} lists a field twice")
