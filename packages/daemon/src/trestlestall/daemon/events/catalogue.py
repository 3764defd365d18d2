"""The definition of log events, and the registry of all of them."""

import dataclasses
import enum
import re

from trestlestall.daemon import exceptions

NUMBER = re.compile(r"TS[1-9]\d{3}")
NAME = re.compile(r"[a-z]+(_[a-z]+)*")
# Keys that the log writes on each line by itself.
RESERVED_FIELDS = frozenset({"at", "level", "event", "name", "process"})


class Level(enum.StrEnum):
    """How urgent an event is: ``ERROR`` requires an operator's action now."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log line.

    ``number`` never changes its meaning and isn't reused after an event was removed,
    since scripts and alerts match on it. ``fields`` are the only keys that a line of
    this event may have. ``meaning`` says what happened, ``action`` what to do.
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
    """Register an event and return it; ``fields`` is split at spaces.

    Raise ``InvalidEventError`` for an event that breaks a rule of the catalogue.
    """
    event = Event(
        number, name, level, tuple(fields.split()), meaning, action or "Nothing to do."
    )
    _check(event)
    CATALOGUE[number] = event
    return event


def _check(event: Event) -> None:
    """Raise ``InvalidEventError`` if the event breaks a rule of the catalogue."""
    if not NUMBER.fullmatch(event.number) or event.number in CATALOGUE:
        raise exceptions.InvalidEventError(f"{event.number} is invalid or in use")
    if not NAME.fullmatch(event.name):
        raise exceptions.InvalidEventError(f"{event.number}: bad name {event.name}")
    if any(event.name == other.name for other in CATALOGUE.values()):
        raise exceptions.InvalidEventError(f"{event.number}: {event.name} is in use")
    if RESERVED_FIELDS.intersection(event.fields):
        raise exceptions.InvalidEventError(f"{event.number} uses a reserved field")
    if len(set(event.fields)) < len(event.fields):
        raise exceptions.InvalidEventError(f"{event.number} lists a field twice")
