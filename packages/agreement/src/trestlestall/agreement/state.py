"""The mutable state of one node, shared by the modules of the protocol."""

import dataclasses
import enum
import math
import random
import typing

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    log as log_module,
    messages,
    progress as progress_module,
    timing as timing_module,
)

NOTHING = actions.Persist(None, None, ())


class Role(enum.Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class PendingRead:
    """A read that waits for a quorum to confirm ``round`` and for ``index``."""

    token: typing.Hashable
    index: int
    round: int


@dataclasses.dataclass
class Change:
    """The membership change in progress; ``index`` is its entry, once appended.

    The learner catches up in rounds: the current round began at ``since``, and the
    learner must reach ``target``, the last index of the log at that time.
    """

    token: typing.Hashable
    add: str | None
    remove: str | None
    target: int
    since: float
    index: int | None = None


@dataclasses.dataclass
class Settling:
    """The settlement in progress of the voters as of the entry ``index``.

    ``confirmed`` are the voters known to follow the rules of ``quorums``;
    ``asked_round`` is the latest round in which the others were asked.
    """

    index: int
    asked_round: int = -1
    confirmed: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Handover:
    """A leadership transfer in progress since the time ``since``.

    ``asked`` maps each voter that was sent ``TimeoutNow`` to the time of the last one.
    None is sent before ``next_request_at``.
    """

    since: float
    next_request_at: float = -math.inf
    asked: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class LeaderState:
    """The volatile state of a leader.

    ``first_index`` is the index of its first entry, ``pending`` maps indexes of entries
    to the tokens of their proposals, and ``uncommitted_bytes`` is the total payload of
    its own entries that wait for a quorum.
    """

    first_index: int
    heartbeat_at: float
    progress: dict[str, progress_module.Progress] = dataclasses.field(
        default_factory=dict
    )
    pending: dict[int, typing.Hashable] = dataclasses.field(default_factory=dict)
    uncommitted_bytes: int = 0
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    round: int = 0
    round_requested: bool = False
    change: Change | None = None
    settling: Settling | None = None
    handover: Handover | None = None


@dataclasses.dataclass
class IncomingSnapshot:
    """The chunks received so far of a snapshot from the leader of a term.

    Two leaders may serialize the same state to different bytes, so chunks of different
    leaders are never combined.
    """

    leader_term: int
    index: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass
class State:
    """The complete state of one node; times are seconds of a monotonic clock.

    ``voter`` is the node's own name. ``has_known_leader`` is whether any leader has
    been known since the start. ``leader_state`` is None unless the node leads.
    ``lost_voters`` are those known to have lost their disks, and ``excluded_voters``
    the ones of them that were known when the node's latest election began.
    """

    voter: str
    timing: timing_module.Timing
    limits: timing_module.Limits
    random: random.Random
    log: log_module.Log
    vote: entries_module.Vote
    commit: int
    now: float | None = None
    role: Role = Role.FOLLOWER
    leader: str | None = None
    has_known_leader: bool = False
    last_leader_contact: float | None = None
    election_deadline: float = 0.0
    votes_granted: set[str] = dataclasses.field(default_factory=set)
    votes_denied: set[str] = dataclasses.field(default_factory=set)
    lost_voters: set[str] = dataclasses.field(default_factory=set)
    excluded_voters: frozenset[str] = frozenset()
    leader_state: LeaderState | None = None
    incoming_snapshot: IncomingSnapshot | None = None
    vote_unsaved: bool = False
    outbox: list[actions.Action] = dataclasses.field(default_factory=list)

    @property
    def term(self) -> int:
        """The latest term that this node has seen."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter in the latest configuration of its log."""
        return self.voter in self.log.voters

    @property
    def other_leader(self) -> str | None:
        """The leader to redirect a caller to; None if unknown or this node itself."""
        return self.leader if self.leader != self.voter else None

    def set_vote(self, term: int, voted_for: str | None) -> None:
        """Change term and vote; they are persisted before any later action."""
        self.vote = entries_module.Vote(term, voted_for)
        self.vote_unsaved = True

    def emit(self, action: actions.Action) -> None:
        """Append an action to those of this step."""
        self.outbox.append(action)

    def send(self, to: str, message: messages.Message) -> None:
        """Emit an action that sends the message."""
        self.emit(actions.Send(to, message))

    def drain_actions(self) -> list[actions.Action]:
        """Return and clear the pending actions, those that persist first."""
        emitted = self._drain_persists()
        emitted += self.outbox
        self.outbox = []
        return emitted

    def has_actions(self) -> bool:
        """Return whether any change is to be persisted or any action is pending."""
        return bool(self.outbox) or self.vote_unsaved or self.log.has_unsaved()

    def _drain_persists(self) -> list[actions.Action]:
        """Return the actions that persist all changes since the last call."""
        vote = self.vote if self.vote_unsaved else None
        self.vote_unsaved = False
        unsaved = self.log.drain_unsaved()
        if unsaved.snapshot is None:
            persist = actions.Persist(vote, unsaved.truncate_from, unsaved.entries)
            return [persist] if persist != NOTHING else []
        emitted: list[actions.Action] = []
        if vote is not None:
            emitted.append(actions.Persist(vote, None, ()))
        emitted.append(actions.PersistSnapshot(unsaved.snapshot, unsaved.entries))
        return emitted
