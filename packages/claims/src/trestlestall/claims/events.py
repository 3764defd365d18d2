"""The events that the claims' state machine applies, sent by routers."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Claim:
    """A router asks to run the request of a workspace's idempotency key.

    ``fingerprint`` is the digest of the request, ``attempt`` a name that no other
    attempt of any router bears, now or later.
    """

    workspace: str
    key: str
    fingerprint: str
    attempt: str
    router: str


@dataclasses.dataclass(frozen=True)
class Finish:
    """The attempt ran to its end, with this answer."""

    attempt: str
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Release:
    """The router proves that it never sent the attempt and never will."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class Lookup:
    """A router asks what is on record of a key; no event, it changes nothing.

    ``attempt`` names the request that asks; it holds nothing, then or later.
    """

    workspace: str
    key: str
    fingerprint: str
    attempt: str


Event: typing.TypeAlias = Claim | Finish | Release
