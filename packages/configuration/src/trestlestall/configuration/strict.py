"""Strict conversion of plain documents into data classes.

``msgspec`` checks types and reports the path of an error, but ignores unknown keys of
data classes. This module rejects them, so that a misspelt key is never ignored.
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

    Raises ``InvalidDocument``, whose path begins with the given one.
    """
    try:
        value = msgspec.convert(document, wanted, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(PATH_MARK)
        raise exceptions.InvalidDocument(path + place.rstrip("`"), message) from error
    _reject_unknown_keys(document, wanted, path)
    return value


@dataclasses.dataclass(frozen=True)
class Shape:
    """The field names of a data class, and its fields whose types are data classes."""

    names: frozenset[str]
    nested: tuple[tuple[str, typing.Any], ...]


@functools.cache
def _get_shape(wanted: type) -> Shape:
    hints = typing.get_type_hints(wanted)
    names = frozenset(field.name for field in dataclasses.fields(wanted))
    nested = ((name, _drop_none(hints[name])) for name in sorted(names))
    return Shape(
        names, tuple((name, hint) for name, hint in nested if _has_data_class(hint))
    )


@functools.cache
def _get_item_type(wanted: typing.Any) -> typing.Any:
    """Return the type of the items of a tuple of any length, else ``None``."""
    if typing.get_origin(wanted) is not tuple:
        return None
    item_type, *rest = typing.get_args(wanted)
    return item_type if rest == [...] else None


@functools.cache
def _drop_none(hint: typing.Any) -> typing.Any:
    """Return the type of an optional hint without ``None``, other hints unchanged."""
    if not isinstance(hint, types.UnionType):
        return hint
    kinds = [kind for kind in typing.get_args(hint) if kind is not types.NoneType]
    return kinds[0] if len(kinds) == 1 else hint


def _has_data_class(hint: typing.Any) -> bool:
    return dataclasses.is_dataclass(_get_item_type(hint) or hint)


def _reject_unknown_keys(document: typing.Any, wanted: typing.Any, path: str) -> None:
    item_type = _get_item_type(wanted)
    if item_type is not None:
        for index, item in enumerate(document):
            _reject_unknown_keys(item, item_type, f"{path}[{index}]")
        return
    shape = _get_shape(wanted)
    unknown = document.keys() - shape.names
    if unknown:
        raise exceptions.InvalidDocument(f"{path}.{min(unknown)}", "unknown key")
    for name, hint in shape.nested:
        if document.get(name) is not None:
            _reject_unknown_keys(document[name], hint, f"{path}.{name}")
