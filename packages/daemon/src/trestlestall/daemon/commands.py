"""Command-line parsing with fire, for both binaries.

fire splits the line and binds the arguments to the parameters of a function. Its other
features are disabled: it guesses types (``007`` would become 7), applies the rest of
the line to the result of a call, treats ``-`` as a separator, lets a switch consume the
next argument, opens a Python prompt after ``--`` and prints pages of usage for one
wrong word. So every argument stays text, fire only returns which function is to be
called, and an error is one line.
"""

import contextlib
import dataclasses
import functools
import inspect
import io
from collections import abc

import fire

HELP_WORDS = frozenset({"--help", "-h", "help"})
FIRE_ERRORS = {
    "ERROR: Could not consume arg: ": "unexpected argument",
    "ERROR: The function received no value for the required argument: ": "missing",
}
# fire treats a lone "-" as its separator unless another one is given.
SEPARATOR = ["--", "--separator", "\x1f"]


@dataclasses.dataclass(frozen=True)
class UsageError:
    """An invalid command line; the message is one line."""

    message: str


class _Call:
    """A function and its arguments.

    The attributes are private, so that fire can't apply further arguments to them.
    """

    __slots__ = ("_function", "_arguments")

    def __init__(self, function: abc.Callable, arguments: dict) -> None:
        self._function = function
        self._arguments = arguments


@dataclasses.dataclass(frozen=True)
class Program:
    """The commands of a binary, by name.

    ``switches`` lists the flags that take no value, such as ``--json``. Arguments of
    a command are always text; that of a switch which is given is ``"True"``.
    """

    name: str
    commands: abc.Mapping[str, abc.Callable]
    switches: frozenset[str] = frozenset()

    def call(self, args: abc.Sequence[str]) -> object | UsageError:
        """Run the command line; return the result of the command, or a usage error."""
        if args[0] not in self.commands:
            known = ", ".join(self.commands)
            return UsageError(f"no command {args[0]!r}; there are {known}")
        wrong = self._find_wrong_flag(args)
        if wrong:
            return UsageError(wrong)
        found = self._parse([self._spell_switch(arg) for arg in args])
        if not isinstance(found, _Call):
            return found
        return found._function(**found._arguments)

    def _find_wrong_flag(self, args: abc.Sequence[str]) -> str | None:
        """Return the error of an unknown flag or a missing value, or None.

        fire would set a flag without a value to True.
        """
        known = inspect.signature(self.commands[args[0]]).parameters
        following = [*args[1:], ""]
        for arg, value in zip(args, following, strict=True):
            flag, equals, given = arg.partition("=")
            if not _is_flag(flag):
                continue
            if flag.removeprefix("--").replace("-", "_") not in known:
                return f"{args[0]} has no flag {flag}"
            given = given if equals else value
            if flag not in self.switches and (not given or _is_flag(given)):
                return f"{flag} needs a value"
        return None

    def _spell_switch(self, arg: str) -> str:
        """Give a switch its value, so that fire doesn't consume the next argument."""
        return f"{arg}=True" if arg in self.switches else arg

    def _parse(self, args: list[str]) -> _Call | UsageError:
        """Let fire bind the arguments, with its output captured."""
        component = {name: _defer(found) for name, found in self.commands.items()}
        output = io.StringIO()
        quiet = contextlib.redirect_stderr(output), contextlib.redirect_stdout(output)
        try:
            with quiet[0], quiet[1]:
                found = fire.Fire(component, args + SEPARATOR, name=self.name)
        except fire.core.FireExit:
            return UsageError(_find_error(output.getvalue()))
        if not isinstance(found, _Call):
            return UsageError("too many arguments")
        return found


def _is_flag(arg: str) -> bool:
    """Return whether the argument is a flag; a lone "-" stands for standard input."""
    return arg.startswith("-") and arg != "-"


def asks_for_help(args: abc.Sequence[str]) -> bool:
    """Return whether the line is empty or contains a help word."""
    return not args or args[0] == "help" or bool(HELP_WORDS & set(args) - {"help"})


def _defer(function: abc.Callable) -> abc.Callable:
    """Return a function for fire to call, which returns the bound call unexecuted."""

    @functools.wraps(function)
    def bind(*args: str, **options: str) -> _Call:
        bound = inspect.signature(function).bind(*args, **options)
        return _Call(function, bound.arguments)

    return fire.decorators.SetParseFn(str)(bind)


def _find_error(output: str) -> str:
    """Return fire's error as one line of this program, without the usage pages."""
    for start, message in FIRE_ERRORS.items():
        for line in output.splitlines():
            if line.startswith(start):
                return f"{message} {line.removeprefix(start)}"
    return "invalid arguments"
