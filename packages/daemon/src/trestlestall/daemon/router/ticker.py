"""Ticks the policy and runs the router's periodic tasks, in one greenlet.

While requests are in progress the policy is ticked every ``BUSY_TICK_SECONDS``; an idle
router wakes up every ``IDLE_TICK_SECONDS`` and does little.
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

BUSY_TICK_SECONDS = 0.03
IDLE_TICK_SECONDS = 0.25
PULL_SECONDS = 1.0
# How often the plan for exchanging rows between routers is fitted to the numbers of
# routers and upstreams; it changes only slowly with these.
PLAN_SECONDS = 5.0
# A starting router waits this long for control before it asks its peers, and before it
# serves with the configuration of its data folder: both may be older than the one that
# it had in force.
CONTROL_WAIT_SECONDS = 3.0


@dataclasses.dataclass
class PeriodicTask:
    """A function to be called every ``seconds``."""

    seconds: float
    do: abc.Callable[[], None]
    due_at: float = 0.0


class Ticker:
    """Ticks the policy and runs the periodic tasks."""

    def __init__(self, router: process.Router):
        self._router = router
        self._levels: abc.Mapping[str, int] = {}
        self._sequence = 0
        self._started_at = router.env.clock.monotonic()
        self._woken: eventlet.Event | None = None
        self._tasks = (
            PeriodicTask(topology.POLL_SECONDS, self._send_rows),
            PeriodicTask(PLAN_SECONDS, self._plan_rows),
            PeriodicTask(0.5, make_lease_expirer(router)),
            PeriodicTask(1.0, lambda: router.claim_client.retry_reports()),
            PeriodicTask(PULL_SECONDS, self._pull_configuration),
        )

    @contextlib.contextmanager
    def run_in_background(self) -> abc.Iterator[None]:
        """Run the ticker in a greenlet of its own while the block runs.

        Raises ``InvariantBroken`` in the greenlet of the block when the ticker fails:
        without it lease expiry, retries and refusals would silently stop.
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
        """Switch to the busy rate: a request has arrived."""
        if self._woken is not None:
            woken, self._woken = self._woken, None
            woken.send()

    def report_pressure(self, levels: abc.Mapping[str, int]) -> None:
        """Send pressure levels to the neighbours.

        The policy repeats the report while there is pressure.
        """
        router = self._router
        if levels != self._levels:
            self._levels = dict(levels)
            router.journal.write(events.routing.PRESSURE, levels=self._levels)
        self._sequence += 1
        message = messages.Pressure(router.settings.name, self._sequence, self._levels)
        for name in router.list_neighbours():
            router.mesh.send(name, message)

    def _run(self) -> None:
        while True:
            self._sleep()
            self._router.dispatcher.tick()
            now = self._router.env.clock.monotonic()
            for task in self._tasks:
                if now >= task.due_at:
                    task.due_at = now + task.seconds
                    task.do()

    def _sleep(self) -> None:
        if self._router.dispatcher.is_busy:
            eventlet.sleep(BUSY_TICK_SECONDS)
            return
        self._woken = eventlet.Event()
        with eventlet.Timeout(IDLE_TICK_SECONDS, False):
            self._woken.wait()
        self._woken = None

    def _send_rows(self) -> None:
        self._router.members.send_updates(self._router.list_neighbours())

    def _plan_rows(self) -> None:
        router = self._router
        router.members.set_peers(router.list_routers())

    def _pull_configuration(self) -> None:
        router = self._router
        pull = messages.ConfigurationPull(router.agreed.version)
        router.controls.send(pull)
        now = router.env.clock.monotonic()
        if now < self._started_at + CONTROL_WAIT_SECONDS:
            return
        if router.agreed.is_cut_off(now):
            for name in router.list_neighbours():
                router.mesh.send(name, pull)
        if router.agreed.version:
            router.agreed.known = True


def make_lease_expirer(router: process.Router) -> abc.Callable[[], None]:
    """Return the task that records expired leases."""
    return lambda: router.members.expire()
