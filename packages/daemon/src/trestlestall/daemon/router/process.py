"""The router process: its parts, its listeners, its loops, and its planned stop."""

import contextlib
import typing

import eventlet

from trestlestall.configuration import model
from trestlestall.daemon import (
    environment,
    events,
    logs,
    metrics as daemon_metrics,
    settings as daemon_settings,
    status,
)
from trestlestall.daemon.http import (
    application,
    credentials,
    errors,
    limits,
    listener,
    requests,
)
from trestlestall.daemon.router import (
    agreed,
    cache,
    callers,
    calls,
    claims,
    controls,
    dispatcher,
    exchanges,
    journal,
    members,
    operators,
    peers,
    platform,
    pulse,
    reports,
    signals,
    upstream_doors,
    views,
)
from trestlestall.membership import pressure, table
from trestlestall.policy import router_policy, settings as policy_settings
from trestlestall.wire import links, messages

# How long the balancer may take to see that the router is unready (seconds).
GRACE_SECONDS = 1.0
# How long a stop waits for control to acknowledge finished claims (seconds).
ACKNOWLEDGE_SECONDS = 5.0
POLL_SECONDS = 0.02
CONNECTIONS_PER_STREAM = 2


class Router:
    """One router; ``run`` serves until a planned stop and returns the exit status."""

    def __init__(
        self, settings: daemon_settings.RouterSettings, env: environment.Environment
    ):
        self.settings = settings
        self.env = env
        self.metrics = daemon_metrics.Metrics()
        log = logs.Log(env.stderr, env.clock, settings.name)
        self.journal = journal.Journal(log, env.clock)
        self.agreed = agreed.Agreed(self._apply_configuration)
        self.board = pressure.Board()
        self.stopping = False
        self._make_links()
        self._make_decisions()
        kept = cache.load(settings.data_folder)
        if kept is not None:
            self.agreed.take_cached(kept.get("version", 0), kept)
        self.submissions = operators.Submissions()
        self.pulse = pulse.Pulse(self)
        self.reports = reports.Reports(self.metrics, self.journal, env.clock)

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM or SIGINT, finish what runs, and return."""
        with contextlib.ExitStack() as stack:
            stop = stack.enter_context(signals.catch_stop())
            try:
                served = self._open(stack)
            except (OSError, links.exceptions.WireError) as error:
                self.journal.write(events.process.ADDRESS_REFUSED, reason=str(error))
                return status.ExitStatus.ERROR
            stop.wait()
            self._stop(served, stop)
        return status.ExitStatus.OK

    # What callers' requests need.

    def make_exchange(
        self,
        call: calls.Call,
        workspace: model.Workspace,
        request_class: model.RequestClass,
    ) -> exchanges.Exchange:
        """Return the exchange of a request that has passed its checks."""
        identity = f"{self.settings.name}-{self.env.random.getrandbits(64):016x}"
        now = self.env.clock.monotonic()
        exchange = exchanges.Exchange(identity, call, workspace, request_class, now)
        self.reports.note_arrival(exchange)
        self.pulse.wake()
        return exchange

    def check_room(self) -> errors.Failure | None:
        """Return a refusal when as many streams are open as the settings allow."""
        if len(self.dispatcher.exchanges) < self.settings.limits.streams:
            return None
        message = "This router carries as many requests as it may."
        return errors.Failure("too_many_streams", message)

    # What the links bring.

    def note_configuration(
        self, sender: str, version: int, result: agreed.Result
    ) -> None:
        """Acknowledge what a control process sent; ``version`` is the one it knows."""
        if sender not in self.controls.names or isinstance(result, agreed.Unreadable):
            return
        own = self.agreed.version
        if version >= own and not isinstance(result, agreed.Gap):
            self.agreed.note_control(self.env.clock.monotonic())
        self.mesh.send(sender, messages.ConfigurationAck(self.settings.name, own))

    def list_neighbours(self) -> list[str]:
        """Return the linked routers of this data centre."""
        return [
            name
            for name, link in self.mesh.links.items()
            if link.peer.role == "router"
            and link.peer.data_centre == self.settings.data_centre
        ]

    # What the platform and operators ask.

    def find_unready_reason(self) -> str | None:
        """Return why callers should not be sent here, or ``None``."""
        if self.stopping:
            return "The router is stopping."
        if not self.agreed.known:
            return "No configuration has been received yet."
        return None

    def describe_status(self) -> dict[str, typing.Any]:
        """Return the state of this router as plain values."""
        now = self.env.clock.monotonic()
        age = self.agreed.find_age(now)
        return {
            "name": self.settings.name,
            "role": "router",
            "data_centre": self.settings.data_centre,
            "version": self.agreed.version,
            "version_age_seconds": None if age is None else round(age, 3),
            "cut_off": self.agreed.is_cut_off(now),
            "ready": self.find_unready_reason() is None,
            "stopping": self.stopping,
            "requests": len(self.dispatcher.exchanges),
            "upstreams": len(self.members.table.list_live(now)),
            "links": sorted(self.mesh.linked()),
            "control_leader": self.controls.leader,
            "bytes_sent": self.mesh.bytes_sent,
            "bytes_received": self.mesh.bytes_received,
        }

    def refresh_metrics(self) -> None:
        """Bring the gauges up to this moment."""
        now = self.env.clock.monotonic()
        age = self.agreed.find_age(now)
        self.metrics.open_streams.set(len(self.dispatcher.exchanges))
        self.metrics.links.set(len(self.mesh.linked()))
        self.metrics.configuration_version.set(self.agreed.version)
        self.metrics.configuration_age.set(float("inf") if age is None else age)
        self.metrics.note_link_bytes(self.mesh.bytes_sent, self.mesh.bytes_received)

    # The parts.

    def _make_links(self) -> None:
        found = self.settings
        listed = [
            links.Peer(peer.name, peer.role, peer.data_centre, str(peer.address))
            for peer in found.peers
        ]
        self.mesh = links.Mesh(
            found.name,
            "router",
            found.data_centre,
            found.secrets.peers,
            str(found.listen.peers),
            listed,
            lambda sender, message: peers.handle(self, sender, message),
            self._note_link,
        )
        names = [peer.name for peer in found.peers if peer.role == "control"]
        self.controls = controls.Controls(names, self.mesh.send)

    def _make_decisions(self) -> None:
        found, clock = self.settings, self.env.clock
        known = table.Table(found.data_centre)
        self.views = views.Views(known, self.board)
        self.members = members.Members(
            found.name, known, self.views, clock, self.journal, self.mesh.send
        )
        self.desk = claims.Desk(
            found.name, self.controls.send, clock.monotonic, self.journal, self.metrics
        )
        self.dispatcher = dispatcher.Dispatcher(
            policy=router_policy.Policy(
                self.env.random.getrandbits(32),
                policy_settings.Settings(router=self._make_attempt_prefix()),
            ),
            views=self.views,
            clock=clock,
            journal=self.journal,
            metrics=self.metrics,
            desk=self.desk,
            on_refused_connection=self.members.fail,
            on_pressure=lambda levels: self.pulse.report_pressure(levels),
        )
        self.desk.answered = self.dispatcher.claim_answered

    def _make_attempt_prefix(self) -> str:
        """Return a prefix that no other start of this router has had."""
        return f"{self.settings.name}-{self.env.random.getrandbits(40):010x}"

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        self.views.drained = configuration.drained
        self.views.drop()
        cache.save(self.settings.data_folder, self.agreed.encode())

    def _note_link(self, name: str, linked: bool) -> None:
        if linked:
            self.journal.write(events.links.UP, peer=name)
            self.members.forget_peer(name)
            if name in self.controls.names:
                pull = messages.ConfigurationPull(self.agreed.version)
                self.mesh.send(name, pull)
        else:
            self.journal.write(events.links.DOWN, peer=name)
            self.controls.forget(name)
        self.views.routers = 1 + len(self.list_neighbours())

    # Listeners and loops.

    def _open(self, stack: contextlib.ExitStack) -> listener.Listener:
        found = self.settings
        self.journal.write(
            events.process.STARTED, role="router", data_centre=found.data_centre
        )
        self.mesh.start()
        stack.callback(self.mesh.stop)
        doors = {
            "callers": (callers.ROUTES, application.allow_all),
            "upstreams": (upstream_doors.ROUTES, self._check_upstream),
            "operators": (operators.ROUTES, self._check_operator),
            "platform": (platform.ROUTES, application.allow_all),
        }
        opened = {
            name: stack.enter_context(self._open_door(name, routes, check))
            for name, (routes, check) in doors.items()
        }
        stack.enter_context(self.pulse.beat())
        addresses = {name: door.address for name, door in opened.items()}
        self.journal.write(
            events.process.READY,
            role="router",
            configuration=self.agreed.version,
            listen={**addresses, "peers": self.mesh.address},
        )
        return opened["callers"]

    def _open_door(
        self, name: str, table_of_routes, check: application.Check
    ) -> contextlib.AbstractContextManager[listener.Listener]:
        found = self.settings.limits
        bounds = limits.Limits(
            body_bytes=found.body_bytes,
            header_bytes=found.header_bytes,
            read_seconds=found.read_seconds,
            connections=CONNECTIONS_PER_STREAM * found.streams,
        )
        report = self.reports.make_error_reporter(name)
        app = application.Application(self, table_of_routes, bounds, check, report)
        return listener.open_listener(
            str(getattr(self.settings.listen, name)), app, bounds
        )

    def _check_upstream(self, request: requests.Request) -> errors.Failure | None:
        return credentials.check_secret(
            request.headers, self.settings.secrets.upstreams
        )

    def _check_operator(self, request: requests.Request) -> errors.Failure | None:
        found = credentials.find_owner(request.headers, self.settings.secrets.operators)
        return found if isinstance(found, errors.Failure) else None

    # The planned stop.

    def _stop(self, served: listener.Listener, stop: signals.Stop) -> None:
        self.stopping = True
        running = len(self.dispatcher.exchanges)
        self.journal.write(events.process.STOPPING, role="router", running=running)
        served.close_kept()
        finishing = eventlet.spawn(self._finish, served)
        second = eventlet.spawn(lambda: (stop.wait(), finishing.kill()))
        with contextlib.suppress(eventlet.greenlet.GreenletExit):
            finishing.wait()
        second.kill()
        cut_off = len(self.dispatcher.exchanges)
        self.journal.write(
            events.process.STOPPED, role="router", status=0, cut_off=cut_off
        )

    def _finish(self, served: listener.Listener) -> None:
        eventlet.sleep(GRACE_SECONDS)
        served.stop_accepting()
        served.wait()
        while self.dispatcher.is_busy:
            eventlet.sleep(POLL_SECONDS)
        with eventlet.Timeout(ACKNOWLEDGE_SECONDS, False):
            while not self.desk.is_idle:
                eventlet.sleep(POLL_SECONDS)
