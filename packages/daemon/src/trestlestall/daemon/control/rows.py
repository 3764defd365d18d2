"""Rows of the replicated state, for the queries of operators; pure."""

import typing
from collections import abc

import msgspec

from trestlestall.configuration import documents, state as states

Row = dict[str, typing.Any]
Status = dict[str, typing.Any]
Build = abc.Callable[[states.State, Status], list[Row]]
VERSIONS_SHOWN = 100
SECRET_FIELDS = {"key_digest"}
SUBJECTS: dict[str, Build] = {}


def register(subject: str) -> abc.Callable[[Build], Build]:
    """Return a decorator that registers the function for the rows of a subject."""

    def decorate(function: Build) -> Build:
        SUBJECTS[subject] = function
        return function

    return decorate


def list_history(state: states.State, limit: int) -> list[Row]:
    """Return the newest accepted commands, newest first."""
    entries = states.list_history(state, limit)
    return [_flatten(documents.encode_entry(entry)) for entry in entries]


def _flatten(entry: Row) -> Row:
    """Return the entry with its command as one text, without digests of keys."""
    command = dict(entry.pop("command"))
    kind = command.pop("kind")
    inner = command.popitem()[1] if len(command) == 1 else command
    parts = inner.items() if isinstance(inner, dict) else [("", inner)]
    shown = [f"{key}={value}".lstrip("=") for key, value in parts if _is_shown(key)]
    return {**entry, "command": " ".join([kind.replace("_", " "), *shown])}


def _is_shown(key: str) -> bool:
    return key not in SECRET_FIELDS


def _list_parts(parts: abc.Iterable[typing.Any]) -> list[Row]:
    plain = msgspec.to_builtins(list(parts))
    return [{key: row[key] for key in row if _is_shown(key)} for row in plain]


@register("classes")
def list_classes(state: states.State, status: Status) -> list[Row]:
    """Return the request classes."""
    return _list_parts(state.configuration.classes.values())


@register("workspaces")
def list_workspaces(state: states.State, status: Status) -> list[Row]:
    """Return the workspaces, without the digests of their keys."""
    return _list_parts(state.configuration.workspaces.values())


@register("bindings")
def list_bindings(state: states.State, status: Status) -> list[Row]:
    """Return the bindings."""
    return _list_parts(state.configuration.bindings.values())


@register("services")
def list_services(state: states.State, status: Status) -> list[Row]:
    """Return the plain services."""
    return _list_parts(state.configuration.services.values())


@register("copies")
def list_copies(state: states.State, status: Status) -> list[Row]:
    """Return each model's declared copies and those present in each data centre."""
    held = status.get("held_copies", {})
    return [
        {
            "model": one.model,
            "copies": one.copies,
            "data_centre": data_centre,
            "held": count,
        }
        for one in state.configuration.copies.values()
        for data_centre, count in sorted(held.get(one.model, {"": 0}).items())
    ]


@register("versions")
def list_versions(state: states.State, status: Status) -> list[Row]:
    """Return the newest versions, with the operators who created them."""
    return list_history(state, VERSIONS_SHOWN)


@register("voters")
def list_voters(state: states.State, status: Status) -> list[Row]:
    """Return the voters as known to the leader."""
    return status["voters"]


@register("routers")
def list_routers(state: states.State, status: Status) -> list[Row]:
    """Return the routers that have a link to the leader."""
    return status["routers"]
