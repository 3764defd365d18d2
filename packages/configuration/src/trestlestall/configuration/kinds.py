"""Plain documents of values of several kinds: the kind's name beside the fields.

    {"kind": "release", "attempt": "req-1"}

A table gives each kind's name and data class; the packages whose events and outcomes go
into the agreed log each have such tables.
"""

import typing
from collections import abc

import msgspec

from trestlestall.configuration import exceptions, strict

KIND = "kind"


def encode(value: object, kinds: abc.Mapping[str, type]) -> dict:
    """Return the value's document: its kind and its fields, bytes as they are."""
    kind = next(name for name, known in kinds.items() if type(value) is known)
    return {KIND: kind, **msgspec.to_builtins(value, builtin_types=(bytes,))}


def decode(document: object, kinds: abc.Mapping[str, type]) -> typing.Any:
    """Return the value of a document.

    Raises ``InvalidDocument`` for a kind that the table hasn't, and as
    ``strict.convert`` does.
    """
    fields = dict(document) if isinstance(document, dict) else {}
    kind = fields.pop(KIND, None)
    if not isinstance(kind, str) or kind not in kinds:
        raise exceptions.InvalidDocument(f"$.{KIND}", f"unknown kind {kind!r}")
    return strict.convert(fields, kinds[kind])
