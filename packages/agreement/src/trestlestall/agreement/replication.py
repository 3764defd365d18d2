"""Log replication on the leader: batches, heartbeats and their responses."""

from trestlestall.agreement import (
    entries as entries_module,
    handlers,
    leadership,
    messages,
    progress as progress_module,
    snapshot_transfers,
    state as state_module,
)


def send_due(state: state_module.State) -> None:
    """Send each peer its missing entries, and a heartbeat if a round was requested.

    A round requested by a read reaches all peers too, so it restarts the heartbeat
    interval.
    """
    leader_state = state.leader_state
    if leader_state.round_requested:
        leader_state.heartbeat_at = state.now + state.timing.heartbeat
        leader_state.round += 1
        leader_state.round_requested = False
    for name, peer in leader_state.progress.items():
        send_entries(state, name, peer)
        if peer.sent_round < leader_state.round:
            send_heartbeat(state, name, peer)


def send_entries(
    state: state_module.State, name: str, peer: progress_module.Progress
) -> None:
    """Send batches while the peer lacks entries and its in-flight window isn't full."""
    if snapshot_transfers.is_needed(state, peer):
        snapshot_transfers.begin(state, name, peer)
    if peer.transfer is not None or peer.paused:
        return
    while peer.next_index <= state.log.last_index:
        if len(peer.inflight) >= state.limits.inflight or peer.paused:
            return
        limits = state.limits
        batch = state.log.slice_entries(
            peer.next_index, limits.batch_entries, limits.batch_bytes
        )
        send_append(state, name, peer, batch)
        if peer.probing:
            peer.paused = True
        else:
            peer.next_index += len(batch)
            peer.inflight.append(peer.next_index - 1)


def send_heartbeat(
    state: state_module.State, name: str, peer: progress_module.Progress
) -> None:
    """Send the round without entries; the response shows which entries are missing."""
    if peer.transfer is not None:
        snapshot_transfers.request_offset(state, name, peer)
    else:
        send_append(state, name, peer, ())


def send_append(
    state: state_module.State,
    name: str,
    peer: progress_module.Progress,
    batch: tuple[entries_module.Entry, ...],
) -> None:
    """Send the batch, which starts at the peer's next index."""
    prev_index = peer.next_index - 1
    request = messages.AppendRequest(
        state.term,
        prev_index,
        state.log.get_term(prev_index),
        batch,
        state.commit,
        state.leader_state.round,
    )
    peer.sent_round = state.leader_state.round
    state.send(name, request)


@handlers.MESSAGES.register(messages.AppendResponse)
def receive_append_response(
    state: state_module.State, sender: str, response: messages.AppendResponse
) -> None:
    """Advance the peer's progress, or step back to where the logs may match."""
    peer = leadership.record_response(state, sender, response.term, response.round)
    if peer is None:
        return
    if response.matched:
        progress_module.advance(peer, response.index)
    else:
        step_back(state, peer, response)


def step_back(
    state: state_module.State,
    peer: progress_module.Progress,
    response: messages.AppendResponse,
) -> None:
    """Probe again from the last entry that both logs may share.

    A rejection of entries that the peer has matched since, or of an earlier probe, is
    stale and ignored.
    """
    if response.prev_index <= peer.match_index or peer.transfer is not None:
        return
    if peer.probing and response.prev_index != peer.next_index - 1:
        return
    common = state.log.find_common(response.index, response.hint_term)
    peer.next_index = max(common, peer.match_index) + 1
    progress_module.restart_window(peer, probing=True)
