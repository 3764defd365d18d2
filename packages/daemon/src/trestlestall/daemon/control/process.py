"""The control process: opens its folder and listeners, and runs its server."""

import contextlib
import signal
import typing
from collections import abc

import eventlet
import eventlet.semaphore

from trestlestall.agreement import exceptions as agreement_exceptions
from trestlestall.daemon import (
    environment,
    event_loop,
    events,
    logs,
    metrics as process_metrics,
    settings as process_settings,
    status,
    suspensions,
)
from trestlestall.daemon.control import (
    endpoints,
    journal as journals,
    links as control_links,
    server as servers,
)
from trestlestall.daemon.http import application, limits, listener
from trestlestall.storage import exceptions as storage_exceptions, folder
from trestlestall.wire import exceptions as wire_exceptions

TICK_SECONDS = 0.1
HANDOVER_TIMEOUT_SECONDS = 1.0
ROLE = "control"
ExitStatus = status.ExitStatus


class Control:
    """A control process; ``run`` returns when it is stopped or on a fatal error."""

    def __init__(
        self, settings: process_settings.ControlSettings, env: environment.Environment
    ):
        self._settings = settings
        self._env = env
        self._log = logs.Log(env.stderr, env.clock, settings.name)
        self._metrics = process_metrics.Metrics()
        self._wakeups = eventlet.semaphore.Semaphore(0)
        self._stopping = False

    def run(self) -> ExitStatus:
        """Serve until SIGTERM or SIGINT."""
        self._log.write(
            events.process.STARTED, role=ROLE, data_centre=self._settings.data_centre
        )
        exit_status = self._run_and_log_errors()
        self._log.write(events.process.STOPPED, role=ROLE, status=int(exit_status))
        return exit_status

    def stop(self, *args: object) -> None:
        """Begin a planned stop; also the handler of the stop signals."""
        self._stopping = True

    def _run_and_log_errors(self) -> ExitStatus:
        try:
            self._serve()
        except storage_exceptions.StorageError as error:
            self._log.write(
                events.agreement.STORAGE_REFUSED,
                folder=self._settings.data_folder,
                reason=str(error),
            )
            return ExitStatus.ERROR
        except (wire_exceptions.ListenError, OSError) as error:
            self._log.write(events.process.ADDRESS_REFUSED, reason=str(error))
            return ExitStatus.ERROR
        except agreement_exceptions.AgreementError as error:
            self._log.write(
                events.process.INVARIANT_BROKEN, place="agreement", error=str(error)
            )
            return ExitStatus.ERROR
        return ExitStatus.OK

    def _serve(self) -> None:
        with contextlib.ExitStack() as stack:
            stack.enter_context(catch_signals(self.stop))
            stack.enter_context(suspensions.Monitor(self._log).open())
            data = stack.enter_context(
                folder.open_folder(
                    self._settings.data_folder, clock=self._env.clock.monotonic
                )
            )
            links = control_links.Links(self._settings)
            server = servers.Server(
                self._settings,
                self._env,
                self._log,
                journals.Journal(data),
                data.identity,
                links,
                self._wake,
            )
            server.report.log_recovery(data.load())
            stack.enter_context(
                links.open(server.handle_message, server.handle_link_change)
            )
            components = endpoints.Components(
                server,
                self._settings.secrets.operators,
                self._metrics,
                lambda: self._update_metrics(server, links),
            )
            for address, app in self._list_applications(components):
                stack.enter_context(listener.open_listener(str(address), app))
            self._log.write(events.process.READY, role=ROLE)
            self._turn_until_stopped(server, components)

    def _list_applications(
        self, components: endpoints.Components
    ) -> list[tuple[typing.Any, typing.Any]]:
        bounds = limits.Limits(
            body_bytes=self._settings.limits.body_bytes,
            header_bytes=self._settings.limits.header_bytes,
            read_seconds=self._settings.limits.read_seconds,
        )
        operators = application.Application(
            components, endpoints.OPERATORS, bounds, components.check_operator
        )
        platform = application.Application(components, endpoints.PLATFORM, bounds)
        listen = self._settings.listen
        return [(listen.operators, operators), (listen.platform, platform)]

    def _turn_until_stopped(
        self, server: servers.Server, components: endpoints.Components
    ) -> None:
        while not self._stopping:
            self._turn(server)
        components.stopping = True
        self._log.write(events.process.STOPPING, role=ROLE)
        server.hand_over()
        deadline = self._env.clock.monotonic() + HANDOVER_TIMEOUT_SECONDS
        while not server.is_idle and self._env.clock.monotonic() < deadline:
            self._turn(server)

    def _turn(self, server: servers.Server) -> None:
        """Wait for something to do, let the links queue all that arrived, and turn."""
        self._wakeups.acquire(timeout=TICK_SECONDS)
        event_loop.read_sockets()
        server.turn()

    def _wake(self) -> None:
        if self._wakeups.balance <= 0:
            self._wakeups.release()

    def _update_metrics(
        self, server: servers.Server, links: control_links.Links
    ) -> None:
        """Update the metrics; called when they are read, not in every turn."""
        self._metrics.links.set(len(links.linked()))
        self._metrics.update_link_bytes(links.bytes_sent, links.bytes_received)
        if server.voter is not None:
            self._metrics.leader.set(server.voter.leads)
            version = server.voter.machine.version
            self._metrics.configuration_version.set(version)


@contextlib.contextmanager
def catch_signals(handler: abc.Callable[..., None]) -> abc.Iterator[None]:
    """Call the handler on SIGTERM and SIGINT within the context."""
    former = {
        number: signal.signal(number, handler)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield
    finally:
        for number, previous in former.items():
            signal.signal(number, previous)
