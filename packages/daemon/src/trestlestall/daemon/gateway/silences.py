"""Noticing upstreams that went silent, by the requests that wait for them.

A host that is cut off answers nothing, and requests on kept connections to it wait in
silence. Each of those that follow would be lost as well until somebody tries a new
connection: without this, that was when the first caller gave up, after 2.4 s. Requests
that may go on elsewhere do so as soon as that connection has failed.
"""

import contextlib
import time
from collections import abc

import eventlet

from trestlestall.daemon.gateway import attempts, reaching

#: Seconds between two looks at the attempts under way.
LOOK_SECONDS = 0.05
#: The shortest silence that makes a new connection worth trying, in seconds: a packet
#: that was lost once is sent again within 0.2 s, and most answers of plain services
#: come before that.
LEAST_SECONDS = 0.25
#: Times the predicted first event that an upstream may be silent at first: nine in ten
#: first events come before that.
FIRST_FACTOR = 2.0
#: Times the longest pause that is on time that a stream may be silent later on.
PAUSE_FACTOR = 2.0


class Watch:
    """Looks at the attempts under way; suspects the upstreams of silent ones."""

    def __init__(self, reach: reaching.Reaching) -> None:
        self._reach = reach
        self._attempts: set[attempts.Attempt] = set()

    @contextlib.contextmanager
    def follow(
        self,
        attempt: attempts.Attempt,
        predicted: float,
        pause: float | None,
        moves: bool,
    ) -> abc.Iterator[None]:
        """Watch the attempt during the block.

        ``predicted`` are the seconds to its first event, ``pause`` those that may lie
        between two events. ``moves`` tells that its request may go on elsewhere: then
        the attempt is ended when its upstream can't be connected to.
        """
        attempt.moves = moves
        attempt.quiet_seconds = max(
            LEAST_SECONDS, FIRST_FACTOR * predicted, PAUSE_FACTOR * (pause or 0.0)
        )
        self._attempts.add(attempt)
        try:
            yield
        finally:
            self._attempts.discard(attempt)

    def run(self) -> None:
        """Look at all attempts again and again."""
        while True:
            eventlet.sleep(LOOK_SECONDS)
            self.look(time.monotonic())

    def look(self, now: float) -> None:
        """Suspect the upstream of each attempt that is silent for too long."""
        for attempt in tuple(self._attempts):
            if now - attempt.heard_at <= attempt.quiet_seconds:
                continue
            if attempt.moves and attempt.row.identity in self._reach.unreachable:
                attempt.abort()
            else:
                self._reach.suspect(attempt.row)
