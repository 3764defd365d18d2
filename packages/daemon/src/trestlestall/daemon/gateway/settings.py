"""What a gateway is told at its start."""

import dataclasses

from trestlestall.forwarding import budgets


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Addresses are ``IP:port``; durations in seconds.

    ``directories`` are the first directories to ask; they tell of the others.
    ``peers`` is where links from other processes are taken. ``grace_seconds`` is the
    time between the request to stop and the kill. ``retries`` bounds repeated sends
    over all gateways together.
    """

    name: str
    data_centre: str
    callers: str
    platform: str
    peers: str
    secret: str = dataclasses.field(repr=False)
    directories: tuple[str, ...] = ()
    grace_seconds: float = 8.0
    retries: budgets.Bound = budgets.Bound(0.2, 20.0, 10.0)
