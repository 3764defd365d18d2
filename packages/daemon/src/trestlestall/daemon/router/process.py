"""The router process: its components, listeners and loops, and its planned stop."""

import contextlib
import math

import eventlet

from trestlestall.configuration import model
from trestlestall.daemon import (
    environment,
    events,
    exceptions,
    logs,
    metrics as daemon_metrics,
    settings as daemon_settings,
    signals,
    status,
    suspensions,
)
from trestlestall.daemon.http import errors, listener
from trestlestall.daemon.router import (
    agreed,
    cache,
    calls,
    claims,
    controls,
    dispatcher,
    exchanges,
    gatekeeping,
    journal,
    listeners,
    lookups,
    members,
    operators,
    peers,
    reports,
    ticker,
    views,
)
from trestlestall.membership import pressure, table
from trestlestall.policy import router_policy, settings as policy_settings
from trestlestall.wire import exceptions as wire_exceptions, links, messages

# A stopping router accepts connections until the balancer has seen that it is unready.
UNREADY_GRACE_SECONDS = 1.0
# A stop waits at most this long for control to acknowledge finished claims.
ACKNOWLEDGE_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.02


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
        self.agreed = agreed.AgreedConfiguration(self._apply_configuration)
        self.board = pressure.PressureTracker()
        self.stopping = False
        self._build_links()
        self._build_components()
        self.gatekeeping = gatekeeping.Gatekeeping(self)
        cached = cache.load(settings.data_folder)
        if cached is not None:
            self.agreed.apply_cached(cached.get("version", 0), cached)
        self.submissions = operators.Submissions()
        self.ticker = ticker.Ticker(self)
        self.reports = reports.Reports(self.metrics, self.journal, env.clock)

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM or SIGINT, finish the running requests, and return."""
        with contextlib.ExitStack() as stack:
            stop = stack.enter_context(signals.catch_stop())
            try:
                served = self._open(stack)
            except (OSError, wire_exceptions.WireError) as error:
                self.journal.write(events.process.ADDRESS_REFUSED, reason=str(error))
                return status.ExitStatus.ERROR
            try:
                stop.wait()
                cut_off = self._stop(served, stop)
            except exceptions.InvariantBroken as error:
                self.journal.write(
                    events.process.INVARIANT_BROKEN,
                    place=error.place,
                    error=str(error.__cause__),
                    traceback=error.traceback,
                )
                return status.ExitStatus.ERROR
        self.journal.write(
            events.process.STOPPED, role="router", status=0, cut_off=cut_off
        )
        return status.ExitStatus.OK

    # For requests of callers.

    def make_exchange(
        self,
        call: calls.Call,
        workspace: model.Workspace,
        request_class: model.RequestClass,
        key: str,
    ) -> exchanges.Exchange:
        """Return the exchange of a request that has passed its checks.

        The arrival is recorded, and the ticker switches to its busy rate.
        """
        identity = f"{self.settings.name}-{self.env.random.getrandbits(64):016x}"
        now = self.env.clock.monotonic()
        exchange = exchanges.Exchange(identity, call, workspace, request_class, now)
        exchange.claim_key = key
        self.reports.record_arrival(exchange)
        self.ticker.wake()
        return exchange

    def check_capacity(self) -> errors.Failure | None:
        """Return a refusal if as many streams are open as the settings allow."""
        if len(self.dispatcher.exchanges) < self.settings.limits.streams:
            return None
        message = "This router carries as many requests as it may."
        return errors.Failure("too_many_streams", message)

    # For messages of other processes.

    def acknowledge_configuration(
        self, sender: str, version: int, result: agreed.Result
    ) -> None:
        """Acknowledge a configuration message; ``version`` is the sender's version."""
        if sender not in self.controls.names or isinstance(result, agreed.Unreadable):
            return
        own = self.agreed.version
        if version >= own and not isinstance(result, agreed.Gap):
            self.agreed.record_confirmation(self.env.clock.monotonic())
        self.mesh.send(sender, messages.ConfigurationAck(self.settings.name, own))

    def list_neighbours(self) -> list[str]:
        """Return the linked routers of this data centre."""
        return [
            name
            for name, link in self.mesh.links.items()
            if link.peer.role == "router"
            and link.peer.data_centre == self.settings.data_centre
        ]

    def list_routers(self) -> list[str]:
        """Return the other routers of this data centre, linked or not."""
        listed = [
            peer.name
            for peer in self.settings.peers
            if peer.role == "router" and peer.data_centre == self.settings.data_centre
        ]
        return sorted({*listed, *self.list_neighbours()})

    # Components.

    def _build_links(self) -> None:
        settings = self.settings
        listed = [
            links.Peer(peer.name, peer.role, peer.data_centre, str(peer.address))
            for peer in settings.peers
        ]
        self.mesh = links.Mesh(
            settings.name,
            "router",
            settings.data_centre,
            settings.secrets.peers,
            str(settings.listen.peers),
            listed,
            lambda sender, message: peers.handle(self, sender, message),
            self._handle_link_change,
        )
        names = [peer.name for peer in settings.peers if peer.role == "control"]
        self.controls = controls.Controls(names, self.mesh.send)

    def _build_components(self) -> None:
        settings, clock = self.settings, self.env.clock
        members_table = table.Table(settings.data_centre)
        self.views = views.Views(members_table, self.board)
        self.members = members.Members(
            settings.name,
            members_table,
            self.views,
            clock,
            self.journal,
            self.mesh.send,
        )
        self.claim_client = claims.ClaimClient(
            settings.name,
            self.controls.send,
            clock.running,
            self.journal,
            self.metrics,
        )
        self.lookups = lookups.Lookups(self.controls.send, self.controls.clear_leader)
        self.dispatcher = dispatcher.Dispatcher(
            policy=router_policy.Policy(
                self.env.random.getrandbits(32),
                policy_settings.Settings(
                    router=self._make_attempt_prefix(),
                    # The claim client ends each claim, and knows why.
                    claim_timeout=math.inf,
                ),
            ),
            views=self.views,
            clock=clock,
            journal=self.journal,
            metrics=self.metrics,
            claim_client=self.claim_client,
            lookups=self.lookups,
            on_refused_connection=self.members.suspect,
            on_backoff=self.members.back_off,
            on_pressure=lambda levels: self.ticker.report_pressure(levels),
        )
        self.claim_client.answered = self.dispatcher.claim_answered
        self.claim_client.on_timeout = self.controls.clear_leader
        self.claim_client.is_cut_off = self._is_cut_off_from_control

    def _is_cut_off_from_control(self) -> bool:
        """Return whether at most half of the control processes are linked."""
        linked = self.controls.names & self.mesh.linked()
        return 2 * len(linked) <= len(self.controls.names)

    def _make_attempt_prefix(self) -> str:
        """Return a prefix that is unique to this start of the router."""
        return f"{self.settings.name}-{self.env.random.getrandbits(40):010x}"

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        self.views.drained = configuration.drained
        self.views.invalidate()
        if self.settings.data_folder is not None:
            cache.save(self.settings.data_folder, self.agreed.encode())

    def _handle_link_change(self, name: str, linked: bool) -> None:
        if linked:
            self.journal.write(events.links.UP, peer=name)
            self.members.resync_peer(name)
            # At once: leases that the peer knew before a partition may expire before
            # the next periodic update.
            self.members.send_updates(self.list_neighbours())
            if name in self.controls.names:
                pull = messages.ConfigurationPull(self.agreed.version)
                self.mesh.send(name, pull)
        else:
            self.controls.clear_leader(name)
            if not self.stopping:
                self.journal.write(events.links.DOWN, peer=name)
        self.views.routers = 1 + len(self.list_neighbours())

    # Listeners and loops.

    def _open(self, stack: contextlib.ExitStack) -> listener.Listener:
        settings = self.settings
        self.journal.write(
            events.process.STARTED, role="router", data_centre=settings.data_centre
        )
        stack.enter_context(suspensions.Monitor(self.journal).open())
        self.mesh.start()
        stack.callback(self.mesh.stop)
        opened = stack.enter_context(listeners.open_all(self))
        stack.enter_context(self.ticker.run_in_background())
        addresses = {name: door.address for name, door in opened.items()}
        self.journal.write(
            events.process.READY,
            role="router",
            configuration=self.agreed.version,
            listen={**addresses, "peers": self.mesh.address},
        )
        return opened["callers"]

    # The planned stop.

    def _stop(self, served: listener.Listener, stop: signals.SignalWaiter) -> int:
        """Finish the running requests; return how many a second signal cut off."""
        self.stopping = True
        running = len(self.dispatcher.exchanges)
        self.journal.write(events.process.STOPPING, role="router", running=running)
        served.disable_keep_alive()
        finishing = eventlet.spawn(self._finish, served)
        second = eventlet.spawn(lambda: (stop.wait(), finishing.kill()))
        with contextlib.suppress(eventlet.greenlet.GreenletExit):
            finishing.wait()
        second.kill()
        return len(self.dispatcher.exchanges)

    def _finish(self, served: listener.Listener) -> None:
        eventlet.sleep(UNREADY_GRACE_SECONDS)
        served.stop_accepting()
        served.wait()
        while self.dispatcher.is_busy:
            eventlet.sleep(POLL_SECONDS)
        with eventlet.Timeout(ACKNOWLEDGE_TIMEOUT_SECONDS, False):
            while not self.claim_client.is_idle:
                eventlet.sleep(POLL_SECONDS)
