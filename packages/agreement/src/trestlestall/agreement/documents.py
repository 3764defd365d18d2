"""Conversion of messages, entries, votes and snapshots to plain dicts and back.

The dicts can be serialized with CBOR; values of type bytes are left as they are, so
JSON would need an encoding for them. Decoding checks every type and key. For example::

    kind, fields = documents.encode_message(message)
    message = documents.decode_message(kind, fields)
"""

import dataclasses
import typing

import msgspec

from trestlestall.agreement import entries as entries_module, messages


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """The data can't be decoded; ``reason`` states where and why."""

    reason: str


def encode(record: typing.Any) -> dict:
    """Convert an ``Entry``, ``Vote``, ``Snapshot`` or message to a plain dict."""
    return msgspec.to_builtins(record, builtin_types=(bytes,))


def decode_entry(fields: object) -> entries_module.Entry | Undecodable:
    """Decode the dict of an entry, as returned by ``encode``."""
    return convert(fields, entries_module.Entry)


def decode_vote(fields: object) -> entries_module.Vote | Undecodable:
    """Decode the dict of a vote, as returned by ``encode``."""
    return convert(fields, entries_module.Vote)


def decode_snapshot(fields: object) -> entries_module.Snapshot | Undecodable:
    """Decode the dict of a snapshot, as returned by ``encode``."""
    return convert(fields, entries_module.Snapshot)


def encode_message(message: messages.Message) -> tuple[str, dict]:
    """Return the kind and the fields of the message."""
    return NAMES[type(message)], encode(message)


def decode_message(kind: str, fields: object) -> messages.Message | Undecodable:
    """Decode the fields of a message of the kind."""
    message_type = messages.KINDS.find(kind)
    if message_type is None:
        return Undecodable(f"unknown kind {kind!r}")
    return convert(fields, message_type)


def convert(fields: object, wanted: type) -> typing.Any:
    """Convert the dict to the wanted type; types and keys must match exactly."""
    try:
        record = msgspec.convert(fields, wanted, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        return Undecodable(str(error))
    if not has_same_keys(fields, encode(record)):
        return Undecodable("unknown or missing fields")
    return record


def has_same_keys(fields: typing.Any, expected: typing.Any) -> bool:
    """Return whether the dicts, and those within them, have the same keys.

    The library ignores unknown keys and fills in defaults; both must be rejected here.
    """
    if isinstance(expected, dict):
        return fields.keys() == expected.keys() and all(
            has_same_keys(fields[key], value) for key, value in expected.items()
        )
    if isinstance(expected, (list, tuple)):
        return all(map(has_same_keys, fields, expected))
    return True


NAMES = {message_type: kind for kind, message_type in messages.KINDS.list_items()}
