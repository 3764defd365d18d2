"""Logs when no upstream of a service can be connected to, and when one can be again."""

from collections import abc

from trestlestall.daemon import events
from trestlestall.daemon.gateway import cached_view
from trestlestall.forwarding import reach as reaches, upstreams
from trestlestall.wire import clocks


class ServiceReach:
    """Whether this gateway reaches any upstream of each service.

    ``update`` is called after each change of ``reach``.
    """

    def __init__(self, view: cached_view.CachedView, reach: reaches.Reach) -> None:
        self._view = view
        self._reach = reach
        #: When the service's first upstream became unreachable, if all are.
        self._lost_since: dict[str, float] = {}

    def update(self, service: str) -> None:
        """Log a change of whether any upstream of the service is reachable."""
        serving = [
            row.identity
            for row in self._view.table.rows.values()
            if row.service == service and row.state is upstreams.State.SERVING
        ]
        lost = self._reach.list_losses(serving)
        is_lost = bool(serving) and len(lost) == len(serving)
        if is_lost and service not in self._lost_since:
            self._lost_since[service] = min(one.since for one in lost)
            self._write_lost(service, lost)
        elif not is_lost and service in self._lost_since:
            since = self._lost_since.pop(service)
            self._view.log.write(
                events.forwarding.SERVICE_REACHED,
                service=service,
                known=len(serving),
                unreachable=len(lost),
                seconds=round(clocks.read_running() - since, 3),
            )

    def _write_lost(self, service: str, lost: abc.Sequence[reaches.Loss]) -> None:
        timed_out = sum(one.timed_out for one in lost)
        self._view.log.write(
            events.forwarding.SERVICE_UNREACHABLE,
            service=service,
            known=len(lost),
            unreachable=len(lost),
            refused=len(lost) - timed_out,
            timed_out=timed_out,
            seconds=round(clocks.read_running() - self._lost_since[service], 3),
        )
