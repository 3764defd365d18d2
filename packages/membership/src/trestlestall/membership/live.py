"""The cached list of upstreams that may get new work.

A router reads it for every request, and most of the time nothing has changed since the
previous one.
"""

import dataclasses
import math
from collections import abc

from trestlestall.membership import entries, outcomes, upstreams


@dataclasses.dataclass(frozen=True)
class Live:
    """The list, valid in the time [since, until) unless an entry changes."""

    upstreams: tuple[upstreams.Upstream, ...]
    since: float
    until: float
    grace: float

    def is_valid(self, now: float, grace: float) -> bool:
        """Return whether the list is still valid at ``now`` with this grace."""
        return self.since <= now < self.until and self.grace == grace


def find_live(
    known: abc.Iterable[entries.Entry], data_centre: str, now: float, grace: float
) -> Live:
    """Return the data centre's upstreams that may get new work, ordered by name."""
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
