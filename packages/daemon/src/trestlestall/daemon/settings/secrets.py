"""The secrets file: the credentials of a process, readable by its user alone."""

import collections
import pathlib
import stat
import typing

from trestlestall.daemon.settings import document, model

OTHER_USERS_MODE = stat.S_IRWXG | stat.S_IRWXO


def load(path: pathlib.Path) -> model.Secrets | list[model.Problem]:
    """Return the credentials in the file, or all of its problems.

    Messages never contain a credential, since problems are printed and logged.
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
    """Return a problem if other users of the host have access to the file."""
    mode = stat.S_IMODE(path.stat().st_mode)
    if not mode & OTHER_USERS_MODE:
        return []
    message = f"{path} has mode {mode:04o}, open to other users; chmod 600 it"
    return [model.Problem("", message)]


def _check_text(found: dict, key: str) -> list[model.Problem]:
    """Credentials are non-empty text."""
    value = found.get(key)
    if isinstance(value, str) and value:
        return []
    return [model.Problem(key, "give the credential as text, not empty")]


def _check_operators(value: object) -> list[model.Problem]:
    """``operators`` is an object that maps names to credentials."""
    if not isinstance(value, dict):
        return [model.Problem("operators", "give an object of operators and keys")]
    found = [problem for name in value for problem in _check_text(value, name)]
    return [
        model.Problem(f"operators.{problem.path}", problem.message) for problem in found
    ]


def _check_distinct(found: dict) -> list[model.Problem]:
    """No credential may be used for two endpoints or by two operators."""
    named = {"peers": found["peers"], "upstreams": found["upstreams"]}
    named |= {f"operators.{name}": key for name, key in found["operators"].items()}
    counts = collections.Counter(named.values())
    return [
        model.Problem(name, "is the same as another credential of the file")
        for name, key in named.items()
        if counts[key] > 1
    ]
