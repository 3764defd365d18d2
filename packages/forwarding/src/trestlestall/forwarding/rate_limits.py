"""Rate limits that upstreams advertise in their answers, in requests a second; pure.

An advertised limit is shared by all gateways, so the process that sees all their
requests counts: the directory that places them. It receives advertisements from every
gateway, late and in any order, so each carries its time, and the latest applies:

    limits = RateLimits()
    limits.record_limit("u1", 1.5, now, now)
    if "u1" not in limits.list_exhausted(now):
        limits.consume("u1", now)

Each limit is a token bucket: an upstream may be sent the requests of ``BURST_SECONDS``
at once, and from then on as many as it takes. An upstream that takes none still gets a
request now and then, as only its answers can show that a limit has ended.

A process that was held up reads at once what others sent over that time. These requests
are compared with what the limit allowed over that time, and not with a burst.
"""

import dataclasses
import math
from collections import abc

#: The reason for placing a request nowhere.
LIMITED = "all upstreams are at the limits that they state"
#: The same where others can't be connected to.
LIMITED_WITHIN_REACH = "all upstreams within reach are at the limits that they state"
#: Burst in seconds of a limit, and the smallest burst: requests arrive unevenly, and
#: with smaller bursts many are rejected though the upstream takes more in total.
BURST_SECONDS = 1.0
MIN_BURST_REQUESTS = 1.0
#: Seconds between two requests to an upstream that takes fewer.
MAX_PAUSE_SECONDS = 5.0
#: An answer without a limit ends the limit unless its request was sent less than so
#: many seconds after the last advertisement: messages of several gateways are reordered
#: by less.
REORDERING_SECONDS = 0.5
#: Seconds after a process was held up in which it reads what others sent meanwhile.
CATCH_UP_SECONDS = 0.5
#: Seconds over which callers' retries are spread where the wait is shorter.
JITTER_SECONDS = 0.5
#: Capacity in upstreams; the one with the oldest advertisement is evicted first.
LIMITS_KEPT = 4096


@dataclasses.dataclass
class Limit:
    """Cached limit of one incarnation; times in seconds of the monotonic clock.

    It was advertised at ``advertised_at``, and had ended by ``ended_at``. ``share`` is
    the part of it that this process may send; ``level`` is how many requests it may
    send at once, as of ``refilled_at``; the process had been held up for ``stalled``
    seconds by then. ``missed`` is how many requests the limit allowed in its last stall
    beyond a burst; others may have sent them, if they are reported by ``missed_until``.
    """

    per_second: float
    advertised_at: float
    refilled_at: float
    share: float
    ended_at: float = -math.inf
    level: float = 0.0
    stalled: float = 0.0
    missed: float = 0.0
    missed_until: float = -math.inf

    @property
    def is_in_force(self) -> bool:
        """Whether the last advertisement is later than the evidence of its end."""
        return self.advertised_at > self.ended_at

    @property
    def rate(self) -> float:
        """The requests a second that this process may send."""
        return max(self.share * self.per_second, 1.0 / MAX_PAUSE_SECONDS)

    @property
    def burst(self) -> float:
        """The most requests that this process may send at once."""
        return max(MIN_BURST_REQUESTS, BURST_SECONDS * self.rate)

    def refill(self, now: float, stalled: float) -> None:
        """Add the requests that were allowed since the last refill.

        ``stalled`` is for how many seconds the process was held up since its start.
        """
        elapsed = max(0.0, now - self.refilled_at)
        filled = self.level + elapsed * self.rate
        held_up = min(elapsed, stalled - self.stalled)
        if held_up > 0.0:
            beyond = min(max(0.0, filled - self.burst), held_up * self.rate)
            self.missed = beyond + self._find_missed(now)
            self.missed_until = now + CATCH_UP_SECONDS
        self.level = min(self.burst, filled)
        self.refilled_at, self.stalled = now, stalled

    def consume_remote(self, now: float) -> None:
        """Count a request that another process sent, first against a stall's."""
        covered = min(1.0, self._find_missed(now))
        self.missed -= covered
        self.level -= 1.0 - covered

    def _find_missed(self, now: float) -> float:
        return self.missed if now <= self.missed_until else 0.0


class RateLimits:
    """The limits that one process has cached, by incarnation of the upstream.

    ``share`` is the part of each limit that the process may send: all if it sees what
    all gateways send, or none but one request each ``MAX_PAUSE_SECONDS``.
    ``read_stalled`` returns for how many seconds the process was held up so far.
    """

    def __init__(
        self, share: float = 1.0, read_stalled: abc.Callable[[], float] = float
    ) -> None:
        self._share = share
        self._read_stalled = read_stalled
        self._limits: dict[str, Limit] = {}

    def find_limit(self, identity: str) -> float | None:
        """Return the limit in force, in requests a second; None without one."""
        found = self._limits.get(identity)
        return found.per_second if found is not None and found.is_in_force else None

    def list_limited(self) -> list[str]:
        """Return the upstreams with a limit in force."""
        return [one for one, found in self._limits.items() if found.is_in_force]

    def record_limit(self, identity: str, limit: float, at: float, now: float) -> bool:
        """Record a limit advertised at a time; return whether anything changed."""
        previous = self.find_limit(identity)
        found = self._limits.get(identity)
        if found is None:
            # No burst at first: until now the upstream got as many as the others.
            stalled = self._read_stalled()
            self._limits[identity] = Limit(limit, at, now, self._share, stalled=stalled)
            self._evict_oldest()
        elif at > found.advertised_at:
            found.refill(now, self._read_stalled())
            found.per_second, found.advertised_at = limit, at
        return self.find_limit(identity) != previous

    def record_no_limit(self, identity: str, sent_at: float) -> bool:
        """Record an answer without a limit; return whether it ended one.

        ``sent_at`` is when its request was sent. The upstream answered after that, so
        any older advertisement has ended.
        """
        found = self._limits.get(identity)
        if found is None:
            return False
        was_in_force = found.is_in_force
        found.ended_at = max(found.ended_at, sent_at - REORDERING_SECONDS)
        return was_in_force and not found.is_in_force

    def list_exhausted(self, now: float) -> list[str]:
        """Return the upstreams that accept no further request now."""
        return [one for one in self.list_limited() if self.find_wait(one, now) > 0.0]

    def find_wait(self, identity: str, now: float) -> float:
        """Return the seconds until the upstream accepts a request."""
        found = self._limits.get(identity)
        if found is None or not found.is_in_force:
            return 0.0
        found.refill(now, self._read_stalled())
        return max(0.0, 1.0 - found.level) / found.rate

    def find_excess(self, identity: str, now: float) -> float:
        """Return over how many seconds the limit allows what was sent too much."""
        found = self._limits.get(identity)
        if found is None:
            return 0.0
        found.refill(now, self._read_stalled())
        return max(0.0, -found.level) / found.rate

    def consume(self, identity: str, now: float) -> None:
        """Count a request to the upstream that this process placed."""
        found = self._limits.get(identity)
        if found is not None:
            found.refill(now, self._read_stalled())
            found.level -= 1.0

    def restore(self, identity: str, now: float) -> None:
        """Take back the count of a request that was not sent after all."""
        found = self._limits.get(identity)
        if found is not None:
            found.refill(now, self._read_stalled())
            found.level = min(found.burst, found.level + 1.0)

    def consume_remote(self, identity: str, now: float) -> None:
        """Count a request to the upstream that another process placed."""
        found = self._limits.get(identity)
        if found is not None:
            found.refill(now, self._read_stalled())
            found.consume_remote(now)

    def list_advertised(self, now: float) -> list[tuple[str, float, float]]:
        """Return the limits in force: upstream, limit, age in seconds."""
        return [
            (identity, found.per_second, now - found.advertised_at)
            for identity, found in self._limits.items()
            if found.is_in_force
        ]

    def _evict_oldest(self) -> None:
        if len(self._limits) > LIMITS_KEPT:
            oldest = min(self._limits, key=lambda one: self._limits[one].advertised_at)
            del self._limits[oldest]


def compute_retry_after(waits: abc.Iterable[float], jitter: float) -> float:
    """Return after how many seconds a caller should retry that no upstream accepts now.

    ``waits`` are the seconds until each upstream accepts requests again. ``jitter``,
    from 0 to 1, spreads the callers, so that they don't all retry at that moment.
    """
    wait = min(waits)
    return wait + jitter * max(JITTER_SECONDS, wait)
