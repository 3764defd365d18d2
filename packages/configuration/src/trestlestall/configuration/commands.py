"""Operators' commands that change the configuration, and their registry."""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import model

Command: typing.TypeAlias = typing.Any
REGISTRY: dict[str, type] = {}


def register(name: str) -> abc.Callable[[type], type]:
    """Return a decorator that registers a command class under its name on the wire."""

    def decorate(command_class: type) -> type:
        REGISTRY[name] = command_class
        command_class.command_name = name
        return command_class

    return decorate


@register("declare_class")
@dataclasses.dataclass(frozen=True)
class DeclareClass:
    """Add a request class, or replace the one of that name."""

    request_class: model.RequestClass


@register("remove_class")
@dataclasses.dataclass(frozen=True)
class RemoveClass:
    """Remove a request class that no binding uses."""

    name: str


@register("declare_workspace")
@dataclasses.dataclass(frozen=True)
class DeclareWorkspace:
    """Add a workspace, or replace the one of that name."""

    workspace: model.Workspace


@register("remove_workspace")
@dataclasses.dataclass(frozen=True)
class RemoveWorkspace:
    """Remove a workspace that has no bindings."""

    name: str


@register("bind")
@dataclasses.dataclass(frozen=True)
class Bind:
    """Bind a workspace and a target to a class, or replace their binding."""

    binding: model.Binding


@register("unbind")
@dataclasses.dataclass(frozen=True)
class Unbind:
    """Remove the binding of a workspace and a target."""

    workspace: str
    target: str


@register("declare_service")
@dataclasses.dataclass(frozen=True)
class DeclareService:
    """Add a plain service."""

    service: model.Service


@register("remove_service")
@dataclasses.dataclass(frozen=True)
class RemoveService:
    """Remove a plain service that no binding uses."""

    name: str


@register("set_copies")
@dataclasses.dataclass(frozen=True)
class SetCopies:
    """Set the desired number of copies of a model in each data centre."""

    copies: model.ModelCopies


@register("drain")
@dataclasses.dataclass(frozen=True)
class Drain:
    """Send an upstream no new work; draining it again is accepted."""

    upstream: str


@register("admit")
@dataclasses.dataclass(frozen=True)
class Admit:
    """End the drain of an upstream."""

    upstream: str


@dataclasses.dataclass(frozen=True)
class Submission:
    """A command as an operator sent it.

    ``number`` is the configuration version that the operator expects the command to
    create; ``None`` accepts any. ``sent_at`` is in seconds since the epoch.
    """

    request_id: str
    operator: str
    number: int | None
    command: Command
    sent_at: float = 0.0
