"""Proofs that the process at an upstream's address is the one that was announced.

An upstream that starts again may have the identity and the address that it had, but
another version of its software, and answers before its announcement is known. So a
request that goes on with a stream is sent only once a directory has received an
announcement of the upstream that is younger than a connection to it: as that connection
is still alive, the process behind it is the one that announced itself, since two can't
listen at one address.
"""

from collections import abc

import eventlet

from trestlestall.daemon import events
from trestlestall.daemon.gateway import cached_view, connections, questions
from trestlestall.forwarding import origins, upstreams
from trestlestall.wire import clocks, stream_messages

#: Seconds by which the announcement has to be younger than the connection: several
#: times what one is under way.
MARGIN_SECONDS = 0.25
#: Seconds for which a proof is waited for, nearly two announcements, and the pause
#: between two questions.
PATIENCE_SECONDS = 2.0
PAUSE_SECONDS = 0.1


class IdentityProofs:
    """Proves which process is behind a connection."""

    def __init__(
        self,
        view: cached_view.CachedView,
        pool: connections.Pool,
        asking: questions.Questions,
    ) -> None:
        self._view = view
        self._pool = pool
        self._questions = asking

    def prove(
        self,
        request_id: str,
        row: upstreams.Row,
        origin: origins.Origin,
        connection: connections.Connection,
        until: float,
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        """Return whether the process behind a connection is proven to be the row's.

        A proof is waited for up to the clock reading ``until``, while ``is_wanted`` and
        while the upstream serves.
        """
        started = clocks.read()
        is_proven = False
        while not is_proven and is_wanted() and self._is_current(row, origin):
            is_proven = self._is_proven(row, connection)
            if not is_proven:
                if clocks.read() + PAUSE_SECONDS >= until:
                    break
                eventlet.sleep(PAUSE_SECONDS)
        self._write(request_id, row, is_proven, clocks.read() - started)
        return is_proven

    def _is_current(self, row: upstreams.Row, origin: origins.Origin) -> bool:
        """Return whether the upstream still serves, at the version that it had."""
        known = self._view.table.rows.get(row.identity)
        serves = known is not None and known.state is upstreams.State.SERVING
        return serves and origin.matches(known)

    def _is_proven(
        self, row: upstreams.Row, connection: connections.Connection
    ) -> bool:
        """Return whether an announcement is younger than a connection that lives.

        That is the connection itself, or another one on which data certainly arrived
        after it was opened.
        """
        opened_at = connection.opened_at
        oldest = min(
            one.opened_at
            for one in (connection, *self._pool.list_open(row.address))
            if one.alive_at >= opened_at or one is connection
        )

        def is_young(answer: stream_messages.HeardAnswer) -> bool:
            heard = answer.seconds
            return heard is not None and is_younger(heard, oldest)

        answers = self._questions.ask(
            lambda token: stream_messages.HeardCall(token, row.identity), is_young
        )
        return any(map(is_young, answers.values()))

    def _write(
        self, request_id: str, row: upstreams.Row, is_proven: bool, seconds: float
    ) -> None:
        self._view.log.write(
            events.forwarding.IDENTITY_PROVEN
            if is_proven
            else events.forwarding.IDENTITY_UNPROVEN,
            request=request_id,
            upstream=row.identity,
            address=row.address,
            version=row.version,
            seconds=round(seconds, 4),
        )


def is_younger(heard_seconds: float, opened_at: float) -> bool:
    """Return whether an announcement that old came after a connection was opened."""
    return clocks.read() - heard_seconds > opened_at + MARGIN_SECONDS
