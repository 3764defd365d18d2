"""The gateway process: its listeners, its links and its graceful shutdown."""

import contextlib
import dataclasses
import socket
import typing
from collections import abc

import eventlet

from trestlestall.daemon import (
    dialects,
    environment,
    events,
    logs,
    reloading,
    settings as process_settings,
    signals,
    status,
    suspensions,
)
from trestlestall.daemon.gateway import (
    cached_view,
    caller_server,
    entrance,
    links as gateway_links,
    metrics as gateway_metrics,
    request_handler,
    tunnel_server,
    usage as gateway_usage,
)
from trestlestall.daemon.http import answers, application, limits, listener, routes
from trestlestall.duties import starts
from trestlestall.wire import clocks, exceptions as wire_exceptions

ROLE = "gateway"
#: Seconds after a stop signal in which new connections are still served. The load
#: balancer notices after two failed health checks, a second apart.
BALANCER_NOTICE_SECONDS = 2.5
#: Seconds after a stop signal for which a gateway without connections keeps running.
LINGER_SECONDS = 3.5
#: Seconds before the end of the grace period at which running requests are aborted.
KILL_MARGIN_SECONDS = 0.5
TICK_SECONDS = 0.05
SWEEP_SECONDS = 1.0
#: The load balancer and the metrics scraper open few connections.
PLATFORM_LIMITS = limits.Limits(connections=100)
UNREADY = 503
READY = 200


class Gateway:
    """A gateway; ``run`` returns once it was stopped or has failed to start.

    ``accepting`` is the listening socket for callers if it is open already (see
    ``entrance``).
    """

    def __init__(
        self,
        settings: process_settings.GatewaySettings,
        env: environment.Environment,
        dialect: dialects.Dialect = dialects.NATIVE,
        source: reloading.Source = reloading.FIXED,
        accepting: socket.socket | None = None,
    ) -> None:
        self._accepting = accepting
        self._settings = settings
        self._dialect = dialect
        self._source = source
        self._output = env.stdout
        self._log = logs.Log(env.stdout, env.clock, settings.name)
        self.view = cached_view.CachedView(dialect, self._log)
        self._metrics = gateway_metrics.Metrics()
        source = starts.name_source(settings.name, env.clock.wall())
        self._usage = gateway_usage.Usage(settings.duties, source, env.clock.wall)
        self.handler = request_handler.RequestHandler(
            settings, dialect, self.view, self._metrics, self._usage
        )
        self._links = gateway_links.Links(
            settings,
            self.view,
            self._log,
            self.handler.placing,
            self.handler.crash_detector,
            self.handler.signals,
            self._usage,
            self.handler.peers,
            self.handler.origins,
            self.handler.questions,
        )
        self._tunnels = tunnel_server.TunnelServer(
            settings, self.view, self.handler.prober, self._metrics
        )
        self._suspensions = suspensions.Monitor(self._log)
        self._callers = caller_server.CallerServer(self.handler, dialect, self._log)
        self._stopping = False

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM or SIGINT."""
        self._log.write(
            events.process.STARTED, role=ROLE, data_centre=self._settings.data_centre
        )
        exit_status = self._run_guarded()
        self._log.write(
            events.process.STOPPED,
            role=ROLE,
            status=int(exit_status),
            cut_off=self._callers.count_running(),
        )
        return exit_status

    def _run_guarded(self) -> status.ExitStatus:
        try:
            with signals.catch_stop() as stop, self.open():
                with reloading.watch(
                    self._source, stop, self._log, self._apply_settings
                ):
                    stop.wait()
                    self._stop()
        except (wire_exceptions.ListenError, OSError) as error:
            self._log.write(events.process.ADDRESS_REFUSED, reason=str(error))
            return status.ExitStatus.ERROR
        return status.ExitStatus.OK

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Serve during the block.

        Raises ``ListenError`` or ``OSError`` if an address can't be listened on.
        """
        settings = self._settings
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._suspensions.open())
            stack.enter_context(self._links.open())
            stack.enter_context(self._tunnels.open())
            stack.enter_context(self.handler.prober.watch())
            app = self._build_application()
            address = str(settings.listen.platform)
            stack.enter_context(listener.open_listener(address, app, PLATFORM_LIMITS))
            stack.enter_context(self._serve_callers())
            stack.callback(eventlet.spawn(self._sweep).kill)
            stack.callback(eventlet.spawn(self._usage.run).kill)
            stack.callback(eventlet.spawn(self._usage.run_copying).kill)
            self._log.write(events.process.READY, role=ROLE)
            yield

    # Connections of callers.

    @contextlib.contextmanager
    def _serve_callers(self) -> abc.Iterator[None]:
        with contextlib.ExitStack() as stack:
            accepting = self._accepting
            if accepting is None:
                opened = entrance.open_caller_listener(self._settings)
                accepting = stack.enter_context(opened)
            stack.callback(eventlet.spawn(self._callers.accept, accepting).kill)
            yield

    # Endpoints for the load balancer and the metrics scraper.

    def _build_application(self) -> application.Application:
        table = routes.Routes()
        table.register("GET", self._dialect.paths.ready)(Gateway.show_readiness)
        table.register("GET", self._dialect.paths.metrics)(Gateway.show_metrics)
        return application.Application(self, table)

    def show_readiness(self, request: typing.Any) -> answers.Answer:
        """Respond with whether the gateway accepts new connections."""
        ready = self.view.is_complete() and not self._stopping
        return answers.build_json({"ready": ready}, READY if ready else UNREADY)

    def show_metrics(self, request: typing.Any) -> answers.Answer:
        """Update the gauges, and respond with all metrics."""
        metrics = self._metrics
        metrics.declaration_version.set(self.view.version)
        metrics.upstreams.set(len(self.view.table.rows))
        metrics.links.set(len(self._links.mesh.linked()))
        metrics.quarantined.set(self.view.count_quarantined())
        metrics.held_parts.set(self.view.count_held_parts())
        now = clocks.read()
        metrics.rate_limited.set(len(self.view.advertised_limits.list_limited()))
        metrics.backing_off.set(len(self.view.backoffs.list_backing_off(now)))
        metrics.unreachable.set(len(self.handler.prober.unreachable))
        metrics.tunnels.set(self.handler.peers.tunnels_open)
        metrics.suspended_seconds.set(self._suspensions.seconds)
        metrics.connections_opened.set(self.handler.pool.opened)
        metrics.dropped_log_lines.set(getattr(self._output, "dropped", 0))
        return answers.Answer(READY, metrics.render(), gateway_metrics.CONTENT_TYPE)

    # Settings, upkeep and shutdown.

    def _apply_settings(self, settings: process_settings.GatewaySettings) -> None:
        """Apply those settings that may change while the process runs."""
        self._links.add_directories(map(str, settings.directories))
        self.handler.settings = dataclasses.replace(
            self._settings,
            retries=settings.retries,
            grace_seconds=settings.grace_seconds,
        )
        self._settings = self.handler.settings

    def _sweep(self) -> None:
        """Periodically close idle connections that can no longer be reused."""
        while True:
            eventlet.sleep(SWEEP_SECONDS)
            self.handler.pool.close_stale()

    def _stop(self) -> None:
        """Become unready, finish running requests, and close idle connections."""
        started = clocks.read()
        self._stopping = True
        deadline = started + self._settings.grace_seconds - KILL_MARGIN_SECONDS
        self.handler.stop_at = deadline
        self.handler.refuse_at = started + BALANCER_NOTICE_SECONDS
        self._log.write(
            events.process.STOPPING, role=ROLE, running=self._callers.count_running()
        )
        self._tunnels.stop()
        eventlet.sleep(BALANCER_NOTICE_SECONDS)
        self._callers.closing = True
        while clocks.read() < deadline and self._is_needed(started):
            for caller in list(self._callers.open):
                caller.closing = True
                caller.close_if_idle()
            eventlet.sleep(TICK_SECONDS)
        for caller in list(self._callers.open):
            caller.reset_if_unfinished()

    def _is_needed(self, started: float) -> bool:
        """Return whether callers or peers are connected, or callers may be."""
        return (
            bool(self._callers.open or self._tunnels.count)
            or clocks.read() < started + LINGER_SECONDS
        )
