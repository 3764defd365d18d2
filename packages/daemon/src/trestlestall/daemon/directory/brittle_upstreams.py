"""The brittle upstreams that a directory knows of, by the word of all gateways."""

import typing
from collections import abc

import msgspec

from trestlestall.daemon import events, logs
from trestlestall.forwarding import brittleness
from trestlestall.wire import clocks, directory_messages

#: A number of at least 0; excludes NaN.
Amount = typing.Annotated[float, msgspec.Meta(ge=0.0)]
StatedRow = tuple[str, Amount, Amount]
UnstatedRow = tuple[str, Amount]


class BrittleUpstreams:
    """``count_requests(upstream)`` returns how many requests are counted there."""

    def __init__(
        self,
        log: logs.Log,
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.known = brittleness.Brittleness()
        self.count_requests: abc.Callable[[str], int] = lambda identity: 0
        self._log = log
        self._clock = clock

    def handle(
        self, gateway: str, message: directory_messages.BrittleUpstreams
    ) -> None:
        """Record what a gateway received; an invalid message changes nothing."""
        try:
            stated = msgspec.convert(message.stated, tuple[StatedRow, ...])
            unstated = msgspec.convert(message.unstated, tuple[UnstatedRow, ...])
            rejected = msgspec.convert(message.rejected, tuple[str, ...])
        except msgspec.ValidationError as error:
            self._log.write(
                events.directory.BRITTLE_REFUSED, source=gateway, reason=str(error)
            )
            return
        now = self._clock()
        for identity, tolerated, age in stated:
            if self.known.record_brittle(identity, tolerated, now - age):
                self._write(identity, tolerated, age, gateway)
        for identity, age in unstated:
            if self.known.record_sturdy(identity, now - age):
                self._write(identity, None, age, gateway)
        for identity in rejected:
            held = self.count_requests(identity)
            self.known.record_rejection(identity, held, now)
            self._log.write(
                events.directory.REJECTION,
                upstream=identity,
                held=held,
                source=gateway,
            )

    def _write(
        self, identity: str, tolerated: float | None, age: float, gateway: str
    ) -> None:
        self._log.write(
            events.directory.BRITTLE,
            upstream=identity,
            rejections=tolerated,
            age=round(age, 3),
            source=gateway,
        )
