"""Optional features of placement; pure.

A feature is used for a service if the settings allow it and the service is large
enough. QoS classes get separate pools of upstreams only where there are enough of them:
a pool of one or two that loses one has lost half of its capacity, and pools of
upstreams with few slots run out of slots before anything else.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Features:
    """The features that the settings allow, each by itself.

    ``keeps_apart`` gives QoS classes pools of their own (``pools``).
    ``refuses_by_forecast`` refuses requests that would begin too late, whether new or
    retried (``shedding.should_refuse_by_forecast``). ``learns_speeds`` estimates each
    upstream's prefill speed from samples and its siblings (``speeds``). A service needs
    ``least_upstreams`` that serve, with ``least_slots`` each.
    """

    keeps_apart: bool = False
    refuses_by_forecast: bool = False
    learns_speeds: bool = False
    least_upstreams: int = 24
    least_slots: int = 32


NONE = Features()


def are_applicable(features: Features, upstreams: int, slots: int) -> bool:
    """Return whether a service with so many upstreams and slots is large enough."""
    return upstreams >= features.least_upstreams and slots >= features.least_slots


def list_allowed(features: Features) -> list[str]:
    """Return the names of the features that the settings allow."""
    return [
        field.name
        for field in dataclasses.fields(Features)
        if getattr(features, field.name) is True
    ]
