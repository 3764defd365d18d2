"""Frames of the log file: a header, a payload and padding to a whole sector.

The header holds a sequence number, the payload's length and checksum, and a checksum of
itself, so that a damaged length is never followed, and a frame taken out of the middle
is noticed.

Each frame begins at a sector, so a torn write can't touch the frame before it. A frame
is written and synced as one, which tells a torn tail from damage: after a torn write
the file ends early or some sector is still empty, and nothing follows.
"""

import dataclasses
import struct
import zlib

SECTOR = 512
MAGIC = b"TSL1"
HEADER = struct.Struct(">4sQII")
CHECKSUM = struct.Struct(">I")
HEADER_SIZE = HEADER.size + CHECKSUM.size
PADDING = b"\xff"


@dataclasses.dataclass(frozen=True)
class Frame:
    """One whole frame: its payload and where it ends in the file."""

    payload: bytes
    end: int


@dataclasses.dataclass(frozen=True)
class Scan:
    """What a log file holds.

    ``torn`` says that bytes after the last frame are the rest of a write that was never
    acknowledged; ``damage`` says why the file can't be trusted.
    """

    frames: tuple[Frame, ...]
    torn: bool = False
    damage: str | None = None

    @property
    def end(self) -> int:
        """Return where the last whole frame ends, in bytes."""
        return self.frames[-1].end if self.frames else 0


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return the bytes of the frame with that number, counted from 0."""
    header = HEADER.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    frame = header + CHECKSUM.pack(zlib.crc32(header)) + payload
    return frame + PADDING * (-len(frame) % SECTOR)


def scan_frames(data: bytes) -> Scan:
    """Read frames from the start of the file up to its end or the first bad one."""
    frames: list[Frame] = []
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset, len(frames))
        if frame is None:
            return _judge_rest(data, offset, tuple(frames))
        frames.append(frame)
        offset = frame.end
    return Scan(tuple(frames))


def _read_header(data: bytes, offset: int) -> tuple[int, int, int] | None:
    """Return sequence, length and checksum when a sound header stands there."""
    header = data[offset : offset + HEADER.size]
    checksum = data[offset + HEADER.size : offset + HEADER_SIZE]
    if len(checksum) < CHECKSUM.size or CHECKSUM.pack(zlib.crc32(header)) != checksum:
        return None
    magic, *numbers = HEADER.unpack(header)
    return tuple(numbers) if magic == MAGIC else None


def _read_frame(data: bytes, offset: int, sequence: int) -> Frame | None:
    header = _read_header(data, offset)
    if header is None or header[0] != sequence:
        return None
    start = offset + HEADER_SIZE
    payload = data[start : start + header[1]]
    end = offset + _round_up(HEADER_SIZE + header[1])
    if len(data) < end or zlib.crc32(payload) != header[2]:
        return None
    return Frame(payload, end)


def _judge_rest(data: bytes, offset: int, frames: tuple[Frame, ...]) -> Scan:
    """Tell a write that was cut off from damage to what had been synced."""
    for later in range(offset + SECTOR, len(data), SECTOR):
        header = _read_header(data, later)
        if header is not None and header[0] > len(frames):
            return Scan(frames, damage=f"damaged at byte {offset}, sound at {later}")
    if _is_cut_off(data, offset) or _has_empty_sector(data, offset):
        return Scan(frames, torn=True)
    return Scan(frames, damage=f"damaged at byte {offset}")


def _is_cut_off(data: bytes, offset: int) -> bool:
    """Return whether the file ends before the frame that begins there does."""
    if len(data) - offset < SECTOR:
        return True
    header = _read_header(data, offset)
    return header is not None and len(data) < offset + _round_up(
        HEADER_SIZE + header[1]
    )


def _has_empty_sector(data: bytes, offset: int) -> bool:
    """Return whether some sector has been given room but was never written."""
    starts = range(offset, len(data), SECTOR)
    return any(not any(data[start : start + SECTOR]) for start in starts)


def _round_up(length: int) -> int:
    return length + -length % SECTOR
