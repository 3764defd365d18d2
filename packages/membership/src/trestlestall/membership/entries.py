"""One upstream in a router's table: the shared fact and what only this router knows."""

import dataclasses
import math

from trestlestall.membership import facts, holds, outcomes, upstreams

# For how long a leaving, or an ended lease, is remembered: a row that is told later
# than that would bring the upstream back.
TOMBSTONE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """The fact, and this router's own view beside it.

    ``suspect``: a connection was refused since the newest renewal; this is never told
    to peers, since the fault may lie between this router and the upstream.
    ``rests_until``: until then the upstream wants no work from this router, which is no
    fault of it and outlasts renewals. ``told_expired``: the end of the lease has been
    reported once. ``changed_at`` and ``renewed_at`` are marks: the table's count of
    changes when the whole row, or its renewal, was last to be passed on, at
    ``passed_at``. ``known_by``: the peers that told the newest renewal, which need not
    hear it again.
    """

    fact: facts.Fact
    changed_at: int
    renewed_at: int
    passed_at: float
    suspect: bool = False
    rests_until: float = -math.inf
    told_expired: bool = False
    hold: holds.Hold = holds.Hold()
    known_by: frozenset[str] = frozenset()

    @property
    def upstream(self) -> upstreams.Upstream:
        """Return the upstream with its newest report."""
        return self.fact.upstream

    def find_end(self, grace: float) -> float:
        """Return when the lease ends, or when a leaving is forgotten."""
        return self.fact.until if self.fact.left else self.fact.until + grace

    def find_state(self, now: float, grace: float) -> outcomes.State:
        """Return where the upstream stands at ``now``."""
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

    def is_forgettable(self, now: float, grace: float) -> bool:
        """Return whether nothing late can bring the entry back any more."""
        end = self.find_end(grace)
        return end <= now if self.fact.left else end + TOMBSTONE_SECONDS <= now

    def has_just_expired(self, now: float, grace: float) -> bool:
        """Return whether the lease is over and nobody was told yet."""
        state = self.find_state(now, grace)
        return state is outcomes.State.EXPIRED and not self.told_expired

    def with_teller(self, peer: str) -> "Entry":
        """Return the entry with the peer among those that know the newest renewal."""
        return dataclasses.replace(self, known_by=self.known_by | {peer})

    def without_teller(self, peer: str) -> "Entry":
        """Return the entry without the peer among those that know it."""
        return dataclasses.replace(self, known_by=self.known_by - {peer})
