"""Sending snapshots on the leader, in chunks of bounded size."""

from trestlestall.agreement import (
    handlers,
    leadership,
    messages,
    progress as progress_module,
    state as state_module,
)

#: Heartbeat intervals after which an unanswered chunk is considered lost.
RESEND_AFTER_HEARTBEATS = 2


def is_needed(state: state_module.State, peer: progress_module.Progress) -> bool:
    """Return whether the peer lacks compacted entries and no transfer is running."""
    return peer.transfer is None and peer.next_index < state.log.first_index


def begin(state: state_module.State, name: str, peer: progress_module.Progress) -> None:
    """Start sending the latest snapshot."""
    peer.transfer = progress_module.SnapshotTransfer(state.log.snapshot)
    send_chunk(state, name, peer, 0)


def send_chunk(
    state: state_module.State, name: str, peer: progress_module.Progress, offset: int
) -> None:
    """Send the chunk at the offset."""
    transfer = peer.transfer
    end = offset + state.limits.chunk_bytes
    transfer.offset = offset
    transfer.sent_at = state.now
    send_install_request(state, name, peer, transfer.snapshot.state[offset:end])


def request_offset(
    state: state_module.State, name: str, peer: progress_module.Progress
) -> None:
    """Query the bytes received so far; also the heartbeat of a peer in transfer."""
    send_install_request(state, name, peer, b"")


def send_install_request(
    state: state_module.State, name: str, peer: progress_module.Progress, data: bytes
) -> None:
    """Send the data at the transfer's offset; empty data is a query."""
    snapshot = peer.transfer.snapshot
    request = messages.InstallRequest(
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.voters,
        len(snapshot.state),
        peer.transfer.offset,
        data,
        state.leader_state.round,
    )
    peer.sent_round = state.leader_state.round
    state.send(name, request)


@handlers.MESSAGES.register(messages.InstallResponse)
def receive_install_response(
    state: state_module.State, sender: str, response: messages.InstallResponse
) -> None:
    """Send the next chunk, or resend a lost one.

    A chunk is resent only after ``RESEND_AFTER_HEARTBEATS``, so that a duplicate or
    late response does not double the traffic.
    """
    peer = leadership.record_response(state, sender, response.term, response.round)
    if peer is None or peer.transfer is None:
        return
    transfer = peer.transfer
    if response.index != transfer.snapshot.index:
        return
    lost = (
        state.now - transfer.sent_at >= RESEND_AFTER_HEARTBEATS * state.timing.heartbeat
    )
    if response.offset > transfer.offset or lost:
        send_chunk(state, sender, peer, response.offset)
