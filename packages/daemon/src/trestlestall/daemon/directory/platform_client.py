"""Calls to the platform under the lease of the duties, one at a time, with a timeout.

A call is sent only while the lease allows it. That is checked again once the connection
is established, as connecting may have taken long. A connection whose call was not
answered in time is reset rather than closed, so that bytes held back by a network
partition are not delivered after another directory has taken over the lease.
"""

import contextlib
import dataclasses
import http.client
import socket
from collections import abc

import eventlet

from trestlestall.daemon import dialects, settings as process_settings
from trestlestall.daemon.http import answer_heads, answer_reader
from trestlestall.wire import byte_streams, clocks, sockets

#: Seconds until a call times out: many times what an answer takes, and a third of the
#: usual lease.
CALL_TIMEOUT_SECONDS = 1.0
#: Seconds of the lease that must be left to start a call.
MINIMUM_LEASE_SECONDS = 0.1
#: The share of the platform's rate limit that is used. The calls of a lease holder and
#: of its successor must not exceed the limit together.
RATE_SHARE = 0.5
#: Bytes of an answer that are read and discarded, and those of one read.
ANSWER_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
METHOD = "POST"
ERRORS = (OSError, http.client.HTTPException, answer_reader.BrokenAnswerError)


@dataclasses.dataclass(frozen=True)
class Answer:
    """The result of a call; without a status there was no answer, for ``reason``."""

    status: int | None
    reason: str
    seconds: float


class PlatformClient:
    """Makes the calls of one directory to the platform.

    ``find_lease_left`` returns for how many seconds the lease still allows calls.
    """

    def __init__(
        self,
        settings: process_settings.Duties,
        duty_calls: dialects.DutyCalls,
        holder: str,
        find_lease_left: abc.Callable[[], float],
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self._settings = settings
        self._duty_calls = duty_calls
        self._holder = holder
        self._find_lease_left = find_lease_left
        self._clock = clock
        self._busy = False
        self._next_at = float("-inf")

    @property
    def is_free(self) -> bool:
        """Whether a call may be made now."""
        is_within_rate = self._clock() >= self._next_at
        return (
            is_within_rate
            and not self._busy
            and self._find_lease_left() > MINIMUM_LEASE_SECONDS
        )

    def post(
        self, call: dialects.Post, token: int, on_answer: abc.Callable[[Answer], object]
    ) -> None:
        """Make a call in a green thread of its own; ``on_answer`` gets its result."""
        self._busy = True
        spacing = 1.0 / (RATE_SHARE * self._settings.calls_per_second)
        self._next_at = self._clock() + spacing
        eventlet.spawn_n(self._run, call, token, on_answer)

    def _run(
        self, call: dialects.Post, token: int, on_answer: abc.Callable[[Answer], object]
    ) -> None:
        started = self._clock()
        try:
            status, reason = self._exchange(call, token)
        finally:
            self._busy = False
        on_answer(Answer(status, reason, self._clock() - started))

    def _exchange(self, call: dialects.Post, token: int) -> tuple[int | None, str]:
        timeout_seconds = min(CALL_TIMEOUT_SECONDS, self._find_lease_left())
        address = self._settings.platform
        headers = {
            self._duty_calls.holder: self._holder,
            self._duty_calls.token: str(token),
            "Content-Type": "application/json",
        }
        try:
            with (
                eventlet.Timeout(timeout_seconds, TimeoutError("no answer in time")),
                open_connection(address, timeout_seconds) as connection,
            ):
                if self._find_lease_left() < MINIMUM_LEASE_SECONDS:
                    return None, "the lease expired before the call was sent"
                connection.request(METHOD, call.path, call.body, headers)
                head = read_answer(connection.sock)
                return head.status, head.reason
        except ERRORS as error:
            return None, str(error) or type(error).__name__


def read_answer(opened: socket.socket) -> answer_heads.Head:
    """Return the head of an answer once its body, or a first part of it, has come.

    Raises one of ``ERRORS``. The caller bounds the time.
    """
    stream = byte_streams.ByteStream(opened)
    reader = answer_reader.AnswerReader(
        lambda: stream.receive(READ_BYTES, seconds=None), METHOD
    )
    head = reader.read_head()
    size = 0
    for part in reader.iterate_body(head):
        size += len(part)
        if size > ANSWER_BYTES:
            break
    return head


@contextlib.contextmanager
def open_connection(
    address: process_settings.Address, timeout_seconds: float
) -> abc.Iterator[http.client.HTTPConnection]:
    """Yield a connection, which is reset if the block fails; raises ``OSError``."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_seconds
    )
    try:
        connection.connect()
        yield connection
    except ERRORS:
        if connection.sock is not None:
            sockets.reset_on_close(connection.sock)
        raise
    finally:
        connection.close()
