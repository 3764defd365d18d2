"""Finding out whether an upstream ended while requests ran there.

A connection also ends with a reset, a release or a spoiled answer, and a host that is
cut off answers nothing. A process that has ended is told from these by its host: it
refuses connections at once.
"""

import dataclasses
import errno
import socket

import eventlet

from trestlestall.daemon import events
from trestlestall.daemon.gateway import knowledge as knowledges
from trestlestall.forwarding import upstreams
from trestlestall.wire import addresses

#: Seconds within which a host answers a connection: many round trips of a region.
REFUSAL_SECONDS = 0.1


@dataclasses.dataclass
class Doubt:
    """An upstream that closed a connection, and the requests that broke off since."""

    started: float
    broken: int = 0


class Endings:
    """The upstreams that may just have ended."""

    def __init__(self, knowledge: knowledges.Knowledge) -> None:
        self._knowledge = knowledge
        self._doubts: dict[str, Doubt] = {}

    def note_broken(self, row: upstreams.Row) -> None:
        """Note that the upstream closed a connection while a request ran there."""
        doubt = self._doubts.get(row.identity)
        if doubt is None:
            doubt = self._doubts[row.identity] = Doubt(self._knowledge.clock())
            eventlet.spawn(self._look, row, doubt)
        doubt.broken += 1

    def _look(self, row: upstreams.Row, doubt: Doubt) -> None:
        ended = is_refused(row.address)
        del self._doubts[row.identity]
        if ended:
            self._knowledge.log.write(
                events.forwarding.ENDED_UNDER,
                upstream=row.identity,
                address=row.address,
                broken=doubt.broken,
                seconds=round(self._knowledge.clock() - doubt.started, 4),
            )


def is_refused(address: str) -> bool:
    """Return whether the host of ``IP:port`` says that nobody listens there."""
    pair = addresses.parse(address)
    try:
        socket.create_connection(pair, timeout=REFUSAL_SECONDS).close()
    except OSError as error:
        return error.errno == errno.ECONNREFUSED
    return False
