"""The data model of placement: orders, engines, wanted models, demand.

All of it is plain immutable data. Times are in seconds on the caller's clock, rates in
tokens a second.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import model as configuration_model
from trestlestall.membership import upstreams

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"
#: The tier that is assumed where demand names none; it comes after all others.
LOWEST_TIER = 1_000_000

#: ``(engine, model)`` or ``(data centre, model)``.
Place: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Order:
    """What an engine is to do: ``load`` or ``unload`` weights, or assume a ``role``."""

    kind: typing.Literal["load", "unload", "role"]
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    @property
    def target(self) -> str:
        """The name of the weights that are loaded or unloaded."""
        return self.adapter or self.model

    @property
    def weights(self) -> str:
        """The name of the weights with their version."""
        return name_weights(self.target, self.version)


@dataclasses.dataclass(frozen=True)
class Engine:
    """An engine as routers saw it a moment ago.

    ``versions`` maps its models to their version where that is known. ``usable`` is
    false for a suspect engine. ``load`` counts running and waiting requests.
    """

    name: str
    incarnation: int
    data_centre: str
    models: tuple[str, ...] = ()
    versions: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    checks_fencing: bool = False
    usable: bool = True
    load: int = 0


@dataclasses.dataclass(frozen=True)
class Wanted:
    """A model that should be loaded: copies per data centre, and its version.

    ``bound`` says that some workspace is bound to it, so that it may be requested.
    """

    model: str
    copies: int
    bound: bool = False
    version: str = ""

    @property
    def weights(self) -> str:
        """The name of the weights with their version."""
        return name_weights(self.model, self.version)


@dataclasses.dataclass(frozen=True)
class Desired:
    """What operators want: models by name, and engines that are drained.

    Only ``managed`` models are ever loaded or unloaded; None stands for all models.
    """

    wanted: abc.Mapping[str, Wanted] = dataclasses.field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    managed: frozenset[str] | None = None

    def manages(self, name: str) -> bool:
        """Return whether the model may be loaded and unloaded."""
        return self.managed is None or name in self.managed

    def allows(self, order: Order) -> bool:
        """Return whether the order may be sent.

        A model with zero wanted copies isn't loaded; a role concerns no model.
        """
        if order.kind == ROLE:
            return True
        wanted = self.wanted.get(order.model)
        unwanted = wanted is not None and not wanted.copies
        return self.manages(order.model) and not (order.kind == LOAD and unwanted)


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """The requested tokens a second of a model in a data centre, and the lowest tier.

    The lowest tier is the most urgent one.
    """

    tokens_per_second: float
    tier: int = LOWEST_TIER


#: Demand by ``(data centre, model)``.
Demand: typing.TypeAlias = abc.Mapping[Place, ModelDemand]


def name_weights(target: str, version: str) -> str:
    """Return the name under which loads of a version are counted.

    >>> name_weights("m1", "v2")
    'm1@v2'
    """
    return f"{target}@{version}"


def make_engine(
    upstream: upstreams.Upstream,
    versions: abc.Mapping[str, str],
    usable: bool = True,
) -> Engine:
    """Return the engine of an announcement and of the versions it last reported."""
    return Engine(
        name=upstream.name,
        incarnation=upstream.incarnation,
        data_centre=upstream.data_centre,
        models=upstream.models,
        versions=dict(versions),
        checks_fencing=upstream.capabilities.checks_fencing,
        usable=usable,
        load=upstream.report.running + upstream.report.waiting,
    )


def derive_desired(
    configuration: configuration_model.Configuration,
    versions: abc.Mapping[str, str],
) -> Desired:
    """Return what a configuration asks for.

    Only models that an operator declared copies for are managed; one with zero copies
    is never loaded. A bound model without declared copies is neither loaded nor
    unloaded, and the last engine that serves it is not drained. ``versions`` are those
    of completed rollouts; a model without one is loaded by its name alone.
    """
    prefix = configuration_model.SERVICE_PREFIX
    targets = {target for _, target in configuration.bindings}
    bound = {target for target in targets if not target.startswith(prefix)}
    wanted = {}
    for name in sorted(bound | set(configuration.copies)):
        declared = configuration.copies.get(name)
        copies = declared.copies if declared is not None else 1
        wanted[name] = Wanted(name, copies, name in bound, versions.get(name, ""))
    return Desired(wanted, configuration.drained, frozenset(configuration.copies))
