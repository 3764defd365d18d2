"""Strict conversion of plain documents into data classes.

``msgspec`` checks types and says where they are wrong, but lets unknown keys pass on
data classes; this module refuses them, so that a misspelt key is never ignored.
"""

import dataclasses
import functools
import types
import typing

import msgspec

from trestlestall.configuration import exceptions

PATH_MARK = " - at `$"


def convert(document: object, wanted: typing.Any, path: str = "$") -> typing.Any:
    """Return the document as a value of the wanted type.

    Raises ``InvalidDocument`` with the path, which begins with the given one.
    """
    try:
        value = msgspec.convert(document, wanted, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(PATH_MARK)
        raise exceptions.InvalidDocument(path + place.rstrip("`"), message) from error
    _refuse_unknown(document, wanted, path)
    return value


@dataclasses.dataclass(frozen=True)
class Shape:
    """The field names of a data class, and the fields that hold data classes."""

    names: frozenset[str]
    nested: tuple[tuple[str, typing.Any], ...]


@functools.cache
def _find_shape(wanted: type) -> Shape:
    hints = typing.get_type_hints(wanted)
    names = frozenset(field.name for field in dataclasses.fields(wanted))
    nested = ((name, _drop_none(hints[name])) for name in sorted(names))
    return Shape(names, tuple((name, hint) for name, hint in nested if _nests(hint)))


@functools.cache
def _find_inner(wanted: typing.Any) -> typing.Any:
    """Return the type of the items of a tuple of any length, else ``None``."""
    if typing.get_origin(wanted) is not tuple:
        return None
    inner, *rest = typing.get_args(wanted)
    return inner if rest == [...] else None


@functools.cache
def _drop_none(hint: typing.Any) -> typing.Any:
    """Return the type that the hint leaves when ``None`` is taken off it."""
    if not isinstance(hint, types.UnionType):
        return hint
    kinds = [kind for kind in typing.get_args(hint) if kind is not types.NoneType]
    return kinds[0] if len(kinds) == 1 else hint


def _nests(hint: typing.Any) -> bool:
    return dataclasses.is_dataclass(_find_inner(hint) or hint)


def _refuse_unknown(document: typing.Any, wanted: typing.Any, path: str) -> None:
    inner = _find_inner(wanted)
    if inner is not None:
        for place, part in enumerate(document):
            _refuse_unknown(part, inner, f"{path}[{place}]")
        return
    shape = _find_shape(wanted)
    unknown = document.keys() - shape.names
    if unknown:
        raise exceptions.InvalidDocument(f"{path}.{min(unknown)}", "unknown key")
    for name, hint in shape.nested:
        if document.get(name) is not None:
            _refuse_unknown(document[name], hint, f"{path}.{name}")
