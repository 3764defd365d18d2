"""The duties at a directory: whether it holds their lease, and what it does then.

The lease is an entry of the agreed log, separate from the log's leadership
(docs/design/duties.md): its holder keeps it through a change of the leader, and a
leader without a quorum can't acquire it.
"""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from trestlestall.daemon import (
    dialects,
    environment,
    events,
    logs,
    settings as process_settings,
)
from trestlestall.daemon.directory import (
    autoscaling,
    demands,
    lease_context,
    links as directory_links,
    operations,
    platform_client,
    starts_file,
    usage,
)
from trestlestall.duties import leases, state
from trestlestall.forwarding import model, upstreams

OK = 200


@dataclasses.dataclass(frozen=True)
class Fleet:
    """What a directory knows of the upstreams.

    ``count_load(service)`` returns how many upstreams its running requests fill.
    """

    list_rows: abc.Callable[[], abc.Iterable[upstreams.Row]]
    list_scalable: abc.Callable[[], abc.Sequence[model.Service]]
    count_load: abc.Callable[[str], float]


class Duties:
    """The duties of one directory.

    ``open_call`` sends a call to the leader; its reply arrives in a later turn.
    """

    def __init__(
        self,
        settings: process_settings.DirectorySettings,
        env: environment.Environment,
        log: logs.Log,
        links: directory_links.Links,
        duty_calls: dialects.DutyCalls,
        open_call: abc.Callable[[str, dict, abc.Callable[[dict], object]], object],
        known_fleet: Fleet,
    ) -> None:
        self._settings = settings.duties
        self._clock = env.clock.monotonic
        self._log = log
        self._open_call = open_call
        incarnation = f"{env.random.getrandbits(64):x}"
        times = leases.Times(self._settings.lease_seconds)
        now = self._clock()
        self.tenure = leases.Tenure(settings.name, incarnation, times, now)
        self._client = platform_client.PlatformClient(
            self._settings,
            duty_calls,
            settings.name,
            self._find_lease_left,
            self._clock,
        )
        file = starts_file.StartsFile(settings.data_folder, log)
        self.usage = usage.Usage(
            links, self._settings, duty_calls, log, file, env.clock.wall
        )
        self._fleet = known_fleet
        self.demands = demands.Demands(links, known_fleet.count_load)
        self._autoscaler = autoscaling.Autoscaler(duty_calls, self.demands, log)
        self._request_pending = False
        self._could_act = False

    def turn(
        self, known: state.State, list_directories: abc.Callable[[], list[str]]
    ) -> None:
        """Do what is due; ``list_directories`` returns the other voting directories."""
        if self._settings.platform is None:
            return
        now = self._clock()
        self._observe_lease(known.lease, now)
        self.usage.turn(known.windows, now)
        scalable = (
            self._fleet.list_scalable() if self._settings.orders_upstreams else ()
        )
        self.demands.turn([service.name for service in scalable], now)
        may_act = self._check_may_act(now)
        self._request_lease(now)
        if not may_act:
            return
        holder = lease_context.LeaseContext(
            self.tenure.token, now, self.propose, self._client, self._release
        )
        if self._settings.reports_usage:
            self.usage.carry_out(known.windows, list_directories, holder)
        if scalable:
            rows = self._fleet.list_rows()
            self._autoscaler.carry_out(known.orders, scalable, rows, holder)

    def propose(
        self,
        event: typing.Any,
        on_answer: abc.Callable[[leases.Answer | None], object],
    ) -> None:
        """Propose an event; ``on_answer`` gets the log's answer, or None if unknown."""

        def on_reply(reply: dict) -> None:
            is_applied = reply["status"] == OK
            on_answer(state.decode_answer(reply["outcome"]) if is_applied else None)

        document = state.encode_event(event)
        self._open_call(operations.EnterDuty.name, document, on_reply)

    def _release(self, call: str) -> None:
        """Release the lease: never act under the present fencing token again."""
        self._log.write(events.duties.SUPERSEDED, token=self.tenure.token, call=call)
        self.tenure.release()

    def _find_lease_left(self) -> float:
        return self.tenure.find_seconds_left(self._clock())

    def _observe_lease(self, lease: leases.Lease, now: float) -> None:
        held_before, previous_lease = self.tenure.holds, self.tenure.lease
        idle_seconds = self.tenure.find_unchanged_seconds(now)
        self.tenure.observe(lease, now)
        if held_before and not self.tenure.holds:
            self._log.write(
                events.duties.LOST,
                token=previous_lease.token,
                holder=lease.holder,
                successor=lease.token,
            )
        elif self.tenure.holds and not held_before:
            self._log.write(
                events.duties.ACQUIRED,
                token=lease.token,
                previous=previous_lease.holder,
                seconds=round(idle_seconds, 3),
            )

    def _check_may_act(self, now: float) -> bool:
        """Return whether calls may be made; log a lease not renewed in time."""
        may_act = self.tenure.may_act(now)
        if self._could_act and not may_act and self.tenure.holds:
            self._log.write(
                events.duties.LAPSED,
                token=self.tenure.token,
                seconds=round(self.tenure.find_request_age(now), 3),
            )
        self._could_act = may_act
        return may_act

    def _request_lease(self, now: float) -> None:
        """Propose to acquire or renew the lease, if that is due."""
        request = None if self._request_pending else self.tenure.find_due_request(now)
        if request is None:
            return
        self._request_pending = True
        self.tenure.record_request(now)

        def on_answer(answer: leases.Answer | None) -> None:
            self._request_pending = False
            if answer is not None:
                self.tenure.record_answer(answer, now)

        self.propose(request, on_answer)
