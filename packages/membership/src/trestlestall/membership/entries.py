"""One upstream in a router's table: the replicated fact and this router's own state."""

import dataclasses
import math

from trestlestall.membership import facts, holds, outcomes, upstreams

# How long the entry of an upstream that left, or whose lease expired, is kept as a
# tombstone. A row that arrives later than that brings the upstream back.
TOMBSTONE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """The replicated fact, and the state that only this router holds.

    ``suspect``: a connection was refused since the latest renewal. It is never sent to
    peers, since the fault may lie between this router and the upstream.
    ``rests_until``: end of the backoff that the upstream asked this router for. A
    backoff is no failure of the upstream, and renewals do not end it.
    ``expiry_reported``: the end of the lease has been reported once. ``changed_at`` and
    ``renewed_at`` are marks, the values of the table's change counter when the whole
    row, or its renewal, was last marked for relaying; ``relayed_at`` is the time of
    that. ``known_by``: the peers that sent the latest renewal, to which it need not be
    relayed.
    """

    fact: facts.Fact
    changed_at: int
    renewed_at: int
    relayed_at: float
    suspect: bool = False
    rests_until: float = -math.inf
    expiry_reported: bool = False
    hold: holds.Hold = holds.Hold()
    known_by: frozenset[str] = frozenset()

    @property
    def upstream(self) -> upstreams.Upstream:
        """Return the upstream with its latest report."""
        return self.fact.upstream

    def find_end(self, grace: float) -> float:
        """Return when the lease ends or, once it has left, when its tombstone does."""
        return self.fact.until if self.fact.left else self.fact.until + grace

    def find_state(self, now: float, grace: float) -> outcomes.State:
        """Return the upstream's state at ``now``."""
        if self.fact.left:
            return outcomes.State.LEFT
        if self.find_end(grace) <= now:
            return outcomes.State.EXPIRED
        if self.suspect:
            return outcomes.State.SUSPECT
        return outcomes.State.LIVE

    def is_same(self, incarnation: int) -> bool:
        """Return whether the entry is about this incarnation."""
        return self.upstream.incarnation == incarnation

    def is_renewable(self, incarnation: int) -> bool:
        """Return whether this incarnation has announced itself and not left."""
        return self.is_same(incarnation) and not self.fact.left

    def is_removable(self, now: float, grace: float) -> bool:
        """Return whether the entry has outlived its time as a tombstone."""
        end = self.find_end(grace)
        return end <= now if self.fact.left else end + TOMBSTONE_SECONDS <= now

    def has_newly_expired(self, now: float, grace: float) -> bool:
        """Return whether the lease has expired and this was not reported yet."""
        state = self.find_state(now, grace)
        return state is outcomes.State.EXPIRED and not self.expiry_reported

    def with_known_by(self, peer: str) -> "Entry":
        """Return the entry with the peer added to ``known_by``."""
        return dataclasses.replace(self, known_by=self.known_by | {peer})

    def without_known_by(self, peer: str) -> "Entry":
        """Return the entry with the peer removed from ``known_by``."""
        return dataclasses.replace(self, known_by=self.known_by - {peer})
