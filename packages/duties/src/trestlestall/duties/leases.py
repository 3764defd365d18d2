"""The lease of the process that carries out the duties, as stored in the agreed log.

The log has no clock. A process that wants the lease measures on its own clock for how
long the holder has not renewed it, and then requests it on the condition that it is
unchanged. So of two processes that request it at once, the log grants it to the first,
and a holder that renews in time retains it whatever others have measured.

    tenure = leases.Tenure("10.1.0.13", "9f3a", leases.Times(3.0), now)
    tenure.observe(lease, now)
    request = tenure.find_due_request(now)

A holder counts its lease from the time of its request, the others from the time at
which they learn of the grant, which is later. So the holder has stopped before another
one may begin, as long as the speeds of their clocks differ by less than one part in
ten. ``Times`` says how much time is left for calls that are in flight.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Lease:
    """The holder of the duties; ``token`` is its fencing token.

    The token grows with each change of the holder. ``holder`` names a host, ``start``
    an incarnation of the process there. ``renewal`` counts the renewals under a token.
    """

    holder: str = ""
    start: str = ""
    token: int = 0
    renewal: int = 0


NOBODY = Lease()


@dataclasses.dataclass(frozen=True)
class Take:
    """A process requests the lease, provided it is as that process has seen it."""

    holder: str
    start: str
    seen_token: int
    seen_renewal: int


@dataclasses.dataclass(frozen=True)
class Renew:
    """The holder renews the lease; ``renewal`` is one more than the last it knows."""

    start: str
    token: int
    renewal: int


@dataclasses.dataclass(frozen=True)
class Granted:
    """The requester holds the lease, under this fencing token."""

    token: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The requester does not hold the lease; ``token`` is the present holder's."""

    token: int


Answer: typing.TypeAlias = Granted | Refused


def acquire(lease: Lease, request: Take) -> tuple[Lease, Answer]:
    """Return the lease after a request for it; a repeated request changes nothing."""
    requester = request.holder, request.start
    if lease.token > request.seen_token and (lease.holder, lease.start) == requester:
        return lease, Granted(lease.token)
    if (lease.token, lease.renewal) != (request.seen_token, request.seen_renewal):
        return lease, Refused(lease.token)
    granted = Lease(request.holder, request.start, lease.token + 1)
    return granted, Granted(granted.token)


def renew(lease: Lease, request: Renew) -> tuple[Lease, Answer]:
    """Return the lease after a renewal; a repeated renewal changes nothing."""
    if (lease.token, lease.start) != (request.token, request.start):
        return lease, Refused(lease.token)
    renewal = max(lease.renewal, request.renewal)
    return dataclasses.replace(lease, renewal=renewal), Granted(lease.token)


@dataclasses.dataclass(frozen=True)
class Times:
    """The times of a lease in seconds, derived from ``lease``, its configured duration.

    The last third of the lease is reserved for bytes that are still in flight and for
    clocks that drift apart. The lease is renewed four times within the rest, so that
    one leader of the log may be lost in between (an election takes up to a second).
    """

    lease: float

    @property
    def action_seconds(self) -> float:
        """How long a holder may act after it sent the request that was granted."""
        return self.lease * 2.0 / 3.0

    @property
    def renewal_seconds(self) -> float:
        """How long after its last request the holder renews its lease."""
        return self.lease / 6.0

    @property
    def takeover_seconds(self) -> float:
        """How long a lease must be unchanged before another process acquires it."""
        return self.lease * 1.1

    @property
    def restart_seconds(self) -> float:
        """How long after its start a process waits to succeed its predecessor's lease.

        The predecessor is the previous incarnation on the same host. What it sent has
        arrived by then, or never will.
        """
        return self.lease / 3.0


class Tenure:
    """What one process knows of the lease, and when it may act under it.

    Times are seconds on a clock that continues while the host is suspended. After
    ``release`` the token that was held is never used again.
    """

    def __init__(self, holder: str, start: str, times: Times, now: float) -> None:
        self.times = times
        self.lease = NOBODY
        self._holder = holder
        self._start = start
        self._started_at = now
        self._changed_at = now
        self._may_act_until = float("-inf")
        self._requested_at = float("-inf")
        self._released_token = 0

    @property
    def holds(self) -> bool:
        """Whether this process holds the lease, as far as it has learned."""
        own = (self.lease.holder, self.lease.start) == (self._holder, self._start)
        return own and self.lease.token > self._released_token

    @property
    def token(self) -> int:
        """The fencing token of the lease, whichever process holds it."""
        return self.lease.token

    def may_act(self, now: float) -> bool:
        """Return whether this process may carry out its duties at this moment."""
        return self.holds and now < self._may_act_until

    def find_seconds_left(self, now: float) -> float:
        """Return for how many more seconds this process may act; 0 if it may not."""
        return max(0.0, self._may_act_until - now) if self.holds else 0.0

    def find_unchanged_seconds(self, now: float) -> float:
        """Return for how many seconds the lease has been seen unchanged."""
        return now - self._changed_at

    def find_request_age(self, now: float) -> float:
        """Return how many seconds ago the last request was made."""
        return now - self._requested_at

    def observe(self, lease: Lease, now: float) -> None:
        """Record the lease as the log holds it now."""
        if lease != self.lease:
            self.lease = lease
            self._changed_at = now

    def find_due_request(self, now: float) -> Take | Renew | None:
        """Return the request to propose to the log now, None if none is due."""
        if self.holds:
            if now - self._requested_at < self.times.renewal_seconds:
                return None
            return Renew(self._start, self.lease.token, self.lease.renewal + 1)
        if not self._may_acquire(now):
            return None
        lease = self.lease
        return Take(self._holder, self._start, lease.token, lease.renewal)

    def record_request(self, now: float) -> None:
        """Record that the request is proposed to the log now."""
        self._requested_at = now

    def record_answer(self, answer: Answer, asked_at: float) -> None:
        """Record the log's answer to the request made at ``asked_at``."""
        if isinstance(answer, Granted) and answer.token > self._released_token:
            until = asked_at + self.times.action_seconds
            self._may_act_until = max(self._may_act_until, until)

    def release(self) -> None:
        """Never act under the present token again; another process will follow."""
        self._released_token = self.lease.token
        self._may_act_until = float("-inf")

    def _may_acquire(self, now: float) -> bool:
        lease = self.lease
        if now - self._requested_at < self.times.renewal_seconds:
            return False
        if lease.token == 0:
            return True
        is_own_predecessor = lease.holder == self._holder and lease.start != self._start
        if is_own_predecessor and now - self._started_at >= self.times.restart_seconds:
            return True
        return now - self._changed_at >= self.times.takeover_seconds
