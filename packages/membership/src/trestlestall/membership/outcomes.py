"""Values that the table answers with."""

import dataclasses
import enum


class State(enum.StrEnum):
    """Where an upstream stands in the table.

    A drained upstream stays ``live`` here: draining is configuration, not membership.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEFT = "left"
    EXPIRED = "expired"


class Reason(enum.StrEnum):
    """Why an upstream changed, or why it was not taken in."""

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
    """One upstream moved to a state, or was refused (``taken`` is then false).

    ``held_until`` (seconds, the router's clock) is above 0 when the upstream has been
    flapping and gets no new work before that time.
    """

    name: str
    incarnation: int
    state: State
    reason: Reason
    taken: bool = True
    held_until: float = 0.0


@dataclasses.dataclass(frozen=True)
class Renewed:
    """The lease runs for another ``lease`` seconds from now."""

    lease: float


@dataclasses.dataclass(frozen=True)
class UnknownUpstream:
    """This name and incarnation is not known here: the upstream announces again."""

    name: str


@dataclasses.dataclass(frozen=True)
class Malformed:
    """A document from outside that can't be taken in; ``reason`` names the place."""

    reason: str
