"""The directory process: opens its folder and addresses, and runs its server."""

import contextlib

import eventlet
import eventlet.semaphore

from trestlestall.agreement import exceptions as agreement_exceptions
from trestlestall.daemon import (
    dialects,
    environment,
    event_loop,
    events,
    logs,
    reloading,
    settings as process_settings,
    signals,
    status,
)
from trestlestall.daemon.directory import (
    disks,
    endpoints,
    links as directory_links,
    server as servers,
)
from trestlestall.daemon.http import listener
from trestlestall.storage import exceptions as storage_exceptions
from trestlestall.wire import exceptions as wire_exceptions

ROLE = "directory"
TURN_INTERVAL_SECONDS = 0.05
#: Seconds that a planned stop waits at most for open calls and a new leader.
STOP_SECONDS = 2.0


class Directory:
    """A directory; ``run`` returns when it was stopped or failed."""

    def __init__(
        self,
        settings: process_settings.DirectorySettings,
        env: environment.Environment,
        dialect: dialects.Dialect = dialects.NATIVE,
        source: reloading.Source = reloading.FIXED,
    ) -> None:
        self._settings = settings
        self._env = env
        self._dialect = dialect
        self._source = source
        self._log = logs.Log(env.stdout, env.clock, settings.name)
        self._work_ready = eventlet.semaphore.Semaphore(0)
        self._stopping = False

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM or SIGINT."""
        self._log.write(
            events.process.STARTED, role=ROLE, data_centre=self._settings.data_centre
        )
        exit_status = self._run_guarded()
        self._log.write(events.process.STOPPED, role=ROLE, status=int(exit_status))
        return exit_status

    def _run_guarded(self) -> status.ExitStatus:
        try:
            self._serve()
        except storage_exceptions.StorageError as error:
            disks.log_refusal(self._log, self._settings.data_folder, error)
            return status.ExitStatus.ERROR
        except (wire_exceptions.ListenError, OSError) as error:
            self._log.write(events.process.ADDRESS_REFUSED, reason=str(error))
            return status.ExitStatus.ERROR
        except agreement_exceptions.AgreementError as error:
            self._log.write(
                events.process.INVARIANT_BROKEN, place="agreement", error=str(error)
            )
            return status.ExitStatus.ERROR
        return status.ExitStatus.OK

    def _serve(self) -> None:
        with contextlib.ExitStack() as stack:
            stop = stack.enter_context(signals.catch_stop())
            links = directory_links.Links(self._settings)
            server = servers.Server(
                self._settings, self._env, self._log, links, self._dialect, self._wake
            )
            stack.enter_context(server.suspensions.open())
            disk = stack.enter_context(
                disks.hold(self._settings.data_folder, server, self._log)
            )
            stack.enter_context(
                links.open(server.handle_message, server.handle_link_change)
            )
            components = endpoints.Components(
                server, self._dialect, self._log, self._settings
            )
            address = str(self._settings.listen.service)
            served_application = components.build_application()
            stack.enter_context(
                listener.open_listener(
                    address, served_application, served_application.limits
                )
            )
            stack.enter_context(
                reloading.watch(self._source, stop, self._log, server.apply_settings)
            )
            eventlet.spawn(self._wait_for_stop, stop)
            self._log.write(events.process.READY, role=ROLE)
            self._turn_until_stopped(server, components, disk)

    def _wait_for_stop(self, stop: signals.SignalWaiter) -> None:
        stop.wait()
        self._stopping = True
        self._wake()

    def _turn_until_stopped(
        self, server: servers.Server, components: endpoints.Components, disk: disks.Disk
    ) -> None:
        while not self._stopping:
            self._turn(disk)
        components.stopping = True
        self._log.write(events.process.STOPPING, role=ROLE)
        server.hand_over()
        deadline = self._env.clock.monotonic() + STOP_SECONDS
        while not server.is_idle and self._env.clock.monotonic() < deadline:
            self._turn(disk)

    def _turn(self, disk: disks.Disk) -> None:
        """Wait for work, let other green threads queue what arrived, and run a turn."""
        self._work_ready.acquire(timeout=TURN_INTERVAL_SECONDS)
        event_loop.read_sockets()
        disk.turn(self._env.clock.monotonic())

    def _wake(self) -> None:
        if self._work_ready.balance <= 0:
            self._work_ready.release()
