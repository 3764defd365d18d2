"""The configuration of forwarded requests, which an operator declares in one document.

A request is matched by host and path, belongs to a workspace by its key, and goes to
one of the services of its route. All durations are in seconds.
"""

import dataclasses
from collections import abc

from trestlestall.duties import supply


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that gets ``weight`` shares of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True)
class Route:
    """The requests of a host and path prefix, and the targets for them.

    ``idempotent`` requests may run again after a failure. Those of a ``resumable``
    route are streams that another upstream may continue after the last event that the
    caller got. ``attempts`` bounds the upstreams that one request may run on. A lower
    ``tier`` is more urgent. ``first_seconds`` is the target for the answer, or for a
    stream's first event; ``pause_seconds`` is the longest pause between two events of a
    stream within its target. After ``whole_seconds`` the caller gets a final answer in
    any case.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    streams: bool
    idempotent: bool
    resumable: bool
    attempts: int
    tier: int
    public: bool
    first_seconds: float
    whole_seconds: float
    pause_seconds: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a second run after a failure is allowed before any answer byte."""
        return self.idempotent or self.resumable


@dataclasses.dataclass(frozen=True)
class Engine:
    """The declared capacity of a service whose upstreams are model engines.

    ``slots`` requests run at once; prompts and contexts share ``memory_tokens``. A
    prefilled token takes ``token_seconds`` to another engine of the data centre; 0
    where none can be transferred.
    """

    slots: int
    memory_tokens: int
    token_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of equal upstreams; ``connections`` bounds those open to each of them.

    ``scaling`` holds the terms for ordering upstreams, if their number may be changed.
    """

    name: str
    health_path: str
    connections: int
    engine: Engine | None = None
    scaling: supply.Terms | None = None


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer with its keys; ``tier`` orders the requests of equal routes."""

    name: str
    keys: tuple[str, ...]
    tier: int | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller's connection may send, and on its time and idle time."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


DEFAULT_LIMITS = CallerLimits()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete document under the operator's version; the highest is in force."""

    version: int
    routes: tuple[Route, ...] = ()
    services: abc.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = DEFAULT_LIMITS


@dataclasses.dataclass(frozen=True)
class Invalid:
    """Why a document is no valid configuration, in one line for its sender."""

    reason: str
