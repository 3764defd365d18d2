"""Messages between the nodes; plain fields, so that any codec carries them.

The sender's name travels beside each message. ``round`` numbers the leader's rounds:
an answer repeats the round of the request, which proves that the sender still followed
this leader after the round had begun.
"""

import dataclasses

from trestlestall.agreement import entries as entries_module, registry

KINDS = registry.Registry()


@KINDS.register("pre_vote_request")
@dataclasses.dataclass(frozen=True)
class PreVoteRequest:
    """Ask whether the receiver would vote for the sender in ``term``."""

    term: int
    last_index: int
    last_term: int


@KINDS.register("pre_vote_response")
@dataclasses.dataclass(frozen=True)
class PreVoteResponse:
    """Answer to ``PreVoteRequest``.

    ``term`` is the request's term when granted, the receiver's own otherwise.
    """

    term: int
    granted: bool


@KINDS.register("vote_request")
@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Ask for the receiver's vote in ``term``."""

    term: int
    last_index: int
    last_term: int


@KINDS.register("timeout_now")
@dataclasses.dataclass(frozen=True)
class TimeoutNow:
    """The leader of ``term`` asks the receiver to stand for election at once."""

    term: int


@KINDS.register("handover_vote_request")
@dataclasses.dataclass(frozen=True)
class HandoverVoteRequest:
    """A ``VoteRequest`` that the present leader asked the sender to make.

    A kind of its own: a voter of a version without it passes it over, and an ordinary
    election follows.
    """

    term: int
    last_index: int
    last_term: int


@KINDS.register("vote_response")
@dataclasses.dataclass(frozen=True)
class VoteResponse:
    """Answer to a request for a vote; a granted vote is already durable."""

    term: int
    granted: bool


@KINDS.register("append_request")
@dataclasses.dataclass(frozen=True)
class AppendRequest:
    """Entries that follow the entry ``(prev_index, prev_term)``; empty: a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[entries_module.Entry, ...]
    commit: int
    round: int


@KINDS.register("append_response")
@dataclasses.dataclass(frozen=True)
class AppendResponse:
    """Answer to ``AppendRequest`` and to the last ``InstallRequest``.

    When ``matched``, the receiver's durable log equals the leader's up to ``index``.
    Otherwise it lacks the entry ``(prev_index, prev_term)`` of the request, and the
    last entry that may be common is at ``index`` with a term of at most ``hint_term``.
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
    """A chunk of the leader's snapshot; an empty one asks how much has arrived.

    ``size`` and ``offset`` count bytes of the snapshot's state.
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
    """How many bytes of the snapshot at ``index`` the receiver holds."""

    term: int
    index: int
    offset: int
    round: int


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
)
