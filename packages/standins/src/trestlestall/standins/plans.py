"""Plans of deployments."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EnginePlan:
    """An engine to start; ``options`` are additional arguments of its program."""

    name: str
    data_centre: str = "a"
    models: tuple[str, ...] = ("m1",)
    options: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class ServicePlan:
    """A plain service to start; ``service`` is the name that callers use."""

    name: str
    service: str
    data_centre: str = "a"


@dataclasses.dataclass(frozen=True)
class Plan:
    """A deployment. Control voters are assigned to the data centres round-robin."""

    data_centres: tuple[str, ...] = ("a", "b")
    controls: int = 1
    routers_per_data_centre: int = 1
    engines: tuple[EnginePlan, ...] = ()
    services: tuple[ServicePlan, ...] = ()
    weight_store: bool = False
    limits: tuple[tuple[str, int], ...] = ()
