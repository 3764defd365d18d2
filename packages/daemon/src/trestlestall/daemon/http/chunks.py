"""Incremental decoder of HTTP's chunked transfer coding; does no I/O.

``http.client`` and h11 decode one chunk per call, so that a process that has fallen
behind pays their full cost for each token, or for each byte of a client that sends
chunks of one byte. This decoder consumes all the bytes that have arrived at once.
"""

import functools
import re

LINE_END = b"\r\n"
END_LENGTH = len(LINE_END)
LINE_LIMIT_BYTES = 1024
TRAILERS_LIMIT_BYTES = 16 * 1024
SIZE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?")


class Decoder:
    """Decodes one body; ``finished`` is true once its last chunk has arrived.

    ``ended`` is true once the trailers behind it have arrived, too; they are dropped,
    and ``rest`` has the bytes after them. ``failed`` is true when the coding is
    invalid; later bytes are ignored then.
    """

    def __init__(self):
        self.finished = False
        self.ended = False
        self.failed = False
        self.rest = b""
        self._data = b""
        #: Bytes of the current chunk that have not arrived yet.
        self._remaining = 0
        self._at_chunk_end = False
        self._trailers_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Decode the next bytes of the connection; return the body's next bytes."""
        parts: list[bytes] = []
        data = self._data + data
        position = self._decode_chunks(data, parts)
        if self.finished:
            position = self._skip_trailers(data, position)
        self._data = data[position:]
        if self.ended:
            self.rest, self._data = self.rest + self._data, b""
        return b"".join(parts)

    def _decode_chunks(self, data: bytes, parts: list[bytes]) -> int:
        """Append the body's bytes; return the position up to which data was decoded."""
        position = 0
        while not (self.finished or self.failed):
            if self._remaining:
                part = data[position : position + self._remaining]
                parts.append(part)
                position += len(part)
                self._remaining -= len(part)
                self._at_chunk_end = not self._remaining
            if self._remaining or (
                self._at_chunk_end and len(data) < position + END_LENGTH
            ):
                break
            if self._at_chunk_end:
                self.failed = not data.startswith(LINE_END, position)
                position += END_LENGTH
                self._at_chunk_end = False
                continue
            end = data.find(LINE_END, position)
            if end < 0:
                self.failed = len(data) - position > LINE_LIMIT_BYTES
                break
            self._begin_chunk(data[position:end])
            position = end + END_LENGTH
        return position

    def _begin_chunk(self, line: bytes) -> None:
        size = read_size(line) if len(line) <= LINE_LIMIT_BYTES else None
        if size is None:
            self.failed = True
            return
        self._remaining = size
        self.finished = not size

    def _skip_trailers(self, data: bytes, position: int) -> int:
        """Return the position behind the lines of trailers that have arrived."""
        while not (self.ended or self.failed):
            end = data.find(LINE_END, position)
            left = len(data) if end < 0 else end
            trailers_bytes = self._trailers_bytes + left - position
            self.failed = trailers_bytes > TRAILERS_LIMIT_BYTES
            if end < 0:
                break
            self._trailers_bytes = trailers_bytes
            self.ended = end == position
            position = end + END_LENGTH
        return position


@functools.lru_cache(maxsize=256)
def read_size(line: bytes) -> int | None:
    """Return the size in the first line of a chunk; None if that is invalid.

    >>> read_size(b"1f;name=value")
    31
    """
    found = SIZE.fullmatch(line)
    return None if found is None else int(found[1], 16)
