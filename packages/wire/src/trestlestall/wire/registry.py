"""The registry of message classes by their names on the wire."""

import dataclasses
import typing
from collections import abc

Kind = typing.TypeVar("Kind", bound=type)

KINDS: dict[str, type] = {}
NAMES: dict[type, str] = {}
FIELDS: dict[type, tuple[str, ...]] = {}


def register(name: str) -> abc.Callable[[Kind], Kind]:
    """Return a decorator that gives a message class its name on the wire."""

    def add(kind: Kind) -> Kind:
        if name in KINDS:
            raise ValueError(f"two messages are named {name!r}")
        KINDS[name] = kind
        NAMES[kind] = name
        FIELDS[kind] = tuple(field.name for field in dataclasses.fields(kind))
        return kind

    return add
