"""The RPC messages between nodes; their fields are plain values, for any codec.

The sender's name is transmitted next to each message. ``round`` is the number of the
leader's heartbeat round: a response repeats the round of the request, which proves that
its sender still followed this leader after the round had begun.
"""

import dataclasses

from trestlestall.agreement import entries as entries_module, registry

KINDS = registry.Registry()


@KINDS.register("pre_vote_request")
@dataclasses.dataclass(frozen=True)
class PreVoteRequest:
    """Query whether the receiver would vote for the sender in ``term`` (pre-vote)."""

    term: int
    last_index: int
    last_term: int


@KINDS.register("pre_vote_response")
@dataclasses.dataclass(frozen=True)
class PreVoteResponse:
    """Response to ``PreVoteRequest``.

    ``term`` is the request's term when granted, the receiver's own otherwise.
    """

    term: int
    granted: bool


@KINDS.register("vote_request")
@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Request the receiver's vote in ``term``."""

    term: int
    last_index: int
    last_term: int


@KINDS.register("timeout_now")
@dataclasses.dataclass(frozen=True)
class TimeoutNow:
    """The leader of ``term`` requests that the receiver start an election at once."""

    term: int


@KINDS.register("handover_vote_request")
@dataclasses.dataclass(frozen=True)
class HandoverVoteRequest:
    """A ``VoteRequest`` of an election that the current leader requested.

    It is a separate message type: a voter whose version lacks it ignores it, and an
    ordinary election follows.
    """

    term: int
    last_index: int
    last_term: int


@KINDS.register("vote_response")
@dataclasses.dataclass(frozen=True)
class VoteResponse:
    """Response to a vote request; a granted vote is already durable."""

    term: int
    granted: bool


@KINDS.register("append_request")
@dataclasses.dataclass(frozen=True)
class AppendRequest:
    """Entries after the entry ``(prev_index, prev_term)``; none in a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[entries_module.Entry, ...]
    commit: int
    round: int


@KINDS.register("append_response")
@dataclasses.dataclass(frozen=True)
class AppendResponse:
    """Response to ``AppendRequest`` and to the last ``InstallRequest``.

    If ``matched``, the receiver's durable log equals the leader's up to ``index``.
    Otherwise the receiver lacks the entry ``(prev_index, prev_term)`` of the request,
    and the last entry that both logs may share is at ``index``, with a term of at most
    ``hint_term``.
    """

    term: int
    matched: bool
    index: int
    round: int
    prev_index: int = 0
    hint_term: int = 0


@KINDS.register("install_request")
@dataclasses.dataclass(frozen=True)
class InstallRequest:
    """A chunk of the leader's snapshot; an empty one queries the receiver's offset.

    ``size`` and ``offset`` are in bytes of the snapshot's state.
    """

    term: int
    index: int
    snapshot_term: int
    voters: tuple[str, ...]
    size: int
    offset: int
    data: bytes
    round: int


@KINDS.register("install_response")
@dataclasses.dataclass(frozen=True)
class InstallResponse:
    """Response with the bytes received so far of the snapshot at ``index``."""

    term: int
    index: int
    offset: int
    round: int


@KINDS.register("settle_request")
@dataclasses.dataclass(frozen=True)
class SettleRequest:
    """Query whether the receiver follows the rules of ``quorums``.

    ``index`` is that of the latest voters. A node whose version lacks the message
    ignores it, and the voters remain unsettled.
    """

    term: int
    index: int


@KINDS.register("settle_response")
@dataclasses.dataclass(frozen=True)
class SettleResponse:
    """Confirmation that the sender follows the rules of ``quorums``."""

    term: int
    index: int


@KINDS.register("disk_lost")
@dataclasses.dataclass(frozen=True)
class DiskLost:
    """The sender runs on the host of ``voter``, with another disk.

    It is the response to a message that was addressed to ``voter``, which therefore
    never votes or responds again. The caller checks that the host is the same.
    """

    voter: str


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | TimeoutNow
    | HandoverVoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | InstallRequest
    | InstallResponse
    | SettleRequest
    | SettleResponse
    | DiskLost
)
