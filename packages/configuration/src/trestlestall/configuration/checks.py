"""Validation of a command's own values, independent of any configuration.

A registry maps each command class to the function that checks its values. The first
problem found is returned with the name of the invalid field, so that the command
language can point at the word.
"""

import dataclasses
import re
import typing
from collections import abc

from trestlestall.configuration import commands, model

TIER_LIMIT = 63
FLOOR_SUM_LIMIT = 0.5
LATENCY_TARGET_LIMIT_SECONDS = 86_400.0
WEIGHT_LIMIT = 1_000_000.0
COPIES_LIMIT = 1_000
NAME_LIMIT = 128
# Classes that one binding may name: its default class and the alternatives.
BINDING_CLASSES_LIMIT = 16
IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:/@+-]*")
DIGEST = re.compile(r"[0-9a-f]{64}")
INVALID_VALUE = "invalid_value"

NAME_LENGTH_EXPECTED = f"at most {NAME_LIMIT} long"
IDENTIFIER_EXPECTED = (
    f"a name of letters, digits, '_', '.', '-', {NAME_LENGTH_EXPECTED}"
)
NAME_EXPECTED = f"a name of letters, digits and '_.:/@+-', {NAME_LENGTH_EXPECTED}"
MODEL_EXPECTED = f"{NAME_EXPECTED}, not beginning with 'service:'"
BINDING_TARGET_EXPECTED = "a model's name or 'service:' and a service's name"
DIGEST_EXPECTED = "64 lower-case hexadecimal digits (SHA-256)"
TIER_EXPECTED = f"a whole number from 0 to {TIER_LIMIT}"
LATENCY_TARGET_EXPECTED = "a time above 0 and at most 24 hours"
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
    """An invalid value, and what was expected instead."""

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
    """Return a decorator that registers the function that checks a command class."""

    def register(function: Check) -> Check:
        REGISTRY[command_class] = function
        return function

    return register


def is_identifier(name: str) -> bool:
    """Return whether the text may name a class, workspace or service."""
    return len(name) <= NAME_LIMIT and IDENTIFIER.fullmatch(name) is not None


def is_name(name: str) -> bool:
    """Return whether the text may name a model or an upstream."""
    return len(name) <= NAME_LIMIT and NAME.fullmatch(name) is not None


def is_model(name: str) -> bool:
    """Return whether the text may name a model: any name without the service prefix."""
    return is_name(name) and not name.startswith(model.SERVICE_PREFIX)


def is_target(target: str) -> bool:
    """Return whether the text is a model name or ``service:NAME``."""
    if target.startswith(model.SERVICE_PREFIX):
        return is_identifier(target.removeprefix(model.SERVICE_PREFIX))
    return is_model(target)


def is_positive(number: float, limit: float) -> bool:
    """Return whether the number is above 0 and within the limit; NaN is not."""
    return 0 < number <= limit


def _find_first_problem(*rules: tuple[bool, str, object, str]) -> Problem | None:
    for valid, field, value, expected in rules:
        if not valid:
            return Problem(field, value, expected)
    return None


@check(commands.DeclareClass)
def check_class(command: commands.DeclareClass) -> Problem | None:
    """Check name, tier, latency targets and floor of a class."""
    declared = command.request_class
    first = declared.first_token_target
    first_valid = first is None or is_positive(first, declared.target)
    tier_valid = 0 <= declared.tier <= TIER_LIMIT
    return _find_first_problem(
        (is_identifier(declared.name), "name", declared.name, IDENTIFIER_EXPECTED),
        (tier_valid, "tier", declared.tier, TIER_EXPECTED),
        (
            is_positive(declared.target, LATENCY_TARGET_LIMIT_SECONDS),
            "target",
            declared.target,
            LATENCY_TARGET_EXPECTED,
        ),
        (first_valid, "first_token_target", first, FIRST_TOKEN_EXPECTED),
        (0 <= declared.floor <= 1, "floor", declared.floor, FLOOR_EXPECTED),
    )


@check(commands.DeclareWorkspace)
def check_workspace(command: commands.DeclareWorkspace) -> Problem | None:
    """Check name, key digest and weight of a workspace."""
    workspace = command.workspace
    digest_valid = DIGEST.fullmatch(workspace.key_digest) is not None
    weight_valid = is_positive(workspace.weight, WEIGHT_LIMIT)
    return _find_first_problem(
        (is_identifier(workspace.name), "name", workspace.name, IDENTIFIER_EXPECTED),
        (digest_valid, "key_digest", workspace.key_digest, DIGEST_EXPECTED),
        (weight_valid, "weight", workspace.weight, WEIGHT_EXPECTED),
    )


@check(commands.Bind)
def check_binding(command: commands.Bind) -> Problem | None:
    """Check the names of a binding."""
    binding = command.binding
    allowed = (binding.request_class, *binding.alternatives)
    distinct = len(set(allowed)) == len(allowed) <= BINDING_CLASSES_LIMIT
    class_valid = is_identifier(binding.request_class)
    alternatives_valid = distinct and all(map(is_identifier, binding.alternatives))
    workspace_valid = is_identifier(binding.workspace)
    return _find_first_problem(
        (workspace_valid, "workspace", binding.workspace, IDENTIFIER_EXPECTED),
        (
            is_target(binding.target),
            "target",
            binding.target,
            BINDING_TARGET_EXPECTED,
        ),
        (class_valid, "request_class", binding.request_class, IDENTIFIER_EXPECTED),
        (
            alternatives_valid,
            "alternatives",
            binding.alternatives,
            ALTERNATIVES_EXPECTED,
        ),
    )


@check(commands.Unbind)
def check_unbinding(command: commands.Unbind) -> Problem | None:
    """Check the names of a binding to remove."""
    workspace_valid = is_identifier(command.workspace)
    return _find_first_problem(
        (workspace_valid, "workspace", command.workspace, IDENTIFIER_EXPECTED),
        (is_target(command.target), "target", command.target, BINDING_TARGET_EXPECTED),
    )


@check(commands.DeclareService)
def check_service(command: commands.DeclareService) -> Problem | None:
    """Check the name of a service."""
    name = command.service.name
    return _find_first_problem((is_identifier(name), "name", name, IDENTIFIER_EXPECTED))


@check(commands.SetCopies)
def check_copies(command: commands.SetCopies) -> Problem | None:
    """Check model name and number of copies."""
    desired = command.copies
    return _find_first_problem(
        (is_model(desired.model), "model", desired.model, MODEL_EXPECTED),
        (
            0 <= desired.copies <= COPIES_LIMIT,
            "copies",
            desired.copies,
            COPIES_EXPECTED,
        ),
    )


@check(commands.RemoveClass)
@check(commands.RemoveWorkspace)
@check(commands.RemoveService)
def check_removal(command: typing.Any) -> Problem | None:
    """Check the name of the object to remove."""
    name = command.name
    return _find_first_problem((is_identifier(name), "name", name, IDENTIFIER_EXPECTED))


@check(commands.Drain)
@check(commands.Admit)
def check_upstream(command: commands.Drain | commands.Admit) -> Problem | None:
    """Check the name of an upstream."""
    name = command.upstream
    return _find_first_problem((is_name(name), "upstream", name, NAME_EXPECTED))
