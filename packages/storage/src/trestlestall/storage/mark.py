"""The mark: how much of which log file has been acknowledged.

The log alone can't show that its last frames were lost as a whole. The mark is written
after each sync of the log and isn't synced itself, so it costs no wait: after a killed
process it is exact, after a power cut it may lag. It never runs ahead of the log.

It holds two slots, written in turn, so that a torn write leaves the older one.
"""

import dataclasses
import struct
import zlib

SLOT_SIZE = 512
FIELDS = struct.Struct(">QQQ")
CHECKSUM = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class Mark:
    """``length`` bytes of the log file number ``generation`` have been synced."""

    number: int
    generation: int
    length: int

    @property
    def offset(self) -> int:
        """Return where the mark's slot begins in the file."""
        return self.number % 2 * SLOT_SIZE


def encode_mark(mark: Mark) -> bytes:
    """Return the bytes of the mark's slot."""
    fields = FIELDS.pack(mark.number, mark.generation, mark.length)
    return fields + CHECKSUM.pack(zlib.crc32(fields))


def decode_marks(data: bytes) -> Mark | None:
    """Return the newest sound mark of the file, or nothing when there is none."""
    found = [_decode_slot(data[start:]) for start in (0, SLOT_SIZE)]
    marks = [mark for mark in found if mark is not None]
    return max(marks, key=lambda mark: mark.number, default=None)


def _decode_slot(data: bytes) -> Mark | None:
    fields = data[: FIELDS.size]
    checksum = data[FIELDS.size : FIELDS.size + CHECKSUM.size]
    if len(fields) < FIELDS.size or CHECKSUM.pack(zlib.crc32(fields)) != checksum:
        return None
    return Mark(*FIELDS.unpack(fields))
