"""Upstreams that fail when they have to reject too many requests in a second; pure.

An upstream may advertise that it is brittle: it ends if it rejects more than so many
requests in a second for lack of room. All its requests count, whichever gateway sends
them, and the room may shrink without notice. So the process that places the requests of
all gateways keeps each brittle upstream within the room that is known:

    known = Brittleness()
    known.record_brittle("u1", 4, now)
    if "u1" not in known.list_full("work", {"u1": Load(3, 8)}, now):
        ...

The room is what runs at once, without a queue. It falls to less than what the upstream
held when it rejected a request, and grows again while nothing is rejected.
"""

import collections
import dataclasses
import math
from collections import abc

#: The reason for placing a request nowhere.
FULL = "all upstreams are full, and brittle"
#: Seconds over which an upstream counts its rejections.
WINDOW_SECONDS = 1.0
#: The part of the tolerated rejections after which an upstream gets no request until
#: the window is over: others may be on their way to it.
TOLERATED_SHARE = 0.5
#: Seconds after a rejection in which an upstream's end may be due to it: the window,
#: and what it takes to learn of the end.
REJECTION_SECONDS = 2.0
#: Seconds without a rejection after which the room grows, by one or by a part of all.
GROWTH_SECONDS = 0.5
GROWTH_SHARE = 0.125
#: The part of an upstream's slots that one that has just started is given.
FIRST_SHARE = 0.25
#: An answer without the signal ends it unless its request was sent less than so many
#: seconds after the last one with it: messages of gateways are reordered by less.
REORDERING_SECONDS = 0.5
#: Capacity in upstreams; the one with the oldest signal is evicted first.
RECORDS_KEPT = 4096


@dataclasses.dataclass(frozen=True)
class Load:
    """The requests of all gateways at an upstream, and how many run there at once."""

    requests: int
    slots: int


@dataclasses.dataclass
class Record:
    """What is known of one incarnation; times in monotonic seconds.

    It tolerates ``tolerated`` rejections a second by the signal of ``advertised_at``,
    which had ended by ``ended_at``. ``room`` is how many requests it may hold as of
    ``changed_at``; None before its first use.
    """

    tolerated: float = math.inf
    advertised_at: float = -math.inf
    ended_at: float = -math.inf
    room: float | None = None
    changed_at: float = -math.inf
    rejected_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def is_brittle(self) -> bool:
        """Whether the last signal is later than the evidence of its end."""
        return self.advertised_at > self.ended_at

    def count_rejections(self, now: float) -> int:
        """Return how many requests it rejected in the last window."""
        while self.rejected_at and self.rejected_at[0] <= now - WINDOW_SECONDS:
            self.rejected_at.popleft()
        return len(self.rejected_at)

    def grow(self, slots: int, now: float) -> None:
        """Let the room grow by the time without a rejection."""
        steps = math.floor((now - self.changed_at) / GROWTH_SECONDS)
        if steps > 0:
            step = max(1.0, GROWTH_SHARE * slots)
            self.room = min(float(slots), self.room + steps * step)
            self.changed_at += steps * GROWTH_SECONDS


class Brittleness:
    """The brittle upstreams that one process knows."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        #: The upstreams of each brittle service that served when it became so.
        self._present: dict[str, frozenset[str]] = {}

    @property
    def is_active(self) -> bool:
        """Whether any upstream is brittle."""
        return any(record.is_brittle for record in self._records.values())

    def record_brittle(self, identity: str, tolerated: float, at: float) -> bool:
        """Record a signal of a time; return whether it changes anything."""
        record = self._ensure(identity)
        if at <= record.advertised_at:
            return False
        changed = not record.is_brittle or record.tolerated != tolerated
        record.tolerated, record.advertised_at = tolerated, at
        return changed

    def record_sturdy(self, identity: str, sent_at: float) -> bool:
        """Record an answer without the signal; return whether it ended one.

        ``sent_at`` is when its request was sent.
        """
        record = self._records.get(identity)
        if record is None:
            return False
        was_brittle = record.is_brittle
        record.ended_at = max(record.ended_at, sent_at - REORDERING_SECONDS)
        return was_brittle and not record.is_brittle

    def record_rejection(self, identity: str, held: int, now: float) -> None:
        """Record that an upstream rejected a request for lack of room.

        ``held`` is how many requests were counted there, the rejected one included.
        """
        record = self._ensure(identity)
        record.rejected_at.append(now)
        room = max(1.0, held - 1.0)
        record.room = room if record.room is None else min(record.room, room)
        record.changed_at = now

    def has_rejected(self, identity: str, now: float) -> bool:
        """Return whether a brittle upstream rejected requests a moment ago."""
        record = self._records.get(identity)
        if record is None or not record.is_brittle or not record.rejected_at:
            return False
        return record.rejected_at[-1] > now - REJECTION_SECONDS

    def is_brittle(self, identity: str) -> bool:
        """Return whether the upstream says that it is brittle."""
        record = self._records.get(identity)
        return record is not None and record.is_brittle

    def is_any_brittle(self, identities: abc.Iterable[str]) -> bool:
        """Return whether any of these upstreams says that it is brittle."""
        return any(map(self.is_brittle, identities))

    def list_full(
        self, service: str, load: abc.Mapping[str, Load], now: float
    ) -> list[str]:
        """Return the upstreams of a service that should get no request now.

        There are none unless one of them is brittle; then all of them count as such.
        """
        if not self.is_any_brittle(load):
            self._present.pop(service, None)
            return []
        present = self._present.setdefault(service, frozenset(load))
        tolerated = min(
            self._records[one].tolerated for one in load if self.is_brittle(one)
        )
        return [
            identity
            for identity, held in load.items()
            if held.requests
            >= self._find_room(identity, held, identity not in present, tolerated, now)
        ]

    def _find_room(
        self, identity: str, load: Load, is_new: bool, tolerated: float, now: float
    ) -> int:
        """Return how many requests an upstream of a brittle service may hold now."""
        record = self._ensure(identity)
        if record.room is None:
            share = FIRST_SHARE if is_new else 1.0
            record.room = max(1.0, share * load.slots)
            record.changed_at = now
        record.grow(load.slots, now)
        allowed = max(1.0, TOLERATED_SHARE * min(tolerated, record.tolerated))
        if record.count_rejections(now) >= allowed:
            return 0
        return int(record.room)

    def list_advertised(self, now: float) -> list[tuple[str, float, float]]:
        """Return the signals in force: upstream, rejections, age in seconds."""
        return [
            (identity, record.tolerated, now - record.advertised_at)
            for identity, record in self._records.items()
            if record.is_brittle
        ]

    def _ensure(self, identity: str) -> Record:
        record = self._records.get(identity)
        if record is None:
            record = self._records[identity] = Record()
            if len(self._records) > RECORDS_KEPT:
                oldest = min(
                    self._records, key=lambda one: self._records[one].advertised_at
                )
                del self._records[oldest]
        return record
