"""Time-outs of queries to the scheduler, and when to replace it; pure.

Until an unresponsive scheduler is replaced, each gateway chooses upstreams locally,
without knowing what the others send. A shorter pause of the scheduler's process is no
reason for gateways to use different schedulers.
"""

from trestlestall.forwarding import descriptors

#: The wait time-out as a share of the request's target for the first event, and its
#: bounds: some round trips between data centres of a region, and more than a long
#: prompt takes on a narrow link (72 KB at 5 Mbit/s), which delays queries.
TIMEOUT_SHARE = 0.25
TIMEOUT_BOUNDS_SECONDS = (0.03, 0.2)
#: Seconds without queries after one that timed out.
RETRY_PAUSE_SECONDS = 0.1
#: A directory is unresponsive after this many queries in a row without an answer, if
#: the first of them was sent at least this many seconds ago.
UNANSWERED_LIMIT = 2
UNRESPONSIVE_SECONDS = 0.3
#: Seconds for which an unresponsive directory is avoided: about as long as a disk or a
#: process usually stalls.
AVOIDANCE_SECONDS = 4.0


class SchedulerHealth:
    """Tracks the unanswered queries to one directory.

    Times are in seconds on a clock without those for which this process was held up: a
    directory can't answer queries that were not sent.

    >>> health = SchedulerHealth()
    >>> health.record_query(0.0)
    >>> health.record_timeout(0.2)
    False
    >>> health.may_be_queried(0.25), health.may_be_queried(0.35)
    (False, True)
    >>> health.record_timeout(0.5)
    True
    """

    def __init__(self) -> None:
        self._unanswered = 0
        self._first_query_at = float("inf")
        self._paused_until = float("-inf")

    def may_be_queried(self, now: float) -> bool:
        """Return whether the directory may be queried now."""
        return now >= self._paused_until

    def record_query(self, now: float) -> None:
        """Record that a query was sent."""
        self._first_query_at = min(self._first_query_at, now)

    def record_answered(self) -> None:
        """Record an answer, after which earlier time-outs no longer count."""
        self._unanswered = 0
        self._first_query_at = float("inf")

    def record_timeout(self, now: float) -> bool:
        """Record a time-out; return whether the directory counts as unresponsive."""
        self._paused_until = now + RETRY_PAUSE_SECONDS
        self._unanswered += 1
        return (
            self._unanswered >= UNANSWERED_LIMIT
            and now - self._first_query_at >= UNRESPONSIVE_SECONDS
        )


def compute_wait_timeout(descriptor: descriptors.Descriptor) -> float:
    """Return how long to wait for the directory's answer, in seconds."""
    least, most = TIMEOUT_BOUNDS_SECONDS
    return min(most, max(least, TIMEOUT_SHARE * descriptor.first_seconds))
