"""The head of an upstream's answer, checked by the grammar of RFC 9112; does no I/O.

A head that breaks the grammar is read in several ways by libraries: a line that begins
with a blank is joined to the one before it, or ends the head, and a length in it counts
or is lost. Then bytes of another answer pass for this one's. So no part of such a head
is believed.
"""

import dataclasses
import re

from trestlestall.daemon import exceptions

LIMIT_BYTES = 64 * 1024
#: Any minor version is read like 1.1, but that there are no chunks in 1.0.
START = b"HTTP/1."
#: An end of a head in any way that libraries accept; the grammar allows CRLF alone.
END = re.compile(rb"\n\r?\n")
END_LENGTH = 3
#: The standard requires a blank before a missing reason, too; some servers omit it.
STATUS_LINE = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
VALUE = rb"[\t\x20-\x7e\x80-\xff]*"
FIELD = re.compile(rb"(%s):(%s)\r\n" % (NAME, VALUE))
HEAD = re.compile(rb"%s((?:%s:%s\r\n)*)\r\n" % (STATUS_LINE.pattern, NAME, VALUE))
#: More digits than the length of any body has.
LENGTH = re.compile("[0-9]{1,18}")
INTERIM = range(100, 200)
SWITCHING_PROTOCOLS = 101
BODILESS = (204, 304)
#: Interim answers that are skipped before the answer counts as broken.
MAX_INTERIM_ANSWERS = 32


class InvalidHeadError(exceptions.DaemonError):
    """The bytes are no head of an answer, or leave open where its body ends."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of an answer.

    ``fields`` have their names in lower case. ``length`` is that of the body in bytes;
    None if the body is chunked or ends with the connection.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    length: int | None
    is_chunked: bool

    @property
    def is_interim(self) -> bool:
        """Whether another head follows."""
        return self.status in INTERIM

    def ends_with_connection(self, method: str) -> bool:
        """Return whether nothing but an orderly end shows the end of the body."""
        is_framed = self.is_chunked or self.length is not None
        return not is_framed and not self.is_bodiless(method)

    def is_bodiless(self, method: str) -> bool:
        """Return whether no body follows, whatever the head declares."""
        return method == "HEAD" or self.status in BODILESS


class HeadBuffer:
    """Collects the bytes of one connection up to the end of each head."""

    def __init__(self) -> None:
        self._data = b""
        self._searched = 0

    def add(self, data: bytes) -> None:
        """Append bytes that have arrived."""
        self._data += data

    def take_rest(self) -> bytes:
        """Return the bytes behind the last head, and forget them."""
        rest, self._data = self._data, b""
        return rest

    def take_head(self) -> bytes | None:
        """Return the bytes of the next head; None until they have all arrived.

        Raises ``InvalidHeadError`` once they can't be those of a head.
        """
        if not START.startswith(self._data[: len(START)]):
            raise InvalidHeadError("the answer does not begin with a status line")
        found = END.search(self._data, self._searched)
        size = len(self._data) if found is None else found.end()
        if size > LIMIT_BYTES:
            raise InvalidHeadError("the head of the answer is too long")
        if found is None:
            self._searched = max(0, size - END_LENGTH + 1)
            return None
        head, self._data = self._data[:size], self._data[size:]
        self._searched = 0
        return head


def parse(data: bytes) -> Head:
    """Return the head that the bytes are; raises ``InvalidHeadError``.

    >>> parse(b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\n").length
    5
    """
    found = HEAD.fullmatch(data)
    if found is None:
        line = find_malformed_line(data)
        raise InvalidHeadError(f"the head of the answer is malformed in line {line}")
    minor, status, reason, lines = found.groups()
    fields = tuple(
        (name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1"))
        for name, value in FIELD.findall(lines)
    )
    if int(status) == SWITCHING_PROTOCOLS:
        raise InvalidHeadError("the answer switches protocols, which was not asked for")
    is_chunked = read_chunked(fields)
    length = read_length(fields)
    if is_chunked and (length is not None or minor == b"0"):
        raise InvalidHeadError("the answer declares its end in two ways")
    text = (reason or b"").decode("latin-1")
    return Head(int(status), text, fields, length, is_chunked)


def find_malformed_line(data: bytes) -> int:
    """Return the number of the first line of a head that breaks the grammar."""
    lines = data.splitlines(keepends=True)
    for number, line in enumerate(lines, 1):
        pattern = STATUS_LINE if number == 1 else FIELD
        if pattern.fullmatch(line) is None:
            return number
    return len(lines)


def read_chunked(fields: tuple[tuple[str, str], ...]) -> bool:
    """Return whether the body is chunked; raises ``InvalidHeadError``."""
    codings = [value.lower() for name, value in fields if name == "transfer-encoding"]
    if codings not in ([], ["chunked"]):
        raise InvalidHeadError("the transfer coding of the answer is not supported")
    return bool(codings)


def read_length(fields: tuple[tuple[str, str], ...]) -> int | None:
    """Return the declared length of the body; raises ``InvalidHeadError``.

    It may be repeated, but only with the same value.
    """
    declared = {
        length.strip(" \t")
        for name, value in fields
        if name == "content-length"
        for length in value.split(",")
    }
    if not declared:
        return None
    length = declared.pop()
    if declared or LENGTH.fullmatch(length) is None:
        raise InvalidHeadError("the length of the answer is invalid")
    return int(length)
