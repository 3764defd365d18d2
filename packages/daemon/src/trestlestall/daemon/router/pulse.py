"""The router's clockwork: what is due by time alone, in one greenlet.

While requests are under way the policy is asked every ``BUSY_SECONDS``; an idle router
wakes up every ``IDLE_SECONDS`` and does next to nothing.
"""

from __future__ import annotations

import contextlib
import dataclasses
import traceback
import typing
from collections import abc

import eventlet
from eventlet import hubs

from trestlestall.daemon import events, exceptions
from trestlestall.membership import topology
from trestlestall.wire import messages

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

BUSY_SECONDS = 0.03
IDLE_SECONDS = 0.25
PULL_SECONDS = 1.0
# How often the way of rows between routers is fitted to how many routers and upstreams
# there are; the plan changes only slowly with these.
PLAN_SECONDS = 5.0
# How long a starting router waits for control before it asks its peers, and before it
# serves with what its data folder holds: both may be older than what it had in force.
PATIENCE_SECONDS = 3.0


@dataclasses.dataclass
class Duty:
    """Something to be done every so many seconds."""

    seconds: float
    do: abc.Callable[[], None]
    due_at: float = 0.0


class Pulse:
    """Ticks the policy and sees to the duties."""

    def __init__(self, site: process.Router):
        self._site = site
        self._levels: abc.Mapping[str, int] = {}
        self._sequence = 0
        self._started_at = site.env.clock.monotonic()
        self._woken: eventlet.Event | None = None
        self._duties = (
            Duty(topology.POLL_SECONDS, self._tell_rows),
            Duty(PLAN_SECONDS, self._plan_rows),
            Duty(0.5, site_expirer(site)),
            Duty(1.0, lambda: site.desk.resend()),
            Duty(PULL_SECONDS, self._pull_configuration),
        )

    @contextlib.contextmanager
    def beat(self) -> abc.Iterator[None]:
        """Keep the clockwork running while the block runs.

        Raises ``InvariantBroken`` in the greenlet of the block when the clockwork
        fails: without it leases, retries and refusals would silently stand still.
        """
        owner = eventlet.getcurrent()
        greenlet = eventlet.spawn(self._run_or_stop, owner)
        try:
            yield
        finally:
            greenlet.kill()

    def _run_or_stop(self, owner: eventlet.greenlet.GreenThread) -> None:
        try:
            self._run()
        except Exception as error:
            broken = exceptions.InvariantBroken("pulse", traceback.format_exc())
            broken.__cause__ = error
            hubs.get_hub().schedule_call_global(0, owner.throw, broken)

    def wake(self) -> None:
        """Start to tick at the busy rate: a request has arrived."""
        if self._woken is not None:
            woken, self._woken = self._woken, None
            woken.send()

    def report_pressure(self, levels: abc.Mapping[str, int]) -> None:
        """Tell the neighbours; the policy repeats it while there is pressure."""
        site = self._site
        if levels != self._levels:
            self._levels = dict(levels)
            site.journal.write(events.routing.PRESSURE, levels=self._levels)
        self._sequence += 1
        message = messages.Pressure(site.settings.name, self._sequence, self._levels)
        for name in site.list_neighbours():
            site.mesh.send(name, message)

    def _run(self) -> None:
        while True:
            self._sleep()
            self._site.dispatcher.tick()
            now = self._site.env.clock.monotonic()
            for duty in self._duties:
                if now >= duty.due_at:
                    duty.due_at = now + duty.seconds
                    duty.do()

    def _sleep(self) -> None:
        if self._site.dispatcher.is_busy:
            eventlet.sleep(BUSY_SECONDS)
            return
        self._woken = eventlet.Event()
        with eventlet.Timeout(IDLE_SECONDS, False):
            self._woken.wait()
        self._woken = None

    def _tell_rows(self) -> None:
        self._site.members.tell(self._site.list_neighbours())

    def _plan_rows(self) -> None:
        site = self._site
        site.members.set_peers(site.list_routers())

    def _pull_configuration(self) -> None:
        site = self._site
        pull = messages.ConfigurationPull(site.agreed.version)
        site.controls.send(pull)
        now = site.env.clock.monotonic()
        if now < self._started_at + PATIENCE_SECONDS:
            return
        if site.agreed.is_cut_off(now):
            for name in site.list_neighbours():
                site.mesh.send(name, pull)
        if site.agreed.version:
            site.agreed.known = True


def site_expirer(site: process.Router) -> abc.Callable[[], None]:
    """Return what notes leases that have run out."""
    return lambda: site.members.expire()
