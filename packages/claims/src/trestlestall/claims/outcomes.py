"""Outcomes of events and lookups. Only ``Granted`` lets a router send the request."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Granted:
    """The attempt holds the key: it may run, and no other may."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class Held:
    """Another attempt, of ``router``, holds the key; its result is not known yet."""

    router: str


@dataclasses.dataclass(frozen=True)
class Finished:
    """The request finished. ``body`` is ``None`` if the answer is not retained.

    An answer is not retained if it is longer than ``claims.ANSWER_LIMIT_BYTES``, older
    than ``claims.ANSWER_RETENTION_SECONDS`` or evicted by newer ones.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Mismatch:
    """The key was used for another request, or the attempt for another key."""


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The finish or the release is recorded."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The attempt holds no key: it expired, was released, or was never granted."""


@dataclasses.dataclass(frozen=True)
class Absent:
    """No attempt holds the key: none was sent under it, as of the committed log."""


Outcome: typing.TypeAlias = (
    Granted | Held | Finished | Mismatch | Recorded | Unknown | Absent
)
