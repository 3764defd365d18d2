"""Frames of the log file: a header, a payload and padding to a whole sector.

The header holds a sequence number, the payload's length and checksum, and a checksum of
the header itself, so that a corrupted length is never used, and a frame missing from
the middle is detected.

Each frame starts at a sector boundary, so a torn write can't damage the frame before
it. A frame is written and synced as one unit, which distinguishes a torn tail from
corruption: after a torn write the file ends early or some sector is still empty, and no
frame follows.
"""

import dataclasses
import struct
import zlib

SECTOR_BYTES = 512
MAGIC = b"TSL1"
HEADER = struct.Struct(">4sQII")
CHECKSUM = struct.Struct(">I")
HEADER_BYTES = HEADER.size + CHECKSUM.size
PADDING = b"\xff"


@dataclasses.dataclass(frozen=True)
class Frame:
    """One complete frame; ``end`` is the offset in the file at which it ends."""

    payload: bytes
    end: int


@dataclasses.dataclass(frozen=True)
class Scan:
    """The result of reading a log file.

    ``torn`` means that the bytes after the last frame are the remains of a write that
    was never acknowledged; ``damage`` states why the file can't be trusted.
    """

    frames: tuple[Frame, ...]
    torn: bool = False
    damage: str | None = None

    @property
    def end(self) -> int:
        """Offset at which the last complete frame ends, in bytes."""
        return self.frames[-1].end if self.frames else 0


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return the bytes of a frame; sequence numbers start at 0."""
    header = HEADER.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    frame = header + CHECKSUM.pack(zlib.crc32(header)) + payload
    return frame + PADDING * (-len(frame) % SECTOR_BYTES)


def scan_frames(data: bytes) -> Scan:
    """Read frames from the start of the file up to its end or the first invalid one."""
    frames: list[Frame] = []
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset, len(frames))
        if frame is None:
            return _classify_tail(data, offset, tuple(frames))
        frames.append(frame)
        offset = frame.end
    return Scan(tuple(frames))


def _read_header(data: bytes, offset: int) -> tuple[int, int, int] | None:
    """Return sequence, length and checksum, or None without a valid header there."""
    header = data[offset : offset + HEADER.size]
    checksum = data[offset + HEADER.size : offset + HEADER_BYTES]
    if len(checksum) < CHECKSUM.size or CHECKSUM.pack(zlib.crc32(header)) != checksum:
        return None
    magic, *numbers = HEADER.unpack(header)
    return tuple(numbers) if magic == MAGIC else None


def _read_frame(data: bytes, offset: int, sequence: int) -> Frame | None:
    header = _read_header(data, offset)
    if header is None or header[0] != sequence:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header[1]]
    end = offset + _round_up(HEADER_BYTES + header[1])
    if len(data) < end or zlib.crc32(payload) != header[2]:
        return None
    return Frame(payload, end)


def _classify_tail(data: bytes, offset: int, frames: tuple[Frame, ...]) -> Scan:
    """Classify the bytes after the last frame: a torn write or corruption."""
    for later in range(offset + SECTOR_BYTES, len(data), SECTOR_BYTES):
        header = _read_header(data, later)
        if header is not None and header[0] > len(frames):
            return Scan(frames, damage=f"damaged at byte {offset}, valid at {later}")
    if _is_truncated(data, offset) or _has_empty_sector(data, offset):
        return Scan(frames, torn=True)
    return Scan(frames, damage=f"damaged at byte {offset}")


def _is_truncated(data: bytes, offset: int) -> bool:
    """Return whether the file ends within the frame that starts at the offset."""
    if len(data) - offset < SECTOR_BYTES:
        return True
    header = _read_header(data, offset)
    return header is not None and len(data) < offset + _round_up(
        HEADER_BYTES + header[1]
    )


def _has_empty_sector(data: bytes, offset: int) -> bool:
    """Return whether some sector was allocated but never written (all zeros)."""
    starts = range(offset, len(data), SECTOR_BYTES)
    return any(not any(data[start : start + SECTOR_BYTES]) for start in starts)


def _round_up(length: int) -> int:
    return length + -length % SECTOR_BYTES
