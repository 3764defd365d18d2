"""Server-sent events of a streamed completion: complete events, tokens, and the end.

A reader takes bytes as they arrive from the engine and returns complete events only, so
that the bytes that a caller has received always end between two tokens. An answer's
last event (the one with a ``finish_reason``) is withheld until ``data: [DONE]`` has
arrived: a stream of an engine that crashes in between must not look finished.

An engine that can resume streams sends one token in each event, so that the number of
events with text is the number of tokens. ``usage`` of the last event wins where it
comes.
"""

import dataclasses
import re

import msgspec

DONE = b"[DONE]"
PREFIX = b"data: "
PREFIX_LENGTH = len(PREFIX)
END = b"\n\n"
END_LENGTH = len(END)
EVENT_LIMIT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\r?\n\r?\n")
DATA_FIELD = re.compile(rb"^data: ?(.*?)\r?$", re.MULTILINE)
# Finish reasons with which engines report that they aborted the answer.
FAILED_REASONS = frozenset({"abort", "error"})


# Default of a field that may hold any value; ``Raw | None`` would accept only null.
ABSENT = msgspec.Raw(b"")
NULL = b"null"


class Text(msgspec.Struct):
    """The text of one choice in a chat chunk."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk: ``text`` in a plain completion, ``delta`` in a chat."""

    finish_reason: str | None = None
    text: str | None = None
    delta: Text | None = None


class Usage(msgspec.Struct):
    """The engine's own count of the answer's tokens."""

    completion_tokens: int | None = None


class Chunk(msgspec.Struct):
    """The fields of a chunk that the router reads; others are forwarded unread."""

    choices: list[Choice] = []
    usage: Usage | None = None
    error: msgspec.Raw = ABSENT


CHUNK_DECODER = msgspec.json.Decoder(Chunk)


@dataclasses.dataclass(frozen=True)
class Piece:
    """Bytes that may be forwarded to the caller now, and their number of tokens."""

    data: bytes = b""
    tokens: int = 0


EMPTY_PIECE = Piece()


class Reader:
    """Reads one stream.

    ``finished`` is true when the complete answer has arrived. ``failure`` says what is
    wrong with the stream; later bytes are ignored then.
    """

    def __init__(self):
        self.finished = False
        self.failure: str | None = None
        self._buffer = b""
        self._withheld = b""
        self._withheld_tokens = 0
        self._finish_reason: str | None = None

    def feed(self, data: bytes) -> Piece:
        """Read the next bytes of the stream and return what may be forwarded."""
        if not self._buffer and is_plain_event(data):
            return self._handle_data(data, data[PREFIX_LENGTH:-END_LENGTH])
        return self._feed_parts(self._buffer + data)

    def _feed_parts(self, buffered: bytes) -> Piece:
        *events, self._buffer = split_events(buffered)
        passed, tokens = [], 0
        for event in events:
            piece = self._handle_event(event)
            if self.failure:
                break
            passed.append(piece.data)
            tokens += piece.tokens
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            self.failure = "an event exceeds the size limit"
        return Piece(b"".join(passed), tokens)

    def _handle_event(self, event: bytes) -> Piece:
        if is_plain_event(event):
            return self._handle_data(event, event[PREFIX_LENGTH:-END_LENGTH])
        found = DATA_FIELD.search(event)
        if found is None:
            return Piece(event)  # a comment, which keeps the connection alive
        return self._handle_data(event, found[1])

    def _handle_data(self, event: bytes, data: bytes) -> Piece:
        if self.finished:
            return EMPTY_PIECE
        if data == DONE:
            return self._finish(event)
        try:
            chunk = CHUNK_DECODER.decode(data)
        except msgspec.MsgspecError:
            self.failure = "an event is not a completion chunk"
            return EMPTY_PIECE
        return self._handle_chunk(event, chunk)

    def _handle_chunk(self, event: bytes, chunk: Chunk) -> Piece:
        if chunk.error is not ABSENT and bytes(chunk.error) != NULL:
            self.failure = "the engine sent an error"
            return EMPTY_PIECE
        tokens = 0
        for choice in chunk.choices:
            tokens += has_text(choice)
            if choice.finish_reason in FAILED_REASONS:
                self.failure = "the engine aborted the answer"
                return EMPTY_PIECE
            self._finish_reason = choice.finish_reason or self._finish_reason
        if self._finish_reason is None:
            return Piece(event, tokens)
        self._withheld += event
        self._withheld_tokens += tokens
        return EMPTY_PIECE

    def _finish(self, event: bytes) -> Piece:
        if self._finish_reason is None:
            self.failure = "the stream ended without a finish reason"
            return EMPTY_PIECE
        self.finished = True
        return Piece(self._withheld + event, self._withheld_tokens)


def split_events(data: bytes) -> list[bytes]:
    """Return the complete events, each with its end, and then the incomplete rest."""
    if b"\r" not in data:
        *events, rest = data.split(END)
        return [*(event + END for event in events), rest]
    ends = [found.end() for found in EVENT_END.finditer(data)]
    starts = [0, *ends]
    return [data[start:end] for start, end in zip(starts, [*ends, None], strict=True)]


def is_plain_event(data: bytes) -> bool:
    """Return whether the bytes are one event with a single data field.

    Engines send nearly every token like this: the fast path saves two regular
    expressions.
    """
    return data.startswith(PREFIX) and data.find(END[:1]) == len(data) - END_LENGTH


def has_text(choice: Choice) -> bool:
    """Return whether the choice carries text of the answer."""
    return bool(choice.text or (choice.delta is not None and choice.delta.content))


def count_completion_tokens(body: bytes) -> int | None:
    """Return the number of tokens of a completion, or ``None`` if it is incomplete."""
    try:
        chunk = CHUNK_DECODER.decode(body)
    except msgspec.MsgspecError:
        return None
    reasons = [choice.finish_reason for choice in chunk.choices]
    if not reasons or None in reasons or FAILED_REASONS.intersection(reasons):
        return None
    usage = chunk.usage
    return (usage.completion_tokens or 0) if usage is not None else 0
