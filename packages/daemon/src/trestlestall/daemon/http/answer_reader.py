"""Reads the answer to one request from a connection that carries no other one."""

from collections import abc

from trestlestall.daemon import exceptions
from trestlestall.daemon.http import answer_heads, chunks


class BrokenAnswerError(exceptions.DaemonError):
    """The connection ended within the answer, or its bytes are invalid."""


class AnswerReader:
    """Reads the answer to a request of a method.

    ``receive`` returns the next bytes of the connection, or none at its orderly end;
    what it raises passes through.
    """

    def __init__(self, receive: abc.Callable[[], bytes], method: str) -> None:
        self._receive = receive
        self._method = method
        self._heads = answer_heads.HeadBuffer()

    def read_head(self) -> answer_heads.Head:
        """Return the head of the final answer; raises ``BrokenAnswerError``."""
        for _ in range(answer_heads.MAX_INTERIM_ANSWERS):
            head = self._read_any_head()
            if not head.is_interim:
                return head
        raise BrokenAnswerError("only interim answers came")

    def iterate_body(self, head: answer_heads.Head) -> abc.Iterator[bytes]:
        """Yield the body in parts as they arrive; raises ``BrokenAnswerError``."""
        begun = self._heads.take_rest()
        if head.is_bodiless(self._method):
            return
        if head.is_chunked:
            yield from self._iterate_chunks(begun)
        elif head.length is not None:
            yield from self._iterate_length(begun, head.length)
        else:
            yield from self._iterate_to_end(begun)

    def _read_any_head(self) -> answer_heads.Head:
        try:
            while (data := self._heads.take_head()) is None:
                self._heads.add(self._receive_some())
            return answer_heads.parse(data)
        except answer_heads.InvalidHeadError as error:
            raise BrokenAnswerError(str(error)) from error

    def _iterate_chunks(self, data: bytes) -> abc.Iterator[bytes]:
        decoder = chunks.Decoder()
        while True:
            part = decoder.feed(data)
            if part:
                yield part
            if decoder.failed:
                raise BrokenAnswerError("the chunks of the answer are invalid")
            if decoder.ended:
                return
            data = self._receive_some()

    def _iterate_length(self, data: bytes, length: int) -> abc.Iterator[bytes]:
        left = length
        while left:
            part = (data or self._receive_some())[:left]
            data = b""
            left -= len(part)
            yield part

    def _iterate_to_end(self, data: bytes) -> abc.Iterator[bytes]:
        data = data or self._receive()
        while data:
            yield data
            data = self._receive()

    def _receive_some(self) -> bytes:
        data = self._receive()
        if not data:
            raise BrokenAnswerError("the connection ended within the answer")
        return data
