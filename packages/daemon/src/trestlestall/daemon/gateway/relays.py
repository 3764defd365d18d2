"""Relays an event stream to the caller, from one upstream or several in turn."""

from collections import abc

import eventlet

from trestlestall.daemon.gateway import attempts, callers, events_stream, outcomes
from trestlestall.wire import clocks

#: Events that a stream must have before its longest pause is reported: with fewer it
#: says nothing about the upstream.
MIN_PAUSE_EVENTS = 8
#: Seconds after which a stream lets other greenlets run, though more events wait.
TURN_SECONDS = 0.005


class Relay:
    """The progress of a caller's response; ``on_first`` is called at its first event.

    ``began`` is whether its head was written. ``longest_pause`` between two events and
    ``first_seconds``, from the request's arrival to the first event, are in seconds.
    """

    def __init__(
        self,
        caller: callers.Caller,
        arrived: float,
        on_first: abc.Callable[[], object],
    ) -> None:
        self.began = False
        self.last_event: int | None = None
        self.events = 0
        self.first_seconds: float | None = None
        self.longest_pause = 0.0
        self._caller = caller
        self._arrived = arrived
        self._on_first = on_first

    @property
    def reportable_pause(self) -> float:
        """The longest pause in seconds; 0 after too few events."""
        return self.longest_pause if self.events >= MIN_PAUSE_EVENTS else 0.0

    def record_first(self) -> None:
        """Record that the response, or its first event, has arrived."""
        self.first_seconds = clocks.read() - self._arrived
        self._on_first()

    def relay_events(
        self,
        attempt: attempts.Attempt,
        head: outcomes.AnswerHead,
        find_deadline: abc.Callable[[], float],
    ) -> None:
        """Relay complete events up to the end of the stream; raises ``BrokenExchange``.

        ``find_deadline`` returns until when to wait for the next chunk. If this
        upstream resumes the stream of another one, events that the caller already has
        are skipped, and the others must follow without a gap.
        """
        resumed = self.began
        splitter = events_stream.Splitter()
        latest = clocks.read()
        for part in attempt.read_parts(find_deadline):
            turn_began = clocks.read()
            for event in split(splitter, part):
                now = clocks.read()
                self._record_event(now - latest)
                latest = now
                self._relay_event(head, event, resumed)
                if now - turn_began > TURN_SECONDS:
                    eventlet.sleep(0)
                    turn_began = clocks.read()
        if splitter.remainder:
            raise attempts.BrokenExchange("the stream ended within an event")
        if head.ends_with_connection and not self.events:
            # So does the connection of an upstream that crashes as it begins to write.
            raise attempts.BrokenExchange("the connection ended before any event")
        self._begin(head)
        self._caller.end_answer()

    def _relay_event(
        self, head: outcomes.AnswerHead, event: bytes, resumed: bool
    ) -> None:
        number = events_stream.read_event_id(event)
        if number is not None and self.last_event is not None:
            if number <= self.last_event:
                return
            if resumed and number > self.last_event + 1:
                raise attempts.BrokenExchange("events are missing after resuming")
        self._begin(head)
        self._caller.write_part(event)
        if number is not None:
            self.last_event = number

    def _begin(self, head: outcomes.AnswerHead) -> None:
        """Write the head of the response once: that of the first upstream."""
        if not self.began:
            self._caller.begin_answer(head.status, head.list_end_to_end())
            self.began = True

    def _record_event(self, pause: float) -> None:
        self.events += 1
        if self.events == 1:
            self.record_first()
        else:
            self.longest_pause = max(self.longest_pause, pause)


def split(splitter: events_stream.Splitter, part: bytes) -> list[bytes]:
    """Return the events that are complete now; raises ``BrokenExchange``."""
    try:
        return splitter.feed(part)
    except events_stream.TooLongError as error:
        raise attempts.OversizedAnswer(f"too long: {error}") from error
