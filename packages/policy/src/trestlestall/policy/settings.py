"""The policy's settings, all with defaults that the design notes argue for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Settings:
    """Bounds and rates of the policy. Times are in seconds.

    ``router`` prefixes the names of attempts, so that those of two routers differ.
    """

    router: str = "router"
    claim_timeout: float = 1.0


DEFAULT = Settings()
