"""Commands that change the set of control voters, but not the configuration."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AddVoter:
    """Add a control voter that listens to its peers at an address, ``host:port``."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True)
class RemoveVoter:
    """Remove a control voter."""

    name: str
