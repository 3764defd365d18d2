"""Messages, entries, votes and snapshots as plain dicts, and back.

CBOR and JSON libraries carry the dicts; bytes stay bytes, so JSON would need a codec
for them. Decoding checks every type and key. For example::

    kind, fields = documents.encode_message(message)
    message = documents.decode_message(kind, fields)
"""

import dataclasses
import typing

import msgspec

from trestlestall.agreement import entries as entries_module, messages


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """The data is not what it should be; ``reason`` says where and why."""

    reason: str


def encode(record: typing.Any) -> dict:
    """Return an ``Entry``, ``Vote``, ``Snapshot`` or message as a plain dict."""
    return msgspec.to_builtins(record, builtin_types=(bytes,))


def decode_entry(fields: object) -> entries_module.Entry | Undecodable:
    """Return the entry that ``encode`` made the dict of."""
    return convert(fields, entries_module.Entry)


def decode_vote(fields: object) -> entries_module.Vote | Undecodable:
    """Return the vote that ``encode`` made the dict of."""
    return convert(fields, entries_module.Vote)


def decode_snapshot(fields: object) -> entries_module.Snapshot | Undecodable:
    """Return the snapshot that ``encode`` made the dict of."""
    return convert(fields, entries_module.Snapshot)


def encode_message(message: messages.Message) -> tuple[str, dict]:
    """Return the message's kind and its fields."""
    return NAMES[type(message)], encode(message)


def decode_message(kind: str, fields: object) -> messages.Message | Undecodable:
    """Return the message of the kind."""
    message_type = messages.KINDS.find(kind)
    if message_type is None:
        return Undecodable(f"unknown kind {kind!r}")
    return convert(fields, message_type)


def convert(fields: object, wanted: type) -> typing.Any:
    """Return the dict as an instance of the wanted type, if it fits exactly."""
    try:
        record = msgspec.convert(fields, wanted, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        return Undecodable(str(error))
    if not has_same_keys(fields, encode(record)):
        return Undecodable("unknown or missing fields")
    return record


def has_same_keys(fields: typing.Any, expected: typing.Any) -> bool:
    """Return whether the dicts, and those within them, have the same keys.

    The library ignores unknown keys and fills in defaults; neither is let pass.
    """
    if isinstance(expected, dict):
        return fields.keys() == expected.keys() and all(
            has_same_keys(fields[key], value) for key, value in expected.items()
        )
    if isinstance(expected, (list, tuple)):
        return all(map(has_same_keys, fields, expected))
    return True


NAMES = {message_type: kind for kind, message_type in messages.KINDS.list_items()}
