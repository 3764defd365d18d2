"""Exchange of learned prefill speeds between directories; logs of pools and features.

A directory that takes over placement thus starts from estimates: an incarnation that is
taken to be twice as fast as it is gets twice its share of the work until first events
correct the estimate.
"""

from trestlestall.daemon import events, logs
from trestlestall.daemon.directory import (
    links as directory_links,
    metrics as directory_metrics,
)
from trestlestall.forwarding import feature_flags, placement, speeds
from trestlestall.wire import directory_messages

#: Seconds between two messages, and between two log lines on a service's pools.
EXCHANGE_INTERVAL_SECONDS = 1.0


class SpeedExchange:
    """Sends and receives learned speeds; ``placer`` learns them."""

    def __init__(
        self,
        links: directory_links.Links,
        log: logs.Log,
        metrics: directory_metrics.Metrics,
        placer: placement.Placer,
    ) -> None:
        self._links = links
        self._metrics = metrics
        self._log = log
        self._placer = placer
        self._shared: dict[str, speeds.Speed] = {}
        self._shared_at = float("-inf")
        self._sizes: dict[str, dict[float, int]] = {}
        self._enabled: dict[str, bool] = {}
        self._log_parts()

    def turn(self, now: float) -> None:
        """Send what was learned since the last time, and log what has changed."""
        if now - self._shared_at < EXCHANGE_INTERVAL_SECONDS:
            return
        self._shared_at = now
        known = self._placer.pooling.list_speeds()
        updates = {
            identity: speed
            for identity, speed in known.items()
            if speeds.is_significant_change(self._shared.get(identity), speed)
        }
        self._shared = {
            identity: updates.get(identity) or self._shared[identity]
            for identity in known
        }
        if updates:
            message = directory_messages.Speeds(tuple(speeds.encode(updates)))
            for peer in self._links.list_directories():
                self._links.send(peer, message)
        self._update_services()
        self._log_pools(now)

    def handle_speeds(self, peer: str, message: directory_messages.Speeds) -> None:
        """Accept another directory's speeds; they are not forwarded."""
        try:
            received = speeds.decode(list(message.rows))
        except (TypeError, ValueError) as error:
            self._log.write(
                events.directory.SPEEDS_REFUSED, source=peer, reason=str(error)
            )
            return
        self._placer.pooling.merge_speeds(received)
        self._shared = self._placer.pooling.list_speeds()

    def _update_services(self) -> None:
        """Log services that became large enough for optional features, or too small."""
        for service in self._placer.list_services():
            enabled = self._placer.find_features(service) != feature_flags.NONE
            if enabled != self._enabled.get(service, False):
                self._enabled[service] = enabled
                self._log_parts(service)

    def _log_parts(self, service: str | None = None) -> None:
        features = self._placer.features
        upstreams, slots = self._placer.count_size(service) if service else (0, 0)
        self._log.write(
            events.directory.FEATURES,
            service=service,
            upstreams=upstreams,
            slots=slots,
            on=self._enabled.get(service, False),
            allowed=feature_flags.list_allowed(features),
            least_upstreams=features.least_upstreams,
            least_slots=features.least_slots,
        )

    def _log_pools(self, now: float) -> None:
        """Log the pool sizes of each service, if they changed."""
        for service, known in self._placer.pooling.pools.items():
            sizes = known.count()
            if sizes == self._sizes.get(service):
                continue
            self._sizes[service] = sizes
            for pause, size in sizes.items():
                self._metrics.record_pool(service, pause, size)
            demand = known.demand
            self._log.write(
                events.directory.POOLS,
                service=service,
                upstreams={str(kind): size for kind, size in sizes.items()},
                tokens_per_second={
                    str(kind): round(demand.find_rate(kind, now))
                    for kind in sorted(demand.sizes)
                },
            )
