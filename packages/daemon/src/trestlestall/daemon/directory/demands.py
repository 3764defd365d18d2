"""The load of the services that may be scaled, as the directories tell each other."""

from collections import abc

from trestlestall.daemon.directory import links as directory_links
from trestlestall.duties import demand
from trestlestall.wire import directory_messages

#: Seconds over which arrivals are counted, and between two tellings.
TELL_SECONDS = 1.0


class Demands:
    """What is read at this directory, and the demand by service.

    ``count_load`` tells the requests of a service that run, in upstreams.
    """

    def __init__(
        self,
        links: directory_links.Links,
        count_load: abc.Callable[[str], float],
    ) -> None:
        self._links = links
        self._count_load = count_load
        self._reading: dict[str, float] = {}
        self._demands: dict[str, demand.Demand] = {}
        self._told_at = float("-inf")

    def note_reading(self, service: str, seconds: float) -> None:
        """Count a request whose prompt takes so long to read."""
        self._reading[service] = self._reading.get(service, 0.0) + seconds

    def find_need(self, service: str, now: float) -> float:
        """Return how many upstreams of a service are needed."""
        known = self._demands.get(service)
        return known.find_need(now) if known is not None else 0.0

    def take(self, peer: str, message: directory_messages.Demand, now: float) -> None:
        """Take what another directory tells."""
        load = demand.Load(message.reading, message.places)
        self._note(message.service, peer, load, now)

    def turn(self, services: abc.Iterable[str], now: float) -> None:
        """Tell the load of these services here, if that is due."""
        passed = now - self._told_at
        if passed < TELL_SECONDS:
            return
        self._told_at = now
        reading, self._reading = self._reading, {}
        for service in services:
            load = demand.Load(
                reading.get(service, 0.0) / min(passed, 2 * TELL_SECONDS),
                self._count_load(service),
            )
            self._note(service, self._links.own, load, now)
            if load.reading or load.places:
                self._tell(
                    directory_messages.Demand(service, load.reading, load.places)
                )

    def _note(self, service: str, source: str, load: demand.Load, now: float) -> None:
        self._demands.setdefault(service, demand.Demand()).note(source, load, now)

    def _tell(self, message: directory_messages.Demand) -> None:
        for peer in self._links.list_directories():
            self._links.send(peer, message)
