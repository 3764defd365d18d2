"""The gateway's exchange with the scheduler: queries, notes, and whether it answers.

The scheduler is the directory that places the requests of all gateways.
"""

import itertools
from collections import abc

import eventlet
import eventlet.event

from trestlestall.daemon import call_tokens, events, placement_protocol
from trestlestall.daemon.gateway import (
    cached_view,
    reachability,
    scheduler_health,
    tasks,
)
from trestlestall.forwarding import descriptors
from trestlestall.wire import clocks, directory_messages

Send = abc.Callable[[str, object], bool]


class SchedulerClient:
    """Queries the scheduler and notifies it; ``send`` is set once there are links.

    ``on_scheduler_changed`` is called when the scheduler may know nothing of this
    gateway, because it is another directory or has a new link. ``choose_scheduler`` is
    called when the scheduler is unresponsive.
    """

    def __init__(
        self,
        view: cached_view.CachedView,
        prober: reachability.Prober,
        in_flight: tasks.Tasks,
    ) -> None:
        self.send: Send = drop_message
        self.on_scheduler_changed: abc.Callable[[], object] = lambda: None
        self.choose_scheduler: abc.Callable[[], object] = lambda: None
        self._view = view
        self._prober = prober
        self._tasks = in_flight
        self._scheduler: str | None = None
        self._health = scheduler_health.SchedulerHealth()
        self._answered_at = float("-inf")
        self._avoided: dict[str, float] = {}
        self._tokens = itertools.count(call_tokens.draw_first())
        self._waiting: dict[int, eventlet.event.Event] = {}

    def set_scheduler(self, directory: str) -> None:
        """Query this directory from now on, and send it the requests in flight."""
        if directory == self._scheduler:
            return
        previous, self._scheduler = self._scheduler, directory
        self._health = scheduler_health.SchedulerHealth()
        self._send_state()
        self._view.log.write(
            events.forwarding.SCHEDULER_CHANGED,
            arbiter=directory,
            previous=previous,
            tasks=len(self._tasks),
        )

    @property
    def scheduler(self) -> str | None:
        """The directory that places requests; None before one is linked."""
        return self._scheduler

    def is_avoided(self, directory: str) -> bool:
        """Return whether the directory was unresponsive too recently to be queried."""
        return clocks.read() < self._avoided.get(directory, 0.0)

    def count_silent_seconds(self) -> float:
        """Return for how long no directory has answered, while this process ran."""
        return clocks.read_running() - self._answered_at

    def resend_state(self, directory: str) -> None:
        """Send the requests in flight if the new link leads to the scheduler."""
        if directory == self._scheduler:
            self._send_state()

    def handle_answer(self, answer: directory_messages.PlaceAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        self._health.record_answered()
        self._answered_at = clocks.read_running()
        waiting = self._waiting.pop(answer.token, None)
        if waiting is not None:
            waiting.send(answer)

    def send_message(self, message: object) -> None:
        """Send a message to the scheduler, if there is one."""
        if self._scheduler is not None:
            self.send(self._scheduler, message)

    def query(
        self,
        descriptor: descriptors.Descriptor,
        tried: abc.Collection[str],
        purpose: str,
    ) -> directory_messages.PlaceAnswer | None:
        """Return the scheduler's answer to a request; None if none came in time."""
        if self._scheduler is None or not self._health.may_be_queried(
            clocks.read_running()
        ):
            return None
        token = next(self._tokens)
        waiting = self._waiting[token] = eventlet.event.Event()
        plain = tuple(descriptors.encode(descriptor))
        avoided = tuple({*tried, *self._prober.unreachable})
        backing_off = tuple(self._view.backoffs.list_backing_off(clocks.read()))
        call = directory_messages.PlaceCall(token, plain, avoided, purpose, backing_off)
        if not self.send(self._scheduler, call):
            del self._waiting[token]
            return None
        seconds = scheduler_health.compute_wait_timeout(descriptor)
        self._health.record_query(clocks.read_running())
        with eventlet.Timeout(seconds, False):
            return waiting.wait()
        self._waiting.pop(token, None)
        self._record_timeout(descriptor, seconds)
        return None

    def withdraw(self, descriptor: descriptors.Descriptor) -> None:
        """Notify the scheduler that the request is not sent to its choice."""
        request = descriptor.request_id
        self.send_message(directory_messages.PlaceWithdrawn(request))
        self.send_note(descriptor, placement_protocol.INCONCLUSIVE)

    def send_note(
        self,
        descriptor: descriptors.Descriptor,
        kind: str,
        pause: float = 0.0,
        start: tuple = (),
    ) -> None:
        """Notify the scheduler of a request's progress or end; see ``PlaceNote``."""
        note = directory_messages.PlaceNote(descriptor.request_id, kind, pause, start)
        self.send_message(note)

    def _record_timeout(
        self, descriptor: descriptors.Descriptor, seconds: float
    ) -> None:
        """Pause queries to the scheduler, which may have counted the request."""
        is_unresponsive = self._health.record_timeout(clocks.read_running())
        self.withdraw(descriptor)
        self._view.log.write(
            events.forwarding.SCHEDULER_UNRESPONSIVE,
            arbiter=self._scheduler,
            seconds=round(seconds, 3),
        )
        if is_unresponsive:
            until = clocks.read() + scheduler_health.AVOIDANCE_SECONDS
            self._avoided[self._scheduler] = until
            self.choose_scheduler()

    def _send_state(self) -> None:
        if self._scheduler is not None:
            rows = self._tasks.encode(clocks.read())
            self.send(self._scheduler, directory_messages.PlaceState(rows))
            self.on_scheduler_changed()


def drop_message(name: str, message: object) -> bool:
    """Drop a message because there are no links yet."""
    return False
