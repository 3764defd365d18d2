"""A growing hold for upstreams that keep failing and coming back.

The first return within the window is free, so that a restart takes work at once.
Each further one doubles the hold: 1 s, 2 s, 4 s, up to 30 s. A quiet window clears the
count.

Example: an engine that crashes every 5 s gets work at once, then after 1 s, 2 s, ….
"""

import dataclasses

WINDOW = 60.0
FREE_RETURNS = 1
FIRST_HOLD = 1.0
LONGEST_HOLD = 30.0


@dataclasses.dataclass(frozen=True)
class Hold:
    """How often an upstream came back lately, and until when it is held."""

    returns: int = 0
    last: float = 0.0
    held_until: float = 0.0


def note_return(hold: Hold, now: float) -> Hold:
    """Return the count after one more return of the upstream at ``now``."""
    quiet = now - hold.last >= WINDOW
    returns = 1 if quiet else hold.returns + 1
    return Hold(returns, now, now + find_hold(returns))


def find_hold(returns: int) -> float:
    """Return the seconds without new work that follow this many returns."""
    counted = returns - FREE_RETURNS
    if counted <= 0:
        return 0.0
    doubled = FIRST_HOLD * 2 ** min(counted - 1, 10)
    return min(LONGEST_HOLD, doubled)
