"""Timeouts for upstreams that are silent; pure.

Only requests that may be retried leave an upstream that is merely silent, as it may be
just slow.
"""

from trestlestall.forwarding import model

#: Seconds that must be left to fail over from a silent upstream.
MIN_SECONDS_LEFT = 1.0
#: Timeout for the first event, in targets for the first event.
FIRST_EVENT_TARGETS = 3.0
#: Timeout between two events, in pause targets (see ``Route.pause_seconds``); below the
#: eight at which callers themselves time out.
GAP_PAUSES = 6.0
#: The shortest timeout: a sound upstream may be silent for a second.
MIN_TIMEOUT_SECONDS = 1.3


def allows_failover(left: float) -> bool:
    """Return whether another upstream could still answer in the seconds left."""
    return left > MIN_SECONDS_LEFT


def find_first_event_timeout(route: model.Route) -> float:
    """Return the timeout for the beginning of the answer, in seconds."""
    return max(MIN_TIMEOUT_SECONDS, FIRST_EVENT_TARGETS * route.first_seconds)


def find_gap_timeout(route: model.Route) -> float:
    """Return the timeout between two events of a stream, in seconds."""
    return max(MIN_TIMEOUT_SECONDS, GAP_PAUSES * (route.pause_seconds or 0.0))
