"""The rate limits that upstreams advertise, counted at a directory for all gateways.

A limit is shared by all gateways, so it is counted where their requests are placed.
Gateways send every directory each advertised limit, and each request to a limited
upstream that another directory placed, so that a directory that takes over, or that
places beside another one, continues from the same count.
"""

import typing
from collections import abc

import msgspec

from trestlestall.daemon import events, logs
from trestlestall.forwarding import rate_limits
from trestlestall.wire import clocks, directory_messages

#: Seconds without a request to an upstream from which they are logged, and the least
#: number of seconds between two such lines.
LOGGED_EXCESS_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 1.0
#: A number of at least 0; excludes NaN.
Amount = typing.Annotated[float, msgspec.Meta(ge=0.0)]
LimitRow = tuple[str, Amount, Amount]
RemovedLimitRow = tuple[str, Amount]


class AdvertisedLimits:
    """The advertised limits that one directory knows."""

    def __init__(
        self,
        log: logs.Log,
        clock: abc.Callable[[], float] = clocks.read,
        read_stalled: abc.Callable[[], float] = clocks.read_stalled,
    ) -> None:
        self.limits = rate_limits.RateLimits(read_stalled=read_stalled)
        self._excesses = logs.Throttle(LOG_INTERVAL_SECONDS, clock)
        self._log = log
        self._clock = clock

    def handle_limits(
        self, gateway: str, message: directory_messages.RateLimits
    ) -> None:
        """Record limits from a gateway; an invalid message changes nothing."""
        try:
            stated = msgspec.convert(message.stated, tuple[LimitRow, ...])
            unstated = msgspec.convert(message.unstated, tuple[RemovedLimitRow, ...])
            sent = msgspec.convert(message.sent, tuple[str, ...])
        except msgspec.ValidationError as error:
            reason = str(error)
            self._log.write(
                events.directory.LIMITS_REFUSED, source=gateway, reason=reason
            )
            return
        now = self._clock()
        for identity, limit, age in stated:
            if self.limits.record_limit(identity, limit, now - age, now):
                self._log_limit(identity, limit, age, gateway)
        for identity, age in unstated:
            if self.limits.record_no_limit(identity, now - age):
                self._log_limit(identity, None, age, gateway)
        for identity in sent:
            self.limits.consume_remote(identity, now)
            self._log_excess(identity, gateway, now)

    def _log_excess(self, identity: str, gateway: str, now: float) -> None:
        """Log that others sent so much that this process sends nothing for long."""
        excess = self.limits.find_excess(identity, now)
        if excess < LOGGED_EXCESS_SECONDS:
            return
        suppressed = self._excesses.count()
        if suppressed is not None:
            self._log.write(
                events.directory.LIMIT_EXCEEDED,
                upstream=identity,
                limit=self.limits.find_limit(identity),
                excess=round(excess, 3),
                source=gateway,
                suppressed=suppressed,
            )

    def _log_limit(
        self, identity: str, limit: float | None, age: float, gateway: str
    ) -> None:
        self._log.write(
            events.directory.LIMIT_ADVERTISED,
            upstream=identity,
            limit=limit,
            age=round(age, 3),
            source=gateway,
        )
