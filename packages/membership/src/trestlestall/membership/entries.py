"""One upstream in a router's table: the shared fact and what only this router knows."""

import dataclasses

from trestlestall.membership import facts, holds, outcomes, upstreams


@dataclasses.dataclass(frozen=True)
class Entry:
    """The fact, and this router's own view beside it.

    ``suspect``: a connection was refused since the newest renewal; this is never told
    to peers, since the fault may lie between this router and the upstream.
    ``told_expired``: the end of the lease has been reported once. ``changed_at`` and
    ``renewed_at`` are marks: the table's count of changes when the whole row, or its
    renewal, was last to be passed on, at ``passed_at``. ``known_by``: the peers that
    told the newest renewal, which need not hear it again.
    """

    fact: facts.Fact
    changed_at: int
    renewed_at: int
    passed_at: float
    suspect: bool = False
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
