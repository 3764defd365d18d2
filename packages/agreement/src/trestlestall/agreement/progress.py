"""The leader's view of the replication progress of one peer."""

import collections
import dataclasses

from trestlestall.agreement import entries as entries_module


@dataclasses.dataclass
class SnapshotTransfer:
    """A snapshot transfer to a peer; ``offset`` is the start of the last chunk sent."""

    snapshot: entries_module.Snapshot
    offset: int = 0
    sent_at: float = 0.0


@dataclasses.dataclass
class Progress:
    """The replication progress of one peer.

    While ``probing``, the leader sends one batch and waits for its response
    (``paused``); afterwards batches are pipelined, and ``inflight`` holds the last
    index of each unacknowledged one. ``round`` is the latest round that the peer
    answered, ``sent_round`` the latest that was sent to it.
    """

    next_index: int
    last_contact: float
    match_index: int = 0
    probing: bool = True
    paused: bool = False
    inflight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    round: int = 0
    sent_round: int = 0
    transfer: SnapshotTransfer | None = None


def advance(peer: Progress, index: int) -> None:
    """Record that the peer's durable log matches the leader's up to the index."""
    peer.match_index = max(peer.match_index, index)
    if peer.transfer is not None:
        if peer.match_index < peer.transfer.snapshot.index:
            return
        peer.transfer = None
        peer.probing = True
    if peer.probing:
        peer.next_index = peer.match_index + 1
        restart_window(peer, probing=False)
    peer.next_index = max(peer.next_index, peer.match_index + 1)
    while peer.inflight and peer.inflight[0] <= peer.match_index:
        peer.inflight.popleft()


def restart_window(peer: Progress, probing: bool) -> None:
    """Clear the window of in-flight batches."""
    peer.probing = probing
    peer.paused = False
    peer.inflight = collections.deque()
