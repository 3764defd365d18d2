"""The policy's inputs: arriving requests, and the router's view of its data centre."""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import model
from trestlestall.membership import upstreams as membership

PREFIX = model.SERVICE_PREFIX


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One caller's request as it arrives at the router.

    ``target`` is a model, an adapter, or ``service:NAME``. ``weight`` is the
    workspace's share within a tier. ``prefix`` identifies the start of the prompt, for
    instance by a digest; it is empty when unknown. ``now`` is the time of arrival in
    seconds. With ``stream``, each token is forwarded to the caller as it arrives;
    otherwise nothing reaches the caller before the answer is complete, so that a broken
    attempt can still be replaced.
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
    """The router's current view of its data centre.

    ``upstreams`` holds only live upstreams, none that is suspect, has left or has
    expired. Pass the same tuple object while nothing changes: the policy indexes each
    new one. ``pressure`` maps a target to the most urgent (lowest) tier under pressure
    at any peer router. ``drained`` holds the names of drained upstreams. ``routers``
    counts the live routers of the data centre, this one included.
    """

    upstreams: tuple[membership.Upstream, ...] = ()
    pressure: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    routers: int = 1


def list_targets(upstream: membership.Upstream) -> typing.Iterator[str]:
    """Yield each target under which requests can reach the upstream.

    A plain service lists its service names as ``models``.
    """
    names = (*upstream.models, *upstream.adapters)
    if upstream.kind != membership.SERVICE:
        yield from names
        return
    for name in names:
        yield name if name.startswith(PREFIX) else PREFIX + name
