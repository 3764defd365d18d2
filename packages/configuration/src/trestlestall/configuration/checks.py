"""Checks of a command's own values, before it meets any configuration.

A registry maps each command class to the check of its values. The first problem found
is returned with the name of the field at fault, so that the language can point at the
word.
"""

import dataclasses
import re
import typing
from collections import abc

from trestlestall.configuration import commands, model

TIER_LIMIT = 63
FLOOR_SUM_LIMIT = 0.5
SECONDS_LIMIT = 86_400.0
WEIGHT_LIMIT = 1_000_000.0
COPIES_LIMIT = 1_000
NAME_LIMIT = 128
# Classes that one binding names, its own and the alternatives together.
BINDING_CLASSES_LIMIT = 16
IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:/@+-]*")
DIGEST = re.compile(r"[0-9a-f]{64}")
INVALID_VALUE = "invalid_value"

LENGTH_EXPECTED = f"at most {NAME_LIMIT} long"
IDENTIFIER_EXPECTED = f"a name of letters, digits, '_', '.', '-', {LENGTH_EXPECTED}"
NAME_EXPECTED = f"a name of letters, digits and '_.:/@+-', {LENGTH_EXPECTED}"
MODEL_EXPECTED = f"{NAME_EXPECTED}, not beginning with 'service:'"
TARGET_NAME_EXPECTED = "a model's name or 'service:' and a service's name"
DIGEST_EXPECTED = "64 lower-case hexadecimal digits (SHA-256)"
TIER_EXPECTED = f"a whole number from 0 to {TIER_LIMIT}"
TARGET_EXPECTED = "a time above 0 and at most 24 hours"
FIRST_TOKEN_EXPECTED = "a time above 0 and at most the target"
FLOOR_EXPECTED = "a share from 0 to 1"
WEIGHT_EXPECTED = f"a number above 0 and at most {WEIGHT_LIMIT:.0f}"
COPIES_EXPECTED = f"a whole number from 0 to {COPIES_LIMIT}"
ALTERNATIVES_EXPECTED = (
    f"at most {BINDING_CLASSES_LIMIT - 1} names of classes, "
    "each once and not the binding's own"
)


@dataclasses.dataclass(frozen=True)
class Problem:
    """A value that is out of bounds, and what was expected in its place."""

    field: str
    value: object
    expected: str

    @property
    def message(self) -> str:
        """Return the problem as a sentence."""
        return f"{self.field} is {self.value!r}, expected {self.expected}"


Check: typing.TypeAlias = abc.Callable[[typing.Any], Problem | None]
REGISTRY: dict[type, Check] = {}


def find_problem(command: commands.Command) -> Problem | None:
    """Return the first problem of the command's values, or ``None``."""
    return REGISTRY[type(command)](command)


def check(command_class: type) -> abc.Callable[[Check], Check]:
    """Return a decorator that registers the check of a command class."""

    def enter(function: Check) -> Check:
        REGISTRY[command_class] = function
        return function

    return enter


def is_identifier(name: str) -> bool:
    """Return whether the text may name a class, workspace or service."""
    return len(name) <= NAME_LIMIT and IDENTIFIER.fullmatch(name) is not None


def is_name(name: str) -> bool:
    """Return whether the text may name a model or an upstream."""
    return len(name) <= NAME_LIMIT and NAME.fullmatch(name) is not None


def is_model(name: str) -> bool:
    """Return whether the text may name a model, which no service's target is."""
    return is_name(name) and not name.startswith(model.SERVICE_PREFIX)


def is_target(target: str) -> bool:
    """Return whether the text is a model name or ``service:NAME``."""
    if target.startswith(model.SERVICE_PREFIX):
        return is_identifier(target.removeprefix(model.SERVICE_PREFIX))
    return is_model(target)


def is_positive(number: float, limit: float) -> bool:
    """Return whether the number is above 0 and within the limit; NaN is not."""
    return 0 < number <= limit


def _find_first(*rules: tuple[bool, str, object, str]) -> Problem | None:
    for holds, field, value, expected in rules:
        if not holds:
            return Problem(field, value, expected)
    return None


@check(commands.DeclareClass)
def check_class(command: commands.DeclareClass) -> Problem | None:
    """Check name, tier, targets and floor of a class."""
    made = command.request_class
    first = made.first_token_target
    first_holds = first is None or is_positive(first, made.target)
    tier_holds = 0 <= made.tier <= TIER_LIMIT
    return _find_first(
        (is_identifier(made.name), "name", made.name, IDENTIFIER_EXPECTED),
        (tier_holds, "tier", made.tier, TIER_EXPECTED),
        (
            is_positive(made.target, SECONDS_LIMIT),
            "target",
            made.target,
            TARGET_EXPECTED,
        ),
        (first_holds, "first_token_target", first, FIRST_TOKEN_EXPECTED),
        (0 <= made.floor <= 1, "floor", made.floor, FLOOR_EXPECTED),
    )


@check(commands.DeclareWorkspace)
def check_workspace(command: commands.DeclareWorkspace) -> Problem | None:
    """Check name, key digest and weight of a workspace."""
    made = command.workspace
    digest_holds = DIGEST.fullmatch(made.key_digest) is not None
    weight_holds = is_positive(made.weight, WEIGHT_LIMIT)
    return _find_first(
        (is_identifier(made.name), "name", made.name, IDENTIFIER_EXPECTED),
        (digest_holds, "key_digest", made.key_digest, DIGEST_EXPECTED),
        (weight_holds, "weight", made.weight, WEIGHT_EXPECTED),
    )


@check(commands.Bind)
def check_binding(command: commands.Bind) -> Problem | None:
    """Check the names of a binding."""
    made = command.binding
    allowed = (made.request_class, *made.alternatives)
    distinct = len(set(allowed)) == len(allowed) <= BINDING_CLASSES_LIMIT
    class_holds = is_identifier(made.request_class)
    others_hold = distinct and all(map(is_identifier, made.alternatives))
    workspace_holds = is_identifier(made.workspace)
    return _find_first(
        (workspace_holds, "workspace", made.workspace, IDENTIFIER_EXPECTED),
        (is_target(made.target), "target", made.target, TARGET_NAME_EXPECTED),
        (class_holds, "request_class", made.request_class, IDENTIFIER_EXPECTED),
        (others_hold, "alternatives", made.alternatives, ALTERNATIVES_EXPECTED),
    )


@check(commands.Unbind)
def check_unbinding(command: commands.Unbind) -> Problem | None:
    """Check the names of a binding to remove."""
    workspace_holds = is_identifier(command.workspace)
    return _find_first(
        (workspace_holds, "workspace", command.workspace, IDENTIFIER_EXPECTED),
        (is_target(command.target), "target", command.target, TARGET_NAME_EXPECTED),
    )


@check(commands.DeclareService)
def check_service(command: commands.DeclareService) -> Problem | None:
    """Check the name of a service."""
    name = command.service.name
    return _find_first((is_identifier(name), "name", name, IDENTIFIER_EXPECTED))


@check(commands.SetCopies)
def check_copies(command: commands.SetCopies) -> Problem | None:
    """Check model name and number of copies."""
    made = command.copies
    return _find_first(
        (is_model(made.model), "model", made.model, MODEL_EXPECTED),
        (0 <= made.copies <= COPIES_LIMIT, "copies", made.copies, COPIES_EXPECTED),
    )


@check(commands.RemoveClass)
@check(commands.RemoveWorkspace)
@check(commands.RemoveService)
def check_removal(command: typing.Any) -> Problem | None:
    """Check the name of what is removed."""
    name = command.name
    return _find_first((is_identifier(name), "name", name, IDENTIFIER_EXPECTED))


@check(commands.Drain)
@check(commands.Admit)
def check_upstream(command: commands.Drain | commands.Admit) -> Problem | None:
    """Check the name of an upstream."""
    name = command.upstream
    return _find_first((is_name(name), "upstream", name, NAME_EXPECTED))
