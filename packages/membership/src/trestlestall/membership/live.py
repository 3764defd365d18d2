"""The list of upstreams that may get new work, kept for as long as it stays true.

A router asks for it with every request; most of the time nothing has changed since.
"""

import dataclasses
import math
from collections import abc

from trestlestall.membership import entries, outcomes, upstreams


@dataclasses.dataclass(frozen=True)
class Live:
    """The list, and the span of time [since, until) in which only a change ends it."""

    upstreams: tuple[upstreams.Upstream, ...]
    since: float
    until: float
    grace: float

    def holds(self, now: float, grace: float) -> bool:
        """Return whether the list is still true at ``now``."""
        return self.since <= now < self.until and self.grace == grace


def find_live(
    known: abc.Iterable[entries.Entry], data_centre: str, now: float, grace: float
) -> Live:
    """Return the upstreams of the data centre that may get new work, by name."""
    found = []
    until = math.inf
    for entry in known:
        if entry.upstream.data_centre != data_centre:
            continue
        if entry.find_state(now, grace) is not outcomes.State.LIVE:
            continue
        held_until = max(entry.hold.held_until, entry.rests_until)
        if held_until > now:
            until = min(until, held_until)
        else:
            found.append(entry.upstream)
            until = min(until, entry.find_end(grace))
    found.sort(key=lambda upstream: upstream.name)
    return Live(tuple(found), now, until, grace)
