"""Names of messages: a registry that a decorator fills."""

import typing
from collections import abc

Kind = typing.TypeVar("Kind", bound=type)

KINDS: dict[str, type] = {}
NAMES: dict[type, str] = {}


def register(name: str) -> abc.Callable[[Kind], Kind]:
    """Return a decorator that gives a message class its name on the wire."""

    def add(kind: Kind) -> Kind:
        if name in KINDS:
            raise ValueError(f"two messages are named {name!r}")
        KINDS[name] = kind
        NAMES[kind] = name
        return kind

    return add
