"""HTTP's chunked transfer coding, decoded as the bytes come; pure.

``http.client`` decodes one chunk a call, which makes a router that has fallen behind
pay the whole way of a token for each token. This takes whatever has arrived at once.
"""

LINE_END = b"\r\n"
END_LENGTH = len(LINE_END)
LINE_LIMIT = 1024


class Decoder:
    """Decodes one body; ``finished`` once its last chunk has come.

    ``failed`` tells that the coding is broken: nothing after that counts. ``_left``
    counts the bytes of the present chunk that are still to come.
    """

    def __init__(self):
        self.finished = False
        self.failed = False
        self._data = b""
        self._at = 0
        self._left = 0
        self._closing = False

    def feed(self, data: bytes) -> bytes:
        """Take the next bytes of the connection and return the body's next bytes."""
        self._data = self._data[self._at :] + data
        self._at = 0
        parts: list[bytes] = []
        while self._step(parts):
            pass
        return b"".join(parts)

    def _step(self, parts: list[bytes]) -> bool:
        """Take one chunk's head, data or end; false when more bytes are needed."""
        if self.finished or self.failed:
            return False
        if self._left:
            return self._take_data(parts)
        if self._closing:
            return self._take_close()
        return self._take_head()

    def _take_data(self, parts: list[bytes]) -> bool:
        part = self._data[self._at : self._at + self._left]
        if not part:
            return False
        parts.append(part)
        self._at += len(part)
        self._left -= len(part)
        self._closing = not self._left
        return True

    def _take_close(self) -> bool:
        if len(self._data) < self._at + END_LENGTH:
            return False
        self.failed = not self._data.startswith(LINE_END, self._at)
        self._at += END_LENGTH
        self._closing = False
        return True

    def _take_head(self) -> bool:
        end = self._data.find(LINE_END, self._at)
        if end < 0:
            self.failed = len(self._data) - self._at > LINE_LIMIT
            return False
        size = self._data[self._at : end].partition(b";")[0]
        self._at = end + END_LENGTH
        try:
            self._left = int(size, 16)
        except ValueError:
            self._left = -1
        self.failed = self._left < 0
        # Trailers may follow the last chunk; nobody here reads them.
        self.finished = self._left == 0
        return True
