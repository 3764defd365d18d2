"""From the parser's tree to typed commands and queries.

A registry maps each rule of ``grammar.lark`` to the function that builds its sentence:
the value, together with the word that gave each of its fields, so that a problem found
later can point at the word.
"""

import dataclasses
import decimal
import re
import typing
from collections import abc

import lark

from trestlestall.configuration import commands, model
from trestlestall.language import queries, voters

SECONDS = {
    "ms": decimal.Decimal("0.001"),
    "s": decimal.Decimal(1),
    "min": decimal.Decimal(60),
    "h": decimal.Decimal(3600),
}
BOOLEANS = {"true": True, "false": False}
KEY = re.compile(r"[\x21-\x7e]{1,512}")
ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z.-]+):([0-9]{1,5})")
PORT_LIMIT = 65_535
HISTORY_LIMIT = 10_000


@dataclasses.dataclass(frozen=True)
class Sentence:
    """What a text says, and the word that gave each field."""

    value: typing.Any
    words: dict[str, lark.Token]


@dataclasses.dataclass(frozen=True)
class Fault:
    """A word that the grammar takes but that does not fit; no word: the text's end."""

    word: lark.Token | None
    message: str
    expected: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Setting:
    """The value that one word gives to one field."""

    field: str
    value: typing.Any
    word: lark.Token


Build: typing.TypeAlias = abc.Callable[[list], Sentence | Fault]
BUILDERS: dict[str, Build] = {}


def build(tree: lark.Tree) -> Sentence | Fault:
    """Return the sentence of a whole tree, or the word that does not fit."""
    rule = tree.children[0]
    return BUILDERS[rule.data](rule.children)


def builds(rule: str) -> abc.Callable[[Build], Build]:
    """Return a decorator that registers the builder of a rule."""

    def enter(function: Build) -> Build:
        BUILDERS[rule] = function
        return function

    return enter


def read_duration(word: str) -> float:
    """Return the seconds of a duration such as ``500ms``.

    Computed in decimals, so that ``300ms`` and ``0.3s`` are the same number.
    """
    unit = word.lstrip("0123456789.")
    return float(decimal.Decimal(word.removesuffix(unit)) * SECONDS[unit])


def read_percent(word: str) -> float:
    """Return the share of a percentage: 0.05 of ``5%``."""
    return float(decimal.Decimal(word.removesuffix("%")) / 100)


def read_string(word: str) -> str:
    """Return the text of a quoted word."""
    return re.sub(r"\\(.)", r"\1", word[1:-1])


def read_value(word: lark.Token) -> queries.Value:
    """Return what a condition's word stands for: a number, a truth value or text."""
    if word.type == "STRING":
        return read_string(word)
    if word.type == "NUMBER":
        return float(word)
    return BOOLEANS.get(word, str(word))


READERS: dict[str, tuple[str, abc.Callable[[str], typing.Any]]] = {
    "tier": ("tier", int),
    "target": ("target", read_duration),
    "first_token_target": ("first_token_target", read_duration),
    "idempotent": ("idempotent", lambda word: True),
    "at_most_once": ("idempotent", lambda word: False),
    "floor": ("floor", read_percent),
    "key": ("key_digest", lambda word: model.digest_key(read_string(word))),
    "key_digest": ("key_digest", str),
    "weight": ("weight", float),
}


def _read_settings(trees: list[lark.Tree]) -> dict[str, Setting] | Fault:
    settings: dict[str, Setting] = {}
    for tree in trees:
        field, read = READERS[tree.data]
        word = tree.children[0]
        if field in settings:
            message = f"{field} is given twice"
            return Fault(word, message, (f"one setting of {field}",))
        settings[field] = Setting(field, read(word), word)
    return settings


def _declare(
    made: type, parts: list, needed: tuple[str, ...]
) -> tuple[typing.Any, dict[str, lark.Token]] | Fault:
    name, *trees = parts
    settings = _read_settings(trees)
    if isinstance(settings, Fault):
        return settings
    missing = tuple(field for field in needed if field not in settings)
    if missing:
        return Fault(None, f"{' and '.join(missing)} missing", missing)
    values = {setting.field: setting.value for setting in settings.values()}
    words = {setting.field: setting.word for setting in settings.values()}
    return made(name=str(name), **values), {"name": name, **words}


@builds("declare_class")
def build_class(parts: list) -> Sentence | Fault:
    """Build ``declare class``; it needs a tier and a target."""
    declared = _declare(model.RequestClass, parts, ("tier", "target"))
    if isinstance(declared, Fault):
        return declared
    made, words = declared
    return Sentence(commands.DeclareClass(made), words)


@builds("declare_workspace")
def build_workspace(parts: list) -> Sentence | Fault:
    """Build ``declare workspace``; it needs a key or the digest of one."""
    for tree in parts[1:]:
        if tree.data == "key" and not KEY.fullmatch(read_string(tree.children[0])):
            message = "this can not be a bearer key"
            expected = "1 to 512 printable ASCII characters without spaces"
            return Fault(tree.children[0], message, (expected,))
    declared = _declare(model.Workspace, parts, ("key_digest",))
    if isinstance(declared, Fault):
        return declared
    made, words = declared
    return Sentence(commands.DeclareWorkspace(made), words)


def _read_target(tree: lark.Tree) -> str | Fault:
    word = tree.children[0]
    if tree.data == "service_target":
        return model.SERVICE_PREFIX + word
    return _read_model(word)


def _read_model(word: lark.Token) -> str | Fault:
    if word.startswith(model.SERVICE_PREFIX):
        message = "this is a service's name"
        return Fault(word, message, ("a model's name", "'service NAME'"))
    return str(word)


@builds("bind")
def build_binding(parts: list) -> Sentence | Fault:
    """Build ``bind workspace``."""
    workspace, tree, made_class, *alternatives = parts
    target = _read_target(tree)
    if isinstance(target, Fault):
        return target
    names = tuple(str(word) for word in alternatives)
    made = model.Binding(str(workspace), target, str(made_class), names)
    words = {
        "workspace": workspace,
        "target": tree.children[0],
        "request_class": made_class,
    }
    if alternatives:
        words["alternatives"] = alternatives[0]
    return Sentence(commands.Bind(made), words)


@builds("unbind")
def build_unbinding(parts: list) -> Sentence | Fault:
    """Build ``unbind workspace``."""
    workspace, tree = parts
    target = _read_target(tree)
    if isinstance(target, Fault):
        return target
    words = {"workspace": workspace, "target": tree.children[0]}
    return Sentence(commands.Unbind(str(workspace), target), words)


@builds("declare_service")
def build_service(parts: list) -> Sentence | Fault:
    """Build ``declare service``."""
    (name,) = parts
    made = model.Service(str(name))
    return Sentence(commands.DeclareService(made), {"name": name})


@builds("set_copies")
def build_copies(parts: list) -> Sentence | Fault:
    """Build ``set copies``."""
    word, number = parts
    name = _read_model(word)
    if isinstance(name, Fault):
        return name
    made = model.ModelCopies(name, int(number))
    return Sentence(commands.SetCopies(made), {"model": word, "copies": number})


def _build_named(made: type, field: str) -> Build:
    def build_named(parts: list) -> Sentence | Fault:
        (name,) = parts
        return Sentence(made(str(name)), {field: name})

    return build_named


BUILDERS["remove_class"] = _build_named(commands.RemoveClass, "name")
BUILDERS["remove_workspace"] = _build_named(commands.RemoveWorkspace, "name")
BUILDERS["remove_service"] = _build_named(commands.RemoveService, "name")
BUILDERS["drain"] = _build_named(commands.Drain, "upstream")
BUILDERS["admit"] = _build_named(commands.Admit, "upstream")
BUILDERS["remove_voter"] = _build_named(voters.RemoveVoter, "name")
BUILDERS["explain"] = _build_named(queries.Explain, "request")


@builds("add_voter")
def build_voter(parts: list) -> Sentence | Fault:
    """Build ``add voter``; the address is a host and a port."""
    name, word = parts
    address = read_string(word)
    found = ADDRESS.fullmatch(address)
    if found is None or not 0 < int(found[2]) <= PORT_LIMIT:
        return Fault(word, "this is no address", ('"HOST:PORT"',))
    words = {"name": name, "address": word}
    return Sentence(voters.AddVoter(str(name), address), words)


@builds("show")
def build_show(parts: list) -> Sentence | Fault:
    """Build ``show``."""
    subject, *trees = parts
    conditions = tuple(_read_condition(tree) for tree in trees)
    # A field's word is found under the field's own name.
    words = {str(tree.children[0]): tree.children[0] for tree in trees}
    show = queries.Show(str(subject), conditions)
    return Sentence(show, {"subject": subject, **words})


def _read_condition(tree: lark.Tree) -> queries.Condition:
    field, sign, word = tree.children
    return queries.Condition(str(field), str(sign), read_value(word))


@builds("history")
def build_history(parts: list) -> Sentence | Fault:
    """Build ``history``."""
    if not parts:
        return Sentence(queries.History(), {})
    (number,) = parts
    if not 0 < int(number) <= HISTORY_LIMIT:
        expected = f"a whole number from 1 to {HISTORY_LIMIT}"
        return Fault(number, "the history is not that long", (expected,))
    return Sentence(queries.History(int(number)), {"limit": number})
