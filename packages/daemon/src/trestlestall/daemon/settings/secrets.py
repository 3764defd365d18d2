"""The secrets file: the credentials of a process, readable by its user alone."""

import collections
import pathlib
import stat
import typing

from trestlestall.daemon.settings import document, model

OTHERS = stat.S_IRWXG | stat.S_IRWXO


def load(path: pathlib.Path) -> model.Secrets | list[model.Problem]:
    """Return the credentials in the file, or all that is wrong with it.

    No message repeats a credential: problems are printed and logged.
    """
    found = document.read_object(path)
    if isinstance(found, model.Problem):
        return [found]
    problems = check_mode(path)
    fields = {field.name for field in document.list_fields(model.Secrets)}
    problems += [
        model.Problem(key, "unknown key") for key in found if key not in fields
    ]
    problems += _check_text(found, "peers") + _check_text(found, "upstreams")
    problems += _check_operators(found.get("operators"))
    if problems:
        return problems
    problems = _check_distinct(found)
    return problems or model.Secrets(**typing.cast(typing.Any, found))


def check_mode(path: pathlib.Path) -> list[model.Problem]:
    """Refuse a file that other users of the host may read or write."""
    mode = stat.S_IMODE(path.stat().st_mode)
    if not mode & OTHERS:
        return []
    message = f"{path} has mode {mode:04o}, open to other users; chmod 600 it"
    return [model.Problem("", message)]


def _check_text(found: dict, key: str) -> list[model.Problem]:
    """A credential is text and not empty."""
    value = found.get(key)
    if isinstance(value, str) and value:
        return []
    return [model.Problem(key, "give the credential as text, not empty")]


def _check_operators(value: object) -> list[model.Problem]:
    """Operators are an object of names and credentials."""
    if not isinstance(value, dict):
        return [model.Problem("operators", "give an object of operators and keys")]
    found = [problem for name in value for problem in _check_text(value, name)]
    return [
        model.Problem(f"operators.{problem.path}", problem.message) for problem in found
    ]


def _check_distinct(found: dict) -> list[model.Problem]:
    """One credential must not open two doors, nor stand for two operators."""
    named = {"peers": found["peers"], "upstreams": found["upstreams"]}
    named |= {f"operators.{name}": key for name, key in found["operators"].items()}
    counts = collections.Counter(named.values())
    return [
        model.Problem(name, "is the same as another credential of the file")
        for name, key in named.items()
        if counts[key] > 1
    ]
