"""One caller's request while it is in progress, with the mailbox of its messages."""

import dataclasses
import typing
from collections import abc

from eventlet import queue

from trestlestall.daemon.http import errors
from trestlestall.daemon.router import attempts, calls, streams


@dataclasses.dataclass(frozen=True)
class StreamStarted:
    """The response is a stream of this content type; its pieces follow."""

    response: attempts.Response


@dataclasses.dataclass(frozen=True)
class StreamData:
    """Bytes of a stream, to be forwarded to the caller now."""

    piece: streams.Piece


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """The complete response; nothing follows."""

    response: attempts.Response
    tokens: int = 0
    replayed: bool = False


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """The stream has been forwarded completely; nothing follows."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request ends with an error; nothing follows."""

    failure: errors.Failure


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """The caller has disconnected; nothing follows."""


Message: typing.TypeAlias = (
    StreamStarted
    | StreamData
    | CompleteResponse
    | StreamEnded
    | Failed
    | CallerDisconnected
)

FINAL_MESSAGES = (CompleteResponse, StreamEnded, Failed, CallerDisconnected)


class Exchange:
    """One caller's request.

    Messages come from attempts and from the policy's decisions; the greenlet that
    serves the caller reads them from ``mailbox``. Only messages of the attempt
    ``chosen`` get there; those of attempts that may still be chosen wait in
    ``_buffered``; all others are dropped. Messages are matched by the attempt's
    identity alone, so that a response that is late or out of order reaches no other
    caller.

    ``claimed`` is true when the request holds its idempotency key and may be sent;
    ``was_sent`` when a byte of it went to an upstream. ``detached`` is true when the
    request continues without its caller, so that its response is recorded for a retry
    by the client. ``verdict`` is the final message that its claim led to, if any.
    """

    def __init__(self, request: str, call: calls.Call, workspace, request_class, now):
        self.request = request
        self.call = call
        self.workspace = workspace
        self.request_class = request_class
        self.arrived_at: float = now
        self.first_token_at: float | None = None
        self.tokens = 0
        self.chosen: str | None = None
        self.upstream = ""
        self.claim_key = ""
        self.claimed = False
        self.was_sent = False
        self.verdict: Failed | CompleteResponse | None = None
        self.is_over = False
        self.last_message: Message | None = None
        self.mailbox: queue.LightQueue = queue.LightQueue()
        self.detached = False
        self.claim_body: list[bytes] = []
        self.content_type = attempts.JSON_TYPE
        self._begun = False
        self._buffered: dict[str, list[Message]] = {}

    def choose(self, attempt: str) -> None:
        """Forward this attempt's messages, beginning with those that are buffered."""
        self.chosen = attempt
        for message in self._buffered.pop(attempt, ()):
            self._pass(message)
        self._buffered.clear()

    def deliver(self, attempt: str, message: Message) -> bool:
        """Forward or buffer a message of an attempt; false if it came too late."""
        if self.is_over:
            return False
        if self.chosen == attempt:
            self._pass(message)
            return True
        if self.chosen is None:
            self._buffered.setdefault(attempt, []).append(message)
            return True
        return False

    def end(self, message: Message) -> None:
        """Put the final message, unless there was one; later messages are dropped."""
        if not self.is_over:
            self._pass(message)

    def read(self) -> Message:
        """Wait for the next message to the caller and return it."""
        message = self.mailbox.get()
        if isinstance(message, FINAL_MESSAGES):
            self.last_message = message
        return message

    def read_piece(self) -> streams.Piece | None:
        """Return the next piece if it is queued already, else ``None``."""
        waiting = self.mailbox.queue
        if waiting and isinstance(waiting[0], StreamData):
            return self.mailbox.get_nowait().piece
        return None

    @property
    def backlog(self) -> int:
        """How many messages the caller has not read yet."""
        return self.mailbox.qsize()

    def _pass(self, message: Message) -> None:
        if isinstance(message, StreamStarted):
            if self._begun:
                return  # a resumed stream continues under the head of the first one
            self._begun = True
        if isinstance(message, StreamData):
            self.tokens += message.piece.tokens
        elif isinstance(message, CompleteResponse):
            self.tokens += message.tokens
        self.is_over = isinstance(message, FINAL_MESSAGES)
        self.mailbox.put_nowait(message)

    def store_for_claim(self, message: Message) -> None:
        """Store what the only attempt of a claimed request returns, to be recorded."""
        if isinstance(message, StreamData):
            self.claim_body.append(message.piece.data)
        elif isinstance(message, StreamStarted):
            self.content_type = message.response.content_type

    def build_answer(self, response: attempts.Response | None) -> attempts.Response:
        """Return the complete response, for the record of a claim."""
        if response is not None:
            return response
        return attempts.Response(200, self.content_type, b"".join(self.claim_body))


Exchanges: typing.TypeAlias = abc.MutableMapping[str, Exchange]
