"""The command line of ``trestlestalld``."""

import dataclasses
import importlib
import typing
from collections import abc

from trestlestall.daemon import (
    checking,
    commands,
    environment,
    events,
    logs,
    reloading,
    settings,
    status,
)

PROGRAM = "trestlestalld"

MANUAL = """\
NAME
    trestlestalld - route language-model requests by class, tier and target

SYNOPSIS
    trestlestalld router --settings FILE
    trestlestalld control --settings FILE
    trestlestalld gateway --settings FILE
    trestlestalld directory --settings FILE
    trestlestalld check-settings FILE
    trestlestalld --help

DESCRIPTION
    A router receives callers' requests and sends them to upstreams. It runs on every
    entry host and needs no disk. A control process votes on the configuration, which
    a quorum agrees on. It runs on hosts with a data folder, beside a router or alone.
    A gateway forwards requests without reading their bodies, by a configuration that
    operators declare as one document; it needs no disk. A directory stores that
    configuration, receives upstreams' announcements and chooses upstreams for
    gateways. All of them run in the foreground until they receive a signal to stop.

COMMANDS
    router --settings FILE
        Run a router. SIGTERM is a planned stop: the router becomes unready, finishes
        running requests and exits 0. SIGINT does the same.
    control --settings FILE
        Run a control process. SIGTERM and SIGINT stop it, whether or not other voters
        can be reached.
    gateway --settings FILE
        Run a gateway. SIGTERM is a planned stop: it becomes unready, serves until the
        load balancer has had time to notice, finishes running requests and exits 0.
        SIGHUP reloads the settings; a changed file is also reloaded without it, within
        some seconds.
    directory --settings FILE
        Run a directory. SIGTERM hands leadership over and exits 0. SIGHUP reloads the
        settings, as for a gateway.
    check-settings FILE
        Check a settings file and the files that it names; start nothing.

FILES
    A settings file is one JSON object; docs/settings.md lists every key. The secrets
    file that it names must have mode 0600. Paths are relative to the settings file.

OUTPUT
    Log lines are written to standard error as JSON, one numbered event a line;
    docs/EVENTS.md explains each number. Error messages are plain lines there as well.
    Gateways and directories log to standard output and never wait for its reader:
    lines that it doesn't read in time are dropped and counted.

EXIT STATUS
    0    the process stopped as planned, or the settings are valid
    1    it failed while running; the last log lines say why
    2    the command line is wrong
    3    the settings are invalid; every problem is listed and nothing was started
    130  it was interrupted before it had started

EXAMPLE
    trestlestalld check-settings router.json && \\
        trestlestalld router --settings router.json
"""

ROLES: dict[str, abc.Callable] = {}


def register_role(role: str) -> abc.Callable:
    """Return a decorator that registers the function which runs a role."""

    def register(function: abc.Callable) -> abc.Callable:
        ROLES[role] = function
        return function

    return register


# Imported on demand: a router needs no code for disks, and a check needs no process.
@register_role("router")
def run_router(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a router until a stop signal."""
    process = importlib.import_module("trestlestall.daemon.router.process")

    return process.Router(loaded, env).run()


@register_role("control")
def run_control(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a control process until a stop signal."""
    process = importlib.import_module("trestlestall.daemon.control.process")

    return process.Control(loaded, env).run()


@register_role("gateway")
def run_gateway(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a gateway until a stop signal."""
    process = importlib.import_module("trestlestall.daemon.gateway.process")

    return _run_reloadable(process.Gateway, loaded, env)


@register_role("directory")
def run_directory(
    loaded: typing.Any, env: environment.Environment
) -> status.ExitStatus:
    """Run a directory until a stop signal."""
    process = importlib.import_module("trestlestall.daemon.directory.process")

    return _run_reloadable(process.Directory, loaded, env)


def _run_reloadable(
    process: type, loaded: typing.Any, env: environment.Environment
) -> status.ExitStatus:
    """Run a process whose log never blocks it and whose settings can be reloaded."""
    bounded = importlib.import_module("trestlestall.daemon.bounded")
    with bounded.open_stream(env.stdout.fileno()) as stream:
        logged = dataclasses.replace(env, stdout=stream)
        return process(loaded.settings, logged, source=loaded.source).run()


def main(args: abc.Sequence[str], env: environment.Environment) -> status.ExitStatus:
    """Run a command line, given without the program's name; return its exit status."""
    if commands.asks_for_help(args):
        env.stdout.write(MANUAL)
        return status.ExitStatus.OK
    try:
        found = _make_program(env).call(args)
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED
    if isinstance(found, commands.UsageError):
        _complain(env, f"{found.message}; see {PROGRAM} --help")
        return status.ExitStatus.USAGE
    return found


def _make_program(env: environment.Environment) -> commands.Program:
    """Return the program, its commands bound to the environment."""

    def check_settings(file: str) -> status.ExitStatus:
        return checking.check_settings(file, PROGRAM, env)

    def make_runner(role: str) -> abc.Callable:
        def run(settings: str) -> status.ExitStatus:
            return _run_role(role, settings, env)

        return run

    table = {role: make_runner(role) for role in ROLES}
    return commands.Program(PROGRAM, {**table, "check-settings": check_settings})


def _run_role(role: str, file: str, env: environment.Environment) -> status.ExitStatus:
    """Load the settings and run the process of the given role."""
    loaded = settings.load(file)
    if not isinstance(loaded, list) and loaded.role != role:
        message = f'is "{loaded.role}", but trestlestalld {role} was called'
        loaded = [settings.Problem("role", message)]
    if isinstance(loaded, list):
        return checking.refuse_settings(loaded, file, PROGRAM, env)
    if isinstance(loaded, settings.GatewaySettings | settings.DirectorySettings):
        source = reloading.Source(file, lambda: _reload(file, role))
        return ROLES[role](Reloadable(loaded, source), env)
    _log_settings(loaded, file, env)
    return ROLES[role](loaded, env)


@dataclasses.dataclass(frozen=True)
class Reloadable:
    """Settings, and the source that they are reloaded from."""

    settings: settings.GatewaySettings | settings.DirectorySettings
    source: reloading.Source


def _reload(file: str, role: str) -> typing.Any:
    """Return the current settings of the file, or ``reloading.Unreadable``."""
    loaded = settings.load(file)
    if isinstance(loaded, list):
        return reloading.Unreadable("; ".join(map(str, loaded)))
    if loaded.role != role:
        return reloading.Unreadable(f'the role is "{loaded.role}" now')
    return loaded


def _log_settings(loaded: typing.Any, file: str, env: environment.Environment) -> None:
    """Log the settings that the process starts with, without its credentials."""
    log = logs.Log(env.stderr, env.clock, process=loaded.name)
    log.write(
        events.process.SETTINGS_READ,
        role=loaded.role,
        settings=file,
        listen={key: str(address) for key, address in vars(loaded.listen).items()},
        peers=[peer.name for peer in loaded.peers],
    )


def _complain(env: environment.Environment, message: str) -> None:
    """Write one plain line to the error stream."""
    env.stderr.write(f"{PROGRAM}: {message}\n")
