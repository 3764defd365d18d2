"""The mark: a high-water mark of the acknowledged part of the log file.

The log alone can't show that complete frames were lost at its end. The mark is written
after each sync of the log and isn't synced itself, so it adds no latency: it is exact
after a process was killed, and may lag after a power failure. It is never ahead of the
log.

The file has two slots, written alternately, so that a torn write leaves the older mark
intact.
"""

import dataclasses
import struct
import zlib

SLOT_BYTES = 512
FIELDS = struct.Struct(">QQQ")
CHECKSUM = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class Mark:
    """``length`` bytes of the log file of ``generation`` have been synced.

    ``number`` counts the marks that were written, and selects the slot.
    """

    number: int
    generation: int
    length: int

    @property
    def offset(self) -> int:
        """Offset of the mark's slot in the file, in bytes."""
        return self.number % 2 * SLOT_BYTES


def encode_mark(mark: Mark) -> bytes:
    """Return the bytes of the mark's slot."""
    fields = FIELDS.pack(mark.number, mark.generation, mark.length)
    return fields + CHECKSUM.pack(zlib.crc32(fields))


def decode_marks(data: bytes) -> Mark | None:
    """Return the newest valid mark of the file, or None if there is none."""
    found = [_decode_slot(data[start:]) for start in (0, SLOT_BYTES)]
    marks = [mark for mark in found if mark is not None]
    return max(marks, key=lambda mark: mark.number, default=None)


def _decode_slot(data: bytes) -> Mark | None:
    fields = data[: FIELDS.size]
    checksum = data[FIELDS.size : FIELDS.size + CHECKSUM.size]
    if len(fields) < FIELDS.size or CHECKSUM.pack(zlib.crc32(fields)) != checksum:
        return None
    return Mark(*FIELDS.unpack(fields))
