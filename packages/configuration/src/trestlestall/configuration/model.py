"""The replicated configuration: request classes, workspaces, bindings and more.

All values are immutable. A ``Configuration`` is changed only by commands (see
``state``), so that all processes which applied the same commands have equal ones.
"""

import dataclasses
import functools
import hashlib
import typing
from collections import abc

from trestlestall.configuration import directory, persistent

SERVICE_PREFIX = "service:"
UNKNOWN_MODEL = "unknown_model"
NOT_BOUND = "not_bound"
CLASS_NOT_ALLOWED = "class_not_allowed"

BindingKey: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A service level: latency targets in seconds, a tier, a floor, idempotence.

    Tier 0 is the most urgent. ``target`` is for the complete answer. ``floor`` is the
    minimum share (0..1) of a data centre's token throughput for the class in a burst.
    """

    name: str
    tier: int
    target: float
    first_token_target: float | None = None
    idempotent: bool = True
    floor: float = 0.01


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer's workspace; ``key_digest`` is the hex SHA-256 of its bearer key."""

    name: str
    key_digest: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Binding:
    """The class of a workspace's requests to a target.

    The target is a model name, or ``service:NAME`` for a plain service. A caller may
    choose one of the alternatives by the header ``Trestlestall-Class``.
    """

    workspace: str
    target: str
    request_class: str
    alternatives: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service: a target of requests that is not a model."""

    name: str


@dataclasses.dataclass(frozen=True)
class ModelCopies:
    """The desired number of copies of a model in each data centre."""

    model: str
    copies: int


@dataclasses.dataclass(frozen=True)
class Unresolved:
    """Why a request has no class: a stable code and a message for the caller."""

    code: str
    message: str


def digest_key(key: str) -> str:
    """Return the hex SHA-256 of a bearer key, as ``Workspace.key_digest`` holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of everything that operators have declared.

    The mappings are by name, ``bindings`` by ``(workspace, target)``. Plain
    dictionaries are accepted and converted to persistent maps.
    """

    version: int = 0
    classes: abc.Mapping[str, RequestClass] = persistent.EMPTY
    workspaces: abc.Mapping[str, Workspace] = directory.EMPTY
    bindings: abc.Mapping[BindingKey, Binding] = persistent.EMPTY
    services: abc.Mapping[str, Service] = persistent.EMPTY
    drained: frozenset[str] = frozenset()
    copies: abc.Mapping[str, ModelCopies] = persistent.EMPTY

    def __post_init__(self):
        # The only way to assign attributes of a frozen data class.
        object.__setattr__(self, "workspaces", directory.Directory.of(self.workspaces))
        for name in ("classes", "bindings", "services", "copies"):
            object.__setattr__(self, name, persistent.Map.of(getattr(self, name)))

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace with this bearer key, or ``None``."""
        return self.workspaces.find_digest(digest_key(key))

    def resolve_class(
        self, workspace: str, target: str, wanted: str | None = None
    ) -> RequestClass | Unresolved:
        """Return the class of a workspace's request to a target.

        ``wanted`` is the class that the caller requested by header, if any.
        """
        binding = self.bindings.get((workspace, target))
        if binding is None:
            return self._explain_unbound(workspace, target)
        name = wanted or binding.request_class
        if name != binding.request_class and name not in binding.alternatives:
            message = f"the binding of {target!r} does not allow the class {name!r}"
            return Unresolved(CLASS_NOT_ALLOWED, message)
        return self.classes[name]

    def _explain_unbound(self, workspace: str, target: str) -> Unresolved:
        if target in self._targets:
            message = f"{target!r} is not bound to workspace {workspace!r}"
            return Unresolved(NOT_BOUND, message)
        return Unresolved(UNKNOWN_MODEL, f"{target!r} is not known here")

    @functools.cached_property
    def _targets(self) -> frozenset[str]:
        bound = (target for _, target in self.bindings.to_dict())
        services = (SERVICE_PREFIX + name for name in self.services)
        return frozenset([*bound, *services, *self.copies])


EMPTY = Configuration()
