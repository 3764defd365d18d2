"""Conversion of JSON objects to frozen data classes, with all problems and their paths.

msgspec converts single values; nested classes are walked here, since msgspec stops at
the first problem and ignores unknown keys of plain data classes.
"""

import dataclasses
import ipaddress
import json
import pathlib
import typing

import msgspec

from trestlestall.daemon.settings import model

HIGHEST_PORT = 65535


class Missing:
    """The type of ``MISSING``, which replaces an invalid value.

    Its problem has been recorded already.
    """


MISSING = Missing()


def read_object(path: pathlib.Path) -> dict | model.Problem:
    """Return the JSON object in the file, or the problem with the file."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return model.Problem("", f"can't read {path}: {error.strerror}")
    except ValueError:
        return model.Problem("", f"no file can have the name {path}")
    try:
        found = json.loads(content, object_pairs_hook=_refuse_duplicates)
    except (ValueError, RecursionError) as error:
        return model.Problem("", f"{path} isn't valid JSON: {error}")
    if not isinstance(found, dict):
        return model.Problem("", f"{path} must hold a JSON object")
    return found


def _refuse_duplicates(pairs: list) -> dict:
    """Return the pairs as a dict; raise ``ValueError`` for a duplicate key."""
    found = dict(pairs)
    if len(found) < len(pairs):
        keys = [key for key, _ in pairs]
        twice = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"the key {json.dumps(twice)} is given twice")
    return found


def list_fields(data_class: type) -> list[dataclasses.Field]:
    """Return the fields of the class that may be given in a file."""
    fields = dataclasses.fields(data_class)
    return [field for field in fields if field.metadata.get("file", True)]


def parse_address(text: str) -> model.Address | str:
    """Return the address in the text, or the reason why it is invalid."""
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()):
        return "write it as IP:PORT, such as 127.0.0.1:8000"
    if int(port) > HIGHEST_PORT:
        return f"the port must be at most {HIGHEST_PORT}"
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return f"{host or 'an empty host'} isn't an IP number; names aren't looked up"
    if bracketed != (number.version == 6):
        return "write brackets round an IPv6 number, such as [::1]:8000, and only there"
    return model.Address(str(number), int(port))


class Reader:
    """Converts one document and collects its problems."""

    def __init__(self) -> None:
        self.problems: list[model.Problem] = []

    def add_problem(self, path: str, message: str) -> Missing:
        """Record a problem; return ``MISSING`` in place of the value."""
        self.problems.append(model.Problem(path, message))
        return MISSING

    def read_class(self, data_class: type, value: object, path: str) -> object:
        """Return an instance of the class; invalid values are ``MISSING``."""
        if not isinstance(value, dict):
            return self.add_problem(
                path, f"expected an object, got {_name_type(value)}"
            )
        hints = typing.get_type_hints(data_class)
        fields = list_fields(data_class)
        known = {field.name for field in fields}
        for key in [key for key in value if key not in known]:
            self.add_problem(_join(path, key), "unknown key")
        given = {}
        for field in fields:
            place = _join(path, field.name)
            if field.name in value:
                kind = hints[field.name]
                given[field.name] = self.read_value(kind, value[field.name], place)
            elif field.default is dataclasses.MISSING:
                given[field.name] = self.add_problem(
                    place, "missing; it has no default"
                )
        return data_class(**given)

    def read_value(self, kind: object, value: object, path: str) -> object:
        """Return the value converted to the type of the hint."""
        if kind == model.Address | None:
            return None if value is None else self.read_address(value, path)
        if kind is model.Address:
            return self.read_address(value, path)
        if typing.get_origin(kind) is tuple:
            return self.read_list(typing.get_args(kind)[0], value, path)
        if dataclasses.is_dataclass(kind):
            return self.read_class(kind, value, path)
        return self.read_plain(kind, value, path)

    def read_address(self, value: object, path: str) -> model.Address | Missing:
        """Return the address in the text, or ``MISSING``."""
        if not isinstance(value, str):
            return self.add_problem(
                path, f"expected IP:PORT as text, got {_name_type(value)}"
            )
        found = parse_address(value)
        return self.add_problem(path, found) if isinstance(found, str) else found

    def read_list(self, kind: object, value: object, path: str) -> tuple | Missing:
        """Return the converted items, with ``MISSING`` in place of invalid ones."""
        if not isinstance(value, list):
            return self.add_problem(path, f"expected an array, got {_name_type(value)}")
        return tuple(
            self.read_value(kind, item, f"{path}[{index}]")
            for index, item in enumerate(value)
        )

    def read_plain(self, kind: object, value: object, path: str) -> object:
        """Return a number, text, choice or null, or ``MISSING``."""
        try:
            found = msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            return self.add_problem(path, str(error))
        if found == "":
            return self.add_problem(path, "must not be empty")
        return found


def _join(path: str, key: str) -> str:
    """Return the path of a key inside an object."""
    return f"{path}.{key}" if path else key


def _name_type(value: object) -> str:
    """Return the JSON name of the value's type."""
    names = {dict: "an object", list: "an array", str: "text", bool: "true or false"}
    return names.get(type(value), "null" if value is None else "a number")
