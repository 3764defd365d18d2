"""Strict conversion of plain documents into data classes.

``msgspec`` checks types and says where they are wrong, but lets unknown keys pass on
data classes; this module refuses them, so that a misspelt key is never ignored.
"""

import dataclasses
import functools
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


@functools.cache
def _list_fields(wanted: type) -> dict[str, typing.Any]:
    hints = typing.get_type_hints(wanted)
    return {field.name: hints[field.name] for field in dataclasses.fields(wanted)}


@functools.cache
def _list_nested(wanted: type) -> tuple[tuple[str, typing.Any], ...]:
    fields = _list_fields(wanted).items()
    return tuple((name, hint) for name, hint in fields if _is_nested(hint))


@functools.cache
def _is_nested(hint: typing.Any) -> bool:
    if typing.get_origin(hint) is tuple:
        return _is_nested(typing.get_args(hint)[0])
    return dataclasses.is_dataclass(hint)


def _refuse_unknown(document: typing.Any, wanted: typing.Any, path: str) -> None:
    if typing.get_origin(wanted) is tuple:
        inner = typing.get_args(wanted)[0]
        for place, part in enumerate(document):
            _refuse_unknown(part, inner, f"{path}[{place}]")
        return
    for key in document:
        if key not in _list_fields(wanted):
            raise exceptions.InvalidDocument(f"{path}.{key}", "unknown key")
    for name, hint in _list_nested(wanted):
        if name in document:
            _refuse_unknown(document[name], hint, f"{path}.{name}")
