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
    trestlestalld - carry language-model traffic by class, tier and target

SYNOPSIS
    trestlestalld router --settings FILE
    trestlestalld control --settings FILE
    trestlestalld gateway --settings FILE
    trestlestalld directory --settings FILE
    trestlestalld check-settings FILE
    trestlestalld --help

DESCRIPTION
    A router takes callers' requests and sends them to upstreams. It runs on every
    entry host and needs no disk. A control process is a voter of the agreed
    configuration. It runs on hosts with a data folder, beside a router or alone.
    A gateway forwards requests whose bodies it never reads, by a configuration that
    operators declare as one document; it needs no disk. A directory keeps that
    configuration, hears of upstreams and helps gateways choose among them. All of them
    run in the foreground until they are told to stop.

COMMANDS
    router --settings FILE
        Run a router. SIGTERM is a planned stop: the router becomes unready, finishes
        what runs and exits 0. SIGINT does the same.
    control --settings FILE
        Run a control process. SIGTERM and SIGINT stop it; no other voter is needed
        for that.
    gateway --settings FILE
        Run a gateway. SIGTERM is a planned stop: it becomes unready, serves until the
        balancer has noticed, finishes what runs and exits 0. SIGHUP reads the settings
        again; a file that changes without it is read within some seconds.
    directory --settings FILE
        Run a directory. SIGTERM hands leadership over and exits 0; SIGHUP as above.
    check-settings FILE
        Check a settings file whole, and the files that it names, and start nothing.

FILES
    Settings are one JSON object; docs/settings.md lists every key. The secrets file
    that they name must have mode 0600. Paths are relative to the settings file.

OUTPUT
    Log lines go to the standard error stream as JSON, one numbered event a line;
    docs/EVENTS.md explains each number. Problems are plain lines there as well.
    Gateways and directories log to the standard output stream and never wait for its
    reader: lines that it does not take in time are dropped and counted.

EXIT STATUS
    0    the process stopped as planned, or the settings are right
    1    it failed while running; the last log lines say why
    2    the command line is wrong
    3    the settings are wrong; every problem is listed and nothing was started
    130  it was interrupted before it had started

EXAMPLE
    trestlestalld check-settings router.json && \\
        trestlestalld router --settings router.json
"""

ROLES: dict[str, abc.Callable] = {}


def register_role(role: str) -> abc.Callable:
    """Return a decorator that makes the function the one that runs a role."""

    def register(function: abc.Callable) -> abc.Callable:
        ROLES[role] = function
        return function

    return register


# Imported only when asked for: a router needs no disk, and a check needs neither.
@register_role("router")
def run_router(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a router until it is told to stop."""
    process = importlib.import_module("trestlestall.daemon.router.process")

    return process.Router(loaded, env).run()


@register_role("control")
def run_control(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a control process until it is told to stop."""
    process = importlib.import_module("trestlestall.daemon.control.process")

    return process.Control(loaded, env).run()


@register_role("gateway")
def run_gateway(loaded: typing.Any, env: environment.Environment) -> status.ExitStatus:
    """Run a gateway until it is told to stop."""
    process = importlib.import_module("trestlestall.daemon.gateway.process")

    return _run_reloadable(process.Gateway, loaded, env)


@register_role("directory")
def run_directory(
    loaded: typing.Any, env: environment.Environment
) -> status.ExitStatus:
    """Run a directory until it is told to stop."""
    process = importlib.import_module("trestlestall.daemon.directory.process")

    return _run_reloadable(process.Directory, loaded, env)


def _run_reloadable(
    process: type, loaded: typing.Any, env: environment.Environment
) -> status.ExitStatus:
    """Run a process whose log never blocks it and whose settings may change."""
    bounded = importlib.import_module("trestlestall.daemon.bounded")
    with bounded.open_stream(env.stdout.fileno()) as stream:
        logged = dataclasses.replace(env, stdout=stream)
        return process(loaded.settings, logged, source=loaded.source).run()


def main(args: abc.Sequence[str], env: environment.Environment) -> status.ExitStatus:
    """Carry out one command line, without the program's name, and return its status."""
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
    """Return the commands, bound to the environment."""

    def check_settings(file: str) -> status.ExitStatus:
        return checking.check_settings(file, PROGRAM, env)

    def make_runner(role: str) -> abc.Callable:
        def run(settings: str) -> status.ExitStatus:
            return _run_role(role, settings, env)

        return run

    table = {role: make_runner(role) for role in ROLES}
    return commands.Program(PROGRAM, {**table, "check-settings": check_settings})


def _run_role(role: str, file: str, env: environment.Environment) -> status.ExitStatus:
    """Load the settings and run the process that they describe."""
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
    """Settings, and where they are read again."""

    settings: settings.GatewaySettings | settings.DirectorySettings
    source: reloading.Source


def _reload(file: str, role: str) -> typing.Any:
    """Return the settings as they are now, or ``reloading.Unreadable``."""
    loaded = settings.load(file)
    if isinstance(loaded, list):
        return reloading.Unreadable("; ".join(map(str, loaded)))
    if loaded.role != role:
        return reloading.Unreadable(f'the role is "{loaded.role}" now')
    return loaded


def _log_settings(loaded: typing.Any, file: str, env: environment.Environment) -> None:
    """Log what the process was started with, its credentials left out."""
    log = logs.Log(env.stderr, env.clock, process=loaded.name)
    log.write(
        events.process.SETTINGS_READ,
        role=loaded.role,
        settings=file,
        listen={key: str(address) for key, address in vars(loaded.listen).items()},
        peers=[peer.name for peer in loaded.peers],
    )


def _complain(env: environment.Environment, message: str) -> None:
    """Write one plain line for people."""
    env.stderr.write(f"{PROGRAM}: {message}\n")
