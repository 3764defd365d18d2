"""Flap damping: a growing hold on upstreams that repeatedly fail and return.

The first return within the window causes no hold, so that a restarted upstream gets
work at once. The second holds the upstream for 1 s and each further one for twice as
long: 2 s, 4 s, up to 30 s. A window without a return resets the count.

Example: an engine that crashes every 5 s gets work at once, then after 1 s, 2 s, ….
"""

import dataclasses

WINDOW_SECONDS = 60.0
UNDELAYED_RETURNS = 1
INITIAL_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class Hold:
    """The number of recent returns, the time of the last, and the end of the hold."""

    returns: int = 0
    last: float = 0.0
    held_until: float = 0.0


def record_return(hold: Hold, now: float) -> Hold:
    """Return the hold after one more return of the upstream at ``now``."""
    quiet = now - hold.last >= WINDOW_SECONDS
    returns = 1 if quiet else hold.returns + 1
    return Hold(returns, now, now + find_hold(returns))


def find_hold(returns: int) -> float:
    """Return the length of the hold in seconds after this many returns."""
    counted = returns - UNDELAYED_RETURNS
    if counted <= 0:
        return 0.0
    doubled = INITIAL_HOLD_SECONDS * 2 ** min(counted - 1, 10)
    return min(MAX_HOLD_SECONDS, doubled)
