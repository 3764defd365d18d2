"""Construction of typed commands and queries from the parse tree.

A registry maps each rule of ``grammar.lark`` to the function that builds its statement:
the value, and the token that each of its fields came from, so that an error found later
can point at the token.
"""

import dataclasses
import decimal
import re
import typing
from collections import abc

import lark

from trestlestall.configuration import commands, model
from trestlestall.language import queries, voters

SECONDS_PER_UNIT = {
    "ms": decimal.Decimal("0.001"),
    "s": decimal.Decimal(1),
    "min": decimal.Decimal(60),
    "h": decimal.Decimal(3600),
}
BOOLEANS = {"true": True, "false": False}
BEARER_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,512}")
ADDRESS_PATTERN = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z.-]+):([0-9]{1,5})")
MAX_PORT = 65_535
MAX_HISTORY = 10_000


@dataclasses.dataclass(frozen=True)
class ParsedStatement:
    """The command or query of a text, and the source token of each field."""

    value: typing.Any
    tokens: dict[str, lark.Token]


@dataclasses.dataclass(frozen=True)
class SemanticError:
    """An error in a text that the grammar accepts.

    ``token`` is the token at fault, or ``None`` for the end of the text.
    """

    token: lark.Token | None
    message: str
    expected: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class FieldValue:
    """The value of one field, and the token that it came from."""

    field: str
    value: typing.Any
    token: lark.Token


Build: typing.TypeAlias = abc.Callable[[list], ParsedStatement | SemanticError]
BUILDERS: dict[str, Build] = {}


def build(tree: lark.Tree) -> ParsedStatement | SemanticError:
    """Return the statement of a complete parse tree, or an error."""
    rule = tree.children[0]
    return BUILDERS[rule.data](rule.children)


def builds(rule: str) -> abc.Callable[[Build], Build]:
    """Return a decorator that registers the builder of a grammar rule."""

    def register(function: Build) -> Build:
        BUILDERS[rule] = function
        return function

    return register


def read_duration(token: str) -> float:
    """Return the seconds of a duration such as ``500ms``.

    It is computed in decimals, so that ``300ms`` and ``0.3s`` give the same number.
    """
    unit = token.lstrip("0123456789.")
    return float(decimal.Decimal(token.removesuffix(unit)) * SECONDS_PER_UNIT[unit])


def read_percent(token: str) -> float:
    """Return a percentage as a share: 0.05 for ``5%``."""
    return float(decimal.Decimal(token.removesuffix("%")) / 100)


def read_string(token: str) -> str:
    """Return the text of a quoted token, without quotes and escapes."""
    return re.sub(r"\\(.)", r"\1", token[1:-1])


def read_value(token: lark.Token) -> queries.Value:
    """Return the value of a condition's token: a number, a boolean or a text."""
    if token.type == "STRING":
        return read_string(token)
    if token.type == "NUMBER":
        return float(token)
    return BOOLEANS.get(token, str(token))


READERS: dict[str, tuple[str, abc.Callable[[str], typing.Any]]] = {
    "tier": ("tier", int),
    "target": ("target", read_duration),
    "first_token_target": ("first_token_target", read_duration),
    "idempotent": ("idempotent", lambda token: True),
    "at_most_once": ("idempotent", lambda token: False),
    "floor": ("floor", read_percent),
    "key": ("key_digest", lambda token: model.digest_key(read_string(token))),
    "key_digest": ("key_digest", str),
    "weight": ("weight", float),
}


def _read_settings(trees: list[lark.Tree]) -> dict[str, FieldValue] | SemanticError:
    settings: dict[str, FieldValue] = {}
    for tree in trees:
        field, read = READERS[tree.data]
        token = tree.children[0]
        if field in settings:
            message = f"{field} is given twice"
            return SemanticError(token, message, (f"one setting of {field}",))
        settings[field] = FieldValue(field, read(token), token)
    return settings


def _declare(
    made: type, parts: list, required: tuple[str, ...]
) -> tuple[typing.Any, dict[str, lark.Token]] | SemanticError:
    name, *trees = parts
    settings = _read_settings(trees)
    if isinstance(settings, SemanticError):
        return settings
    missing = tuple(field for field in required if field not in settings)
    if missing:
        return SemanticError(None, f"{' and '.join(missing)} missing", missing)
    values = {setting.field: setting.value for setting in settings.values()}
    tokens = {setting.field: setting.token for setting in settings.values()}
    return made(name=str(name), **values), {"name": name, **tokens}


@builds("declare_class")
def build_class(parts: list) -> ParsedStatement | SemanticError:
    """Build ``declare class``; a tier and a target are required."""
    declared = _declare(model.RequestClass, parts, ("tier", "target"))
    if isinstance(declared, SemanticError):
        return declared
    made, tokens = declared
    return ParsedStatement(commands.DeclareClass(made), tokens)


@builds("declare_workspace")
def build_workspace(parts: list) -> ParsedStatement | SemanticError:
    """Build ``declare workspace``; a key or its digest is required."""
    for tree in parts[1:]:
        if tree.data == "key" and not BEARER_KEY_PATTERN.fullmatch(
            read_string(tree.children[0])
        ):
            message = "invalid bearer key"
            expected = "1 to 512 printable ASCII characters without spaces"
            return SemanticError(tree.children[0], message, (expected,))
    declared = _declare(model.Workspace, parts, ("key_digest",))
    if isinstance(declared, SemanticError):
        return declared
    made, tokens = declared
    return ParsedStatement(commands.DeclareWorkspace(made), tokens)


def _read_target(tree: lark.Tree) -> str | SemanticError:
    token = tree.children[0]
    if tree.data == "service_target":
        return model.SERVICE_PREFIX + token
    return _read_model(token)


def _read_model(token: lark.Token) -> str | SemanticError:
    if token.startswith(model.SERVICE_PREFIX):
        message = "this is a service's name"
        return SemanticError(token, message, ("a model's name", "'service NAME'"))
    return str(token)


@builds("bind")
def build_binding(parts: list) -> ParsedStatement | SemanticError:
    """Build ``bind workspace``."""
    workspace, tree, made_class, *alternatives = parts
    target = _read_target(tree)
    if isinstance(target, SemanticError):
        return target
    names = tuple(str(token) for token in alternatives)
    made = model.Binding(str(workspace), target, str(made_class), names)
    tokens = {
        "workspace": workspace,
        "target": tree.children[0],
        "request_class": made_class,
    }
    if alternatives:
        tokens["alternatives"] = alternatives[0]
    return ParsedStatement(commands.Bind(made), tokens)


@builds("unbind")
def build_unbinding(parts: list) -> ParsedStatement | SemanticError:
    """Build ``unbind workspace``."""
    workspace, tree = parts
    target = _read_target(tree)
    if isinstance(target, SemanticError):
        return target
    tokens = {"workspace": workspace, "target": tree.children[0]}
    return ParsedStatement(commands.Unbind(str(workspace), target), tokens)


@builds("declare_service")
def build_service(parts: list) -> ParsedStatement | SemanticError:
    """Build ``declare service``."""
    (name,) = parts
    made = model.Service(str(name))
    return ParsedStatement(commands.DeclareService(made), {"name": name})


@builds("set_copies")
def build_copies(parts: list) -> ParsedStatement | SemanticError:
    """Build ``set copies``."""
    token, number = parts
    name = _read_model(token)
    if isinstance(name, SemanticError):
        return name
    made = model.ModelCopies(name, int(number))
    return ParsedStatement(commands.SetCopies(made), {"model": token, "copies": number})


def _build_named(made: type, field: str) -> Build:
    def build_named(parts: list) -> ParsedStatement | SemanticError:
        (name,) = parts
        return ParsedStatement(made(str(name)), {field: name})

    return build_named


BUILDERS["remove_class"] = _build_named(commands.RemoveClass, "name")
BUILDERS["remove_workspace"] = _build_named(commands.RemoveWorkspace, "name")
BUILDERS["remove_service"] = _build_named(commands.RemoveService, "name")
BUILDERS["drain"] = _build_named(commands.Drain, "upstream")
BUILDERS["admit"] = _build_named(commands.Admit, "upstream")
BUILDERS["remove_voter"] = _build_named(voters.RemoveVoter, "name")
BUILDERS["explain"] = _build_named(queries.Explain, "request")


@builds("add_voter")
def build_voter(parts: list) -> ParsedStatement | SemanticError:
    """Build ``add voter``; the address consists of a host and a port."""
    name, token = parts
    address = read_string(token)
    found = ADDRESS_PATTERN.fullmatch(address)
    if found is None or not 0 < int(found[2]) <= MAX_PORT:
        return SemanticError(token, "invalid address", ('"HOST:PORT"',))
    tokens = {"name": name, "address": token}
    return ParsedStatement(voters.AddVoter(str(name), address), tokens)


@builds("show")
def build_show(parts: list) -> ParsedStatement | SemanticError:
    """Build ``show``."""
    subject, *trees = parts
    conditions = tuple(_read_condition(tree) for tree in trees)
    # The token of a condition's field is stored under the field's name.
    tokens = {str(tree.children[0]): tree.children[0] for tree in trees}
    show = queries.Show(str(subject), conditions)
    return ParsedStatement(show, {"subject": subject, **tokens})


def _read_condition(tree: lark.Tree) -> queries.Condition:
    field, operator, token = tree.children
    return queries.Condition(str(field), str(operator), read_value(token))


@builds("history")
def build_history(parts: list) -> ParsedStatement | SemanticError:
    """Build ``history``."""
    if not parts:
        return ParsedStatement(queries.History(), {})
    (number,) = parts
    if not 0 < int(number) <= MAX_HISTORY:
        expected = f"a whole number from 1 to {MAX_HISTORY}"
        return SemanticError(number, "number out of range", (expected,))
    return ParsedStatement(queries.History(int(number)), {"limit": number})
