"""Orders to an engine, each with a fencing token.

Pure. An engine that checks fencing tokens refuses an order with a lower token than the
highest one received, and answers a duplicate of an accepted order with ``Repeated``. An
engine that does not check them executes every order.
"""

import dataclasses
import typing

KINDS = ("load", "unload", "role")
LOADING = "loading"
LOADED = "loaded"
FAILED = "failed"
MAX_RECORDED_ORDERS = 1000


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to load or unload a model or adapter, or to change the role."""

    fence: int
    kind: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    @property
    def target(self) -> str:
        """The name of the adapter or model to load or unload."""
        return self.adapter or self.model


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The body is not a valid order; ``message`` says why."""

    message: str


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The order is executed."""


@dataclasses.dataclass(frozen=True)
class Repeated:
    """The order was accepted before and is not executed again."""


@dataclasses.dataclass(frozen=True)
class Stale:
    """The order's token is lower than ``highest``; it is not executed."""

    highest: int


Verdict = Accepted | Repeated | Stale


def read(document: dict | None) -> Order | Malformed:
    """Return the order of a request's body, or what is wrong with it."""
    if document is None:
        return Malformed("the body must be a JSON object")
    fence = document.get("fence")
    if not isinstance(fence, int) or isinstance(fence, bool):
        return Malformed("fence must be an integer")
    kind = document.get("order")
    if kind not in KINDS:
        return Malformed(f"order must be one of {', '.join(KINDS)}")
    names = ("model", "adapter", "version", "role")
    fields = {name: document.get(name) or "" for name in names}
    if not all(isinstance(value, str) for value in fields.values()):
        return Malformed("model, adapter, version and role must be text")
    order = Order(fence, kind, **fields)
    if kind == "role":
        return order if order.role else Malformed("role must be text")
    return order if order.target else Malformed("model or adapter must be text")


class OrderLog:
    """The orders that an engine accepted, the newest last."""

    def __init__(self, checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.highest = 0
        self.accepted: list[Order] = []

    def receive(self, order: Order) -> Verdict:
        """Check an order, record it if it is accepted, and return the verdict."""
        if self.checks_fencing and order.fence < self.highest:
            return Stale(self.highest)
        if self.checks_fencing and order in self.accepted:
            return Repeated()
        self.highest = max(self.highest, order.fence)
        self.accepted = [*self.accepted, order][-MAX_RECORDED_ORDERS:]
        return Accepted()

    def describe(self) -> list[dict[str, typing.Any]]:
        """Return the accepted orders as JSON-serialisable documents."""
        return [dataclasses.asdict(order) for order in self.accepted]
