"""Encoding of messages to frames: CBOR ``[PROTOCOL_VERSION, name, fields]``.

The outer array is the same in every version of the protocol, so that an older process
can name a message that it does not understand. The size, depth and types of received
frames are checked; CBOR tags (dates, shared references, regular expressions) are
refused.
"""

import dataclasses
import typing

import cbor2
import msgspec

from trestlestall.wire import exceptions, messages, registry

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_DEPTH = 64
MAX_NAME_LENGTH = 100

# Tags that cbor2 converts to objects by default.
BUILT_IN_TAGS = (
    *(0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261),
    *(1004, 43000, 55799),
)


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """A frame that can't be decoded.

    ``name`` is set when the frame is well formed but its message, or the version of the
    protocol, isn't known here. The sender is then sent ``NotUnderstood``.
    """

    reason: str
    name: str = ""


def encode(message: object) -> bytes:
    """Return the frame; raise ``OversizedMessageError`` above ``MAX_FRAME_BYTES``."""
    kind = type(message)
    name = registry.NAMES[kind]
    fields = {field: getattr(message, field) for field in registry.FIELDS[kind]}
    frame = cbor2.dumps([PROTOCOL_VERSION, name, fields])
    if len(frame) > MAX_FRAME_BYTES:
        raise exceptions.OversizedMessageError(f"{name}: {len(frame)} bytes")
    return frame


def decode(data: bytes) -> typing.Any:
    """Return the message in the frame, or an ``Undecodable`` value."""
    if len(data) > MAX_FRAME_BYTES:
        return Undecodable(f"frame of {len(data)} bytes")
    try:
        plain = load(data)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        return Undecodable(f"not CBOR: {error}")
    if not is_frame(plain):
        return Undecodable("not [version, name, fields]")
    version, name, fields = plain
    kind = registry.KINDS.get(name)
    if version != PROTOCOL_VERSION:
        return Undecodable(f"version {version} of the protocol", name)
    if kind is None:
        return Undecodable(f"unknown message {name!r}", name)
    return convert(fields, kind)


def answer(undecodable: Undecodable) -> messages.NotUnderstood | None:
    """Return the message to answer an undecodable frame with, or ``None`` for none.

    A ``NotUnderstood`` is never answered, whatever its version, so that two processes
    can't answer each other with it endlessly.
    """
    refusal = registry.NAMES[messages.NotUnderstood]
    if not undecodable.name or undecodable.name == refusal:
        return None
    return messages.NotUnderstood(undecodable.name, PROTOCOL_VERSION)


def load(data: bytes) -> typing.Any:
    """Return the frame as a plain value; raises cbor2's errors and ``ValueError``."""
    return cbor2.loads(
        data,
        tag_hook=refuse_unknown_tag,
        semantic_decoders=dict.fromkeys(BUILT_IN_TAGS, refuse_tag),
        max_depth=MAX_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
        strict_hashable_types=True,
    )


def refuse_tag(decoder: cbor2.CBORDecoder) -> typing.NoReturn:
    """Raise an error for a tag that cbor2 knows."""
    raise cbor2.CBORDecodeError("CBOR tags are not allowed")


def refuse_unknown_tag(decoder: cbor2.CBORDecoder, tag: object) -> typing.NoReturn:
    """Raise an error for a tag that cbor2 does not know."""
    raise cbor2.CBORDecodeError("CBOR tags are not allowed")


def is_frame(plain: object) -> bool:
    """Return whether the value has the form ``[version, name, fields]``."""
    if not isinstance(plain, list) or len(plain) != 3:
        return False
    version, name, fields = plain
    if type(version) is not int or not isinstance(name, str):
        return False
    return len(name) <= MAX_NAME_LENGTH and isinstance(fields, dict)


def convert(fields: dict[str, typing.Any], kind: type) -> typing.Any:
    """Return the fields as a message of the class, or an ``Undecodable`` value."""
    unknown = sorted(set(fields).difference(registry.FIELDS[kind]))
    if unknown:
        return Undecodable(f"unknown key {unknown[0]!r}")
    try:
        return msgspec.convert(fields, kind)
    except (msgspec.ValidationError, OverflowError) as error:
        return Undecodable(str(error))
