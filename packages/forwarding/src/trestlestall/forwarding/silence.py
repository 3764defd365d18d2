"""Finds upstreams whose silence may be that of the link to them; pure.

A request that was sent on a connection which is partitioned from its upstream gets no
error for seconds, and one that may run once is lost by then. So the link to an upstream
that is silent for longer than expected is checked by a new connection, and those to
others as soon as one is lost: most partitions cut a host off from several.
"""

import dataclasses
import math
from collections import abc

#: Seconds of silence, beyond the time that a first event is expected to take, after
#: which the link is checked: many round trips, and less than most targets.
SILENCE_SECONDS = 0.3
#: The most of the expected time that counts: estimates of a busy upstream are unsure.
MAX_EXPECTED_SECONDS = 1.0
#: Seconds between two checks of a link that proves to work.
CHECK_INTERVAL_SECONDS = 1.0
#: Links that are checked where all upstreams are silent, and after a first loss.
SAMPLE_SIZE = 2
#: An upstream that was heard from so recently is not checked after another's loss.
HEARD_SECONDS = 0.1
#: Seconds within which two lost links count as one partition, after which all others
#: are checked, and the most of them.
PARTITION_SECONDS = 1.0
PARTITION_SIZE = 2
MAX_CHECKS = 64


@dataclasses.dataclass(eq=False)
class Exchange:
    """A request at an upstream; times in seconds of a clock without own stalls.

    ``expected_seconds`` is how long the first event is expected to take.
    """

    upstream: str
    sent_at: float
    expected_seconds: float
    heard_at: float = -math.inf


class Silence:
    """The exchanges of one gateway, and when it last heard from each upstream."""

    def __init__(self) -> None:
        self._exchanges: dict[str, set[Exchange]] = {}
        self._heard_at: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}

    def begin(self, upstream: str, now: float, expected_seconds: float) -> Exchange:
        """Record that a request is sent to the upstream."""
        exchange = Exchange(upstream, now, min(expected_seconds, MAX_EXPECTED_SECONDS))
        self._exchanges.setdefault(upstream, set()).add(exchange)
        return exchange

    def record_heard(self, exchange: Exchange, now: float) -> None:
        """Record that bytes of the response have arrived."""
        exchange.heard_at = self._heard_at[exchange.upstream] = now

    def record_reached(self, upstream: str, now: float) -> None:
        """Record that a new connection to the upstream was opened."""
        self._heard_at[upstream] = now

    def record_check(self, upstream: str, now: float) -> None:
        """Record that the link to the upstream is being checked."""
        self._checked_at[upstream] = now

    def end(self, exchange: Exchange) -> None:
        """Record that an exchange has ended."""
        running = self._exchanges.get(exchange.upstream, set())
        running.discard(exchange)
        if not running:
            self._exchanges.pop(exchange.upstream, None)

    def forget(self, known: abc.Container[str]) -> None:
        """Remove what is recorded of upstreams that are no longer known."""
        for record in (self._heard_at, self._checked_at):
            for upstream in [one for one in record if one not in known]:
                del record[upstream]

    def list_suspects(self, now: float) -> list[str]:
        """Return the upstreams whose links should be checked now."""
        silent = [one for one in self._exchanges if self._is_silent(one, now)]
        if len(self._exchanges) >= SAMPLE_SIZE and self._are_all_silent(now):
            silent += sorted(self._exchanges, key=self._find_quiet_since)[:SAMPLE_SIZE]
        return [one for one in dict.fromkeys(silent) if self._may_check(one, now)]

    def list_related(
        self, losses: abc.Mapping[str, float], known: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return further upstreams to check after a loss.

        ``losses`` are the times at which links to upstreams were lost.
        """
        recent = [at for at in losses.values() if now - at <= PARTITION_SECONDS]
        size = MAX_CHECKS if len(recent) >= PARTITION_SIZE else SAMPLE_SIZE
        others = [
            one
            for one in known
            if one not in losses
            and now - self._heard_at.get(one, -math.inf) > HEARD_SECONDS
            and self._may_check(one, now)
        ]
        others.sort(key=lambda one: (one not in self._exchanges, one))
        return others[:size]

    def _is_silent(self, upstream: str, now: float) -> bool:
        return any(
            now - self._find_due(one) > SILENCE_SECONDS
            for one in self._exchanges[upstream]
        )

    def _find_due(self, exchange: Exchange) -> float:
        """Return by when something should have been heard."""
        heard = self._heard_at.get(exchange.upstream, -math.inf)
        since = max(exchange.sent_at, heard)
        has_begun = exchange.heard_at > exchange.sent_at
        return since if has_begun else since + exchange.expected_seconds

    def _are_all_silent(self, now: float) -> bool:
        quiet = sorted(map(self._find_quiet_since, self._exchanges))
        heard = max(self._heard_at.values(), default=-math.inf)
        return now - max(quiet[SAMPLE_SIZE - 1], heard) > SILENCE_SECONDS

    def _find_quiet_since(self, upstream: str) -> float:
        sent = min(one.sent_at for one in self._exchanges[upstream])
        return max(sent, self._heard_at.get(upstream, -math.inf))

    def _may_check(self, upstream: str, now: float) -> bool:
        checked = self._checked_at.get(upstream, -math.inf)
        return now - checked > CHECK_INTERVAL_SECONDS
