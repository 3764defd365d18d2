"""Values equal in shape to those of configuration and membership."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestClass:
    name: str
    tier: int
    target: float
    first_token_target: float | None = None
    idempotent: bool = True
    floor: float = 0.01


@dataclasses.dataclass(frozen=True)
class Capabilities:
    priorities: bool = False
    cancel: bool = False
    resume: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    at: float = 0.0
    running: int = 0
    waiting: int = 0
    tokens_per_second: float = 0.0
    kv_used: float = 0.0
    received_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Upstream:
    name: str
    incarnation: int
    data_centre: str
    address: str
    kind: str = "engine"
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    capabilities: Capabilities = Capabilities()
    slots: int = 1
    report: Report = Report()
