"""The load of scalable services, which the directories report to each other."""

from collections import abc

from trestlestall.daemon.directory import links as directory_links
from trestlestall.duties import demand
from trestlestall.wire import directory_messages

#: Seconds over which arriving requests are counted, and between two load reports.
REPORT_INTERVAL_SECONDS = 1.0


class Demands:
    """The prefill load placed by this directory, and the demand by service.

    ``count_load`` returns the running requests of a service, expressed as the number
    of upstreams that they fill.
    """

    def __init__(
        self,
        links: directory_links.Links,
        count_load: abc.Callable[[str], float],
    ) -> None:
        self._links = links
        self._count_load = count_load
        self._prefill_seconds: dict[str, float] = {}
        self._demands: dict[str, demand.Demand] = {}
        self._reported_at = float("-inf")

    def record_prefill(self, service: str, seconds: float) -> None:
        """Add the prefill time of a request's prompt."""
        self._prefill_seconds[service] = (
            self._prefill_seconds.get(service, 0.0) + seconds
        )

    def find_target_capacity(self, service: str, now: float) -> float:
        """Return how many upstreams the service needs."""
        known = self._demands.get(service)
        return known.find_target_capacity(now) if known is not None else 0.0

    def handle_demand(
        self, peer: str, message: directory_messages.Demand, now: float
    ) -> None:
        """Record the load that another directory reports."""
        load = demand.Load(message.reading, message.places)
        self._record(message.service, peer, load, now)

    def turn(self, services: abc.Iterable[str], now: float) -> None:
        """Record and report the load of these services here, if that is due."""
        elapsed = now - self._reported_at
        if elapsed < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        prefill_seconds, self._prefill_seconds = self._prefill_seconds, {}
        for service in services:
            load = demand.Load(
                prefill_seconds.get(service, 0.0)
                / min(elapsed, 2 * REPORT_INTERVAL_SECONDS),
                self._count_load(service),
            )
            self._record(service, self._links.own, load, now)
            if load.reading or load.places:
                self._broadcast(
                    directory_messages.Demand(service, load.reading, load.places)
                )

    def _record(self, service: str, source: str, load: demand.Load, now: float) -> None:
        self._demands.setdefault(service, demand.Demand()).record(source, load, now)

    def _broadcast(self, message: directory_messages.Demand) -> None:
        for peer in self._links.list_directories():
            self._links.send(peer, message)
