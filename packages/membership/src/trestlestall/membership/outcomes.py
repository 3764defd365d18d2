"""Results of the table's operations."""

import dataclasses
import enum


class State(enum.StrEnum):
    """The state of an upstream in the table.

    A drained upstream stays ``live``: draining is configuration, not membership.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEFT = "left"
    EXPIRED = "expired"


class Reason(enum.StrEnum):
    """Why an upstream changed state, or why its announcement was refused."""

    ANNOUNCED = "announced"
    RESTARTED = "restarted"
    CHANGED = "changed"
    RETURNED = "returned"
    REFUSED_CONNECTION = "refused_connection"
    LEASE_ENDED = "lease_ended"
    LEFT = "left"
    IGNORED_OLD = "ignored_old_incarnation"
    IGNORED_LEFT = "ignored_after_leaving"
    TABLE_FULL = "table_full"


@dataclasses.dataclass(frozen=True)
class Change:
    """A transition of one upstream, or a refused announcement (``taken`` is false).

    ``held_until`` (seconds, by the router's clock) is above 0 for an upstream that has
    been flapping and gets no new work before that time.
    """

    name: str
    incarnation: int
    state: State
    reason: Reason
    taken: bool = True
    held_until: float = 0.0


@dataclasses.dataclass(frozen=True)
class Renewed:
    """The lease was renewed for ``lease`` seconds from now."""

    lease: float


@dataclasses.dataclass(frozen=True)
class UnknownUpstream:
    """This name and incarnation is unknown here; the upstream must announce again."""

    name: str


@dataclasses.dataclass(frozen=True)
class Malformed:
    """A received document that is invalid; ``reason`` holds the path of the error."""

    reason: str
