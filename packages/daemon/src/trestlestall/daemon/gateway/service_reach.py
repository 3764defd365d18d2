"""Logs when no upstream of a service can be connected to, and when one can be again."""

import dataclasses
from collections import abc

from trestlestall.daemon import events
from trestlestall.daemon.gateway import cached_view
from trestlestall.forwarding import upstreams


@dataclasses.dataclass(frozen=True)
class Loss:
    """An upstream that can't be connected to, since when (monotonic seconds).

    ``timed_out`` is whether its host did not reply at all.
    """

    since: float
    timed_out: bool


class ServiceReach:
    """Whether this gateway reaches any upstream of each service.

    ``losses`` are the unreachable upstreams by identity; ``update`` is called after
    each change of them.
    """

    def __init__(
        self, view: cached_view.CachedView, losses: abc.Mapping[str, Loss]
    ) -> None:
        self._view = view
        self._losses = losses
        #: When the service's first upstream became unreachable, if all are.
        self._lost_since: dict[str, float] = {}

    def update(self, service: str) -> None:
        """Log a change of whether any upstream of the service is reachable."""
        serving = [
            row.identity
            for row in self._view.table.rows.values()
            if row.service == service and row.state is upstreams.State.SERVING
        ]
        lost = [self._losses[one] for one in serving if one in self._losses]
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
                seconds=round(self._view.clock() - since, 3),
            )

    def _write_lost(self, service: str, lost: abc.Sequence[Loss]) -> None:
        timed_out = sum(one.timed_out for one in lost)
        self._view.log.write(
            events.forwarding.SERVICE_UNREACHABLE,
            service=service,
            known=len(lost),
            unreachable=len(lost),
            refused=len(lost) - timed_out,
            timed_out=timed_out,
            seconds=round(self._view.clock() - self._lost_since[service], 3),
        )
