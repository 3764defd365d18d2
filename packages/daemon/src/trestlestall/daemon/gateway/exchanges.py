"""The exchanges of a gateway with upstreams, and those that leave a lost path."""

import contextlib
from collections import abc

from trestlestall.forwarding import silence as silences
from trestlestall.wire import clocks

#: An exchange that was heard from so recently stays on a path that seems lost.
HEARD_SECONDS = 0.2


class Exchange:
    """One exchange; ``may_move`` returns whether another upstream may take it over.

    ``leave`` breaks it off; ``release`` is called if it must stay on a lost path, where
    it takes none of the upstream's room.
    """

    def __init__(
        self,
        silence: silences.Silence,
        upstream: str,
        expected_seconds: float,
        may_move: abc.Callable[[], bool],
        release: abc.Callable[[], object],
    ) -> None:
        self.upstream = upstream
        self.peer = ""
        self.leave: abc.Callable[[], object] | None = None
        self.may_move = may_move
        self.release = release
        self._silence = silence
        self._expected_seconds = expected_seconds
        self._observed: silences.Exchange | None = None

    def begin(self, peer: str) -> None:
        """Record that the request is sent, through a peer unless that is empty."""
        self.peer = peer
        now = clocks.read_running()
        self._observed = self._silence.begin(self.upstream, now, self._expected_seconds)

    def record_heard(self) -> None:
        """Record that bytes have arrived."""
        if self._observed is not None:
            self._silence.record_heard(self._observed, clocks.read_running())

    def is_silent(self) -> bool:
        """Return whether nothing has arrived for a while."""
        if self._observed is None:
            return False
        since = max(self._observed.sent_at, self._observed.heard_at)
        return clocks.read_running() - since > HEARD_SECONDS

    def end(self) -> None:
        """Record that the exchange has ended."""
        if self._observed is not None:
            self._silence.end(self._observed)


class Exchanges:
    """All exchanges of a gateway."""

    def __init__(self) -> None:
        self.silence = silences.Silence()
        self._running: set[Exchange] = set()

    @contextlib.contextmanager
    def track(
        self,
        upstream: str,
        expected_seconds: float,
        may_move: abc.Callable[[], bool],
        release: abc.Callable[[], object],
    ) -> abc.Iterator[Exchange]:
        """Yield the record of an exchange that takes place during the block."""
        exchange = Exchange(self.silence, upstream, expected_seconds, may_move, release)
        self._running.add(exchange)
        try:
            yield exchange
        finally:
            self._running.discard(exchange)
            exchange.end()

    def find_silent_peer(self, upstream: str) -> str:
        """Return a peer through which a silent exchange leads; empty without one."""
        for one in self._running:
            if one.upstream == upstream and one.peer and one.is_silent():
                return one.peer
        return ""

    def leave_silent(self, upstream: str, peer: str) -> None:
        """Break off silent exchanges on a lost path, or release those that stay."""
        for one in list(self._running):
            if one not in self._running:
                continue  # it ended while another one was dealt with
            if (one.upstream, one.peer) != (upstream, peer) or not one.is_silent():
                continue
            if one.leave is not None and one.may_move():
                one.leave()
            else:
                one.release()
