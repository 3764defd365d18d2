"""Messages between the system's processes: one frozen data class per message.

A ``token`` correlates an answer with its call and has meaning for the caller alone.
Documents, rows and fields are plain values that their own packages encode and check.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.wire import registry

Fields = abc.Mapping[str, typing.Any]


@registry.register("hello")
@dataclasses.dataclass(frozen=True)
class Hello:
    """The identity that a process claims; ``identity`` is new at each start."""

    name: str
    role: str
    data_centre: str
    identity: str


@registry.register("challenge")
@dataclasses.dataclass(frozen=True)
class Challenge:
    """First message of both sides: identity, and a nonce for the other side to sign."""

    name: str
    role: str
    data_centre: str
    identity: str
    nonce: bytes


@registry.register("proof")
@dataclasses.dataclass(frozen=True)
class Proof:
    """Second message of both sides: the signature over both challenges."""

    signature: bytes


@registry.register("agreement")
@dataclasses.dataclass(frozen=True)
class Agreement:
    """A message between voters; ``kind`` is one of the agreement package."""

    sender: str
    kind: str
    fields: Fields


@registry.register("submit")
@dataclasses.dataclass(frozen=True)
class Submit:
    """An operator's submission, forwarded to a control process."""

    token: int
    document: Fields


@registry.register("submit_answer")
@dataclasses.dataclass(frozen=True)
class SubmitAnswer:
    """The outcome of a submission."""

    token: int
    document: Fields


@registry.register("claim_call")
@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """An event for the claims; ``kind`` is one of the claims package."""

    token: int
    kind: str
    fields: Fields


@registry.register("claim_answer")
@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """The outcome of a ``ClaimCall``."""

    token: int
    kind: str
    fields: Fields


@registry.register("configuration_full")
@dataclasses.dataclass(frozen=True)
class ConfigurationFull:
    """A whole configuration."""

    version: int
    document: Fields


@registry.register("configuration_delta")
@dataclasses.dataclass(frozen=True)
class ConfigurationDelta:
    """The submissions that lead from the version ``since`` to ``version``."""

    since: int
    version: int
    submissions: tuple[Fields, ...]


@registry.register("configuration_ack")
@dataclasses.dataclass(frozen=True)
class ConfigurationAck:
    """The version that is in force on a router."""

    router: str
    version: int


@registry.register("configuration_pull")
@dataclasses.dataclass(frozen=True)
class ConfigurationPull:
    """A router at this version requests the versions after it."""

    version: int


@registry.register("upstream_rows")
@dataclasses.dataclass(frozen=True)
class UpstreamRows:
    """Rows of the sender's table of upstreams."""

    router: str
    rows: tuple[typing.Any, ...]


@registry.register("upstream_pull")
@dataclasses.dataclass(frozen=True)
class UpstreamPull:
    """A request for whole rows, by the keys of renewals that the sender can't match."""

    router: str
    keys: tuple[bytes, ...]


@registry.register("pressure")
@dataclasses.dataclass(frozen=True)
class Pressure:
    """The lowest tier under pressure at one router, by model."""

    router: str
    sequence: int
    levels: abc.Mapping[str, int]


@registry.register("status_call")
@dataclasses.dataclass(frozen=True)
class StatusCall:
    """A request for a process's status."""

    token: int


@registry.register("status_answer")
@dataclasses.dataclass(frozen=True)
class StatusAnswer:
    """A process's status."""

    token: int
    document: Fields


@registry.register("not_understood")
@dataclasses.dataclass(frozen=True)
class NotUnderstood:
    """The message ``name`` is not known to the sender, which speaks ``version``."""

    name: str
    version: int
