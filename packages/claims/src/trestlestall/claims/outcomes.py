"""What becomes of an event. Only ``Granted`` lets a router send the request."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Granted:
    """The attempt holds the key, and alone may run."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class Held:
    """Another attempt holds the key, through this router; its result is not known."""

    router: str


@dataclasses.dataclass(frozen=True)
class Finished:
    """The request ran to its end. ``body`` is ``None`` when the answer is not kept.

    An answer is not kept when it is longer than ``claims.ANSWER_LIMIT``, older than
    ``claims.ANSWER_RETENTION`` or pushed out by newer ones.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Mismatch:
    """The key was used for another request, or the attempt for another key."""


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The finish or the release is on record."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The attempt holds no key: it expired, was released, or was never granted."""


@dataclasses.dataclass(frozen=True)
class Absent:
    """Nobody holds the key: no attempt under it was sent, as far as is committed."""


Outcome: typing.TypeAlias = (
    Granted | Held | Finished | Mismatch | Recorded | Unknown | Absent
)
