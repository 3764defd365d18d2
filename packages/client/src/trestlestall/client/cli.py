"""The command line of ``trestlestall``, the operator's client."""

import dataclasses
import functools
import inspect
import json
import pathlib
import typing
from collections import abc

from trestlestall.client import (
    calls,
    losses,
    manual,
    reports,
    sessions,
    settings,
    status,
    tables,
    texts,
    timelines,
)
from trestlestall.daemon import checking, commands, environment

SWITCHES = frozenset({"--json", "--dry-run"})
COMMON_FLAGS = ("json", "settings", "servers", "key_file")
STANDARD_INPUT = "-"
HIGHEST_NUMBER = 2**63 - 1


@dataclasses.dataclass(frozen=True)
class Call:
    """The context of one command: its environment and the common flags."""

    env: environment.Environment
    flags: settings.Flags
    as_json: bool

    def carry_out(self, session: abc.Callable) -> int:
        """Run the session with a client and a report; return its exit status."""
        loaded = settings.load(self.flags)
        if isinstance(loaded, list):
            for problem in loaded:
                _write_error(self.env, f"client settings: {problem}")
            return status.ExitStatus.BAD_SETTINGS
        report = reports.REPORTS["json" if self.as_json else "people"](self.env)
        with calls.open_client(loaded) as client:
            return session(client, report)

    def refuse(self, message: str) -> int:
        """Write the message; return the exit status of a wrong command line."""
        _write_error(self.env, message)
        return status.ExitStatus.USAGE


COMMANDS: dict[str, abc.Callable] = {}


def register_command(name: str) -> abc.Callable:
    """Return a decorator that registers the function as a command of the program.

    The function takes a ``Call``, then the command's own arguments and flags, all as
    text. The common flags are added to those that the command line accepts.
    """

    def register(function: abc.Callable) -> abc.Callable:
        COMMANDS[name] = function
        return function

    return register


def main(args: abc.Sequence[str], env: environment.Environment) -> int:
    """Run one command line, given without the program's name; return its status."""
    if commands.asks_for_help(args):
        env.stdout.write(manual.MANUAL)
        return status.ExitStatus.OK
    table = {name: _add_flags(function, env) for name, function in COMMANDS.items()}
    try:
        found = commands.Program(reports.PROGRAM, table, SWITCHES).call(args)
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED
    if isinstance(found, commands.UsageError):
        _write_error(env, f"{found.message}; see {reports.PROGRAM} --help")
        return status.ExitStatus.USAGE
    return found


def _add_flags(function: abc.Callable, env: environment.Environment) -> abc.Callable:
    """Return the command wrapped for the command line, with the common flags."""

    @functools.wraps(function)
    def run(*args: str, **options: str) -> int:
        shared = {name: options.pop(name, None) for name in COMMON_FLAGS}
        as_json = shared.pop("json") is not None
        call = Call(env, settings.Flags(**shared), as_json)
        return function(call, *args, **options)

    _, *own = inspect.signature(function).parameters.values()
    kind = inspect.Parameter.KEYWORD_ONLY
    added = [inspect.Parameter(name, kind, default=None) for name in COMMON_FLAGS]
    run.__signature__ = inspect.Signature([*own, *added])
    return run


@register_command("command")
def run_command(
    call: Call,
    text: str | None = None,
    *,
    file: str | None = None,
    number: str | None = None,
    request_id: str | None = None,
    dry_run: str | None = None,
) -> int:
    """Send one command, or the commands of a file or pipe."""
    sources = _find_sources(call.env, text, file)
    if isinstance(sources, commands.UsageError):
        return call.refuse(sources.message)
    wanted = _read_number(number)
    if isinstance(wanted, commands.UsageError):
        return call.refuse(wanted.message)
    faults = texts.find_faults(sources, "command")
    for fault in faults:
        call.refuse(_name_line(fault))
    if faults:
        return status.ExitStatus.USAGE
    batch = sessions.Batch(
        sources=tuple(sources),
        request_id=request_id or sessions.make_request_id(call.env.random),
        number=wanted,
        dry_run=dry_run is not None,
    )
    return call.carry_out(functools.partial(sessions.send_commands, batch))


@register_command("query")
def run_query(call: Call, text: str) -> int:
    """Send one query and show its rows."""
    fault = texts.find_fault(texts.Source(text), "query")
    if fault:
        return call.refuse(fault.message)
    request_id = sessions.make_request_id(call.env.random)
    return call.carry_out(functools.partial(sessions.ask_query, text, request_id))


@register_command("explain")
def run_explain(call: Call, request: str, *, logs: str | None = None) -> int:
    """Show how one request was routed, from a server's records or from log files."""
    if logs is None:
        return run_query(call, f"explain request {request}")
    paths = [pathlib.Path(each) for each in logs.split(",")]
    try:
        timeline = timelines.build_timeline(request, paths)
    except OSError as error:
        return call.refuse(f"can't read {error.filename}: {error.strerror}")
    for line in timeline.lines:
        first = next(each.at for each in timeline.lines if "request" in each.fields)
        call.env.stdout.write(f"{timelines.format_line(line, first)}\n")
    if timeline.unreadable:
        _write_error(call.env, f"skipped {timeline.unreadable} unreadable lines")
    if not timeline.lines:
        _write_error(call.env, f"no line in {logs} is about request {request}")
        return status.ExitStatus.REJECTED
    return status.ExitStatus.OK


@register_command("lost")
def run_lost(call: Call, *, logs: str, by: str = "route") -> int:
    """Count late, refused and failed requests by their cause, from log files."""
    if by not in losses.KEYS:
        return call.refuse(f"--by takes one of {', '.join(losses.KEYS)}")
    paths = [pathlib.Path(each) for each in logs.split(",")]
    try:
        rows, unreadable = losses.count(paths, by)
    except OSError as error:
        return call.refuse(f"can't read {error.filename}: {error.strerror}")
    if call.as_json:
        call.env.stdout.writelines(f"{json.dumps(row)}\n" for row in rows)
    else:
        call.env.stdout.write(tables.format_rows(rows))
    if unreadable:
        _write_error(call.env, f"skipped {unreadable} unreadable lines")
    return status.ExitStatus.OK


@register_command("status")
def run_status(call: Call) -> int:
    """Show the state of the system as one server sees it."""
    return call.carry_out(sessions.show_status)


@register_command("check-settings")
def run_check_settings(call: Call, file: str) -> int:
    """Check a daemon's settings file as the daemon does."""
    return checking.check_settings(file, reports.PROGRAM, call.env)


def _find_sources(
    env: environment.Environment, text: str | None, file: str | None
) -> list[texts.Source] | commands.UsageError:
    """Return the texts to send, read from the argument, the file or standard input."""
    if (text is None) == (file is None):
        return commands.UsageError("give a TEXT in quotes, or - or --file FILE")
    if text is not None and text != STANDARD_INPUT:
        return [texts.Source(text)]
    try:
        found = _read_file(env.stdin if text or file == STANDARD_INPUT else file)
    except OSError as error:
        return commands.UsageError(f"can't read {file}: {error.strerror}")
    except UnicodeDecodeError:
        return commands.UsageError("the commands must be UTF-8 text")
    return found or commands.UsageError("there is no command to send")


def _read_file(source: typing.TextIO | str) -> list[texts.Source]:
    """Return the texts in an open stream, or in the file at a path."""
    if not isinstance(source, str):
        return texts.read_sources(source)
    with open(source, encoding="utf-8") as stream:
        return texts.read_sources(stream)


def _read_number(number: str | None) -> int | None | commands.UsageError:
    """Return the version number for the first command, checked."""
    if number is None:
        return None
    if not (number.isascii() and number.isdigit()):
        return commands.UsageError(f"--number takes a whole number, not {number!r}")
    found = int(number)
    if not 1 <= found <= HIGHEST_NUMBER:
        return commands.UsageError("--number takes a version, 1 or above")
    return found


def _name_line(fault: texts.Fault) -> str:
    """Return the fault's message, prefixed by its line number in a file."""
    line = fault.source.line
    return f"line {line}: {fault.message}" if line else fault.message


def _write_error(env: environment.Environment, message: str) -> None:
    """Write one message to standard error."""
    env.stderr.write(f"{reports.PROGRAM}: {message}\n")
