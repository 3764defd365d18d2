"""What the policy is told of the world: requests that arrive, and upstreams in view."""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import model
from trestlestall.membership import upstreams as membership

PREFIX = model.SERVICE_PREFIX


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One caller's request as it reaches the router.

    ``target`` is a model, an adapter, or ``service:NAME``. ``weight`` is the
    workspace's share within a tier. ``prefix`` names the start of the prompt, such as a
    digest; empty when unknown. ``now`` is when the request arrived, in seconds.
    ``stream`` says that each token goes to the caller as it comes; otherwise nothing
    reaches the caller before the answer is whole, so that a broken attempt can still be
    replaced.
    """

    request: str
    workspace: str
    weight: float
    target: str
    request_class: model.RequestClass
    prompt_tokens: int
    max_tokens: int
    prefix: str
    now: float
    stream: bool = True

    @property
    def tier(self) -> int:
        """The tier of the request's class; 0 is the most urgent."""
        return self.request_class.tier


@dataclasses.dataclass(frozen=True)
class View:
    """What the router knows of its data centre at this moment.

    ``upstreams`` holds only live upstreams: suspect, left and expired ones are not in
    it. Hand in the same tuple object while nothing changed, since the policy indexes a
    tuple that it has not seen. ``pressure`` maps a model to the lowest tier number
    under pressure at any peer router. ``drained`` holds names of upstreams. ``routers``
    counts the live routers of the data centre, this one included.
    """

    upstreams: tuple[membership.Upstream, ...] = ()
    pressure: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    routers: int = 1


def list_targets(upstream: membership.Upstream) -> typing.Iterator[str]:
    """Yield each target that requests may name to reach the upstream.

    A plain service lists its service names as ``models``.
    """
    names = (*upstream.models, *upstream.adapters)
    if upstream.kind != membership.SERVICE:
        yield from names
        return
    for name in names:
        yield name if name.startswith(PREFIX) else PREFIX + name
