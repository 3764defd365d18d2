"""Turn a command line into a call, with fire, for both binaries.

fire splits the line and fills the parameters of a function. What it does besides is
kept from users: it guesses types (``007`` would become 7), chains the rest of the line
onto results, takes ``-`` as a separator, lets a switch swallow the next argument, opens
a Python prompt after ``--`` and prints pages of usage for one wrong word. So every
argument is text, a command only says what is to be called, and an error is one line.
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
# fire takes a lone "-" for its separator unless it is given another word.
SEPARATOR = ["--", "--separator", "\x1f"]


@dataclasses.dataclass(frozen=True)
class UsageError:
    """The command line can't be understood; the message is one line."""

    message: str


class _Call:
    """What the line asks for. Its names are private, so that fire chains nothing."""

    __slots__ = ("_function", "_arguments")

    def __init__(self, function: abc.Callable, arguments: dict) -> None:
        self._function = function
        self._arguments = arguments


@dataclasses.dataclass(frozen=True)
class Program:
    """The commands of a binary by name.

    ``switches`` lists the flags that take no value, such as ``--json``. A parameter of
    a command is always text, ``"True"`` for a switch that is given.
    """

    name: str
    commands: abc.Mapping[str, abc.Callable]
    switches: frozenset[str] = frozenset()

    def call(self, args: abc.Sequence[str]) -> object | UsageError:
        """Return what the command returns, or why no command could be called."""
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
        """Return what is wrong with a flag: fire would read a lone one as True."""
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
        """Give a switch its value, so that fire doesn't take the next argument."""
        return f"{arg}=True" if arg in self.switches else arg

    def _parse(self, args: list[str]) -> _Call | UsageError:
        """Let fire fill the parameters, with its output kept back."""
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
    """Return whether the line is empty or holds a word that asks for help."""
    return not args or args[0] == "help" or bool(HELP_WORDS & set(args) - {"help"})


def _defer(function: abc.Callable) -> abc.Callable:
    """Return a function that fire can fill in, which only notes what to call."""

    @functools.wraps(function)
    def note(*args: str, **options: str) -> _Call:
        bound = inspect.signature(function).bind(*args, **options)
        return _Call(function, bound.arguments)

    return fire.decorators.SetParseFn(str)(note)


def _find_error(output: str) -> str:
    """Return fire's error without its usage pages, in the words of this program."""
    for start, message in FIRE_ERRORS.items():
        for line in output.splitlines():
            if line.startswith(start):
                return f"{message} {line.removeprefix(start)}"
    return "the arguments can't be understood"
