"""Codec of tagged unions: documents with the name of a kind beside the fields.

    {"kind": "release", "attempt": "req-1"}

A table maps the name of each kind to its data class. Each package whose events and
outcomes go into the replicated log has such tables.
"""

import typing
from collections import abc

import msgspec

from trestlestall.configuration import exceptions, strict

KIND = "kind"


def encode(value: object, kinds: abc.Mapping[str, type]) -> dict:
    """Return the value's document: its kind and its fields, bytes unchanged."""
    kind = next(name for name, cls in kinds.items() if type(value) is cls)
    return {KIND: kind, **msgspec.to_builtins(value, builtin_types=(bytes,))}


def decode(document: object, kinds: abc.Mapping[str, type]) -> typing.Any:
    """Return the value of a document.

    Raises ``InvalidDocument`` for a kind that is not in the table, and where
    ``strict.convert`` does.
    """
    fields = dict(document) if isinstance(document, dict) else {}
    kind = fields.pop(KIND, None)
    if not isinstance(kind, str) or kind not in kinds:
        raise exceptions.InvalidDocument(f"$.{KIND}", f"unknown kind {kind!r}")
    return strict.convert(fields, kinds[kind])
