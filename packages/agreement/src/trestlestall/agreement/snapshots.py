"""Snapshots: compaction of the log, and the transfer to a peer that needs one."""

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    events,
    exceptions,
    following,
    handlers,
    messages,
    replication,
    state as state_module,
)


@handlers.EVENTS.register(events.Compact)
def compact(state: state_module.State, event: events.Compact) -> None:
    """Replace the log up to an applied entry by the caller's state.

    An index that a newer snapshot covers already is passed over.
    """
    if event.index > state.commit:
        raise exceptions.MisuseError(f"entry {event.index} is not applied")
    if event.index > state.log.snapshot.index:
        state.log.compact(event.index, event.state)


def begin_transfer(
    state: state_module.State, name: str, peer: state_module.Progress
) -> None:
    """Begin to send the snapshot: the entries that the peer lacks are compacted."""
    peer.transfer = state_module.Transfer(state.log.snapshot)
    send_chunk(state, name, peer, 0)


def send_chunk(
    state: state_module.State, name: str, peer: state_module.Progress, offset: int
) -> None:
    """Send the chunk at the offset."""
    transfer = peer.transfer
    end = offset + state.limits.chunk_bytes
    transfer.offset = offset
    transfer.sent_at = state.now
    send_part(state, name, peer, transfer.snapshot.state[offset:end])


def ask_offset(
    state: state_module.State, name: str, peer: state_module.Progress
) -> None:
    """Ask how much has arrived; also the heartbeat of a peer in transfer."""
    send_part(state, name, peer, b"")


def send_part(
    state: state_module.State, name: str, peer: state_module.Progress, data: bytes
) -> None:
    """Send data that stands at the transfer's offset."""
    snapshot = peer.transfer.snapshot
    request = messages.InstallRequest(
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.voters,
        len(snapshot.state),
        peer.transfer.offset,
        data,
        state.lead.round,
    )
    peer.sent_round = state.lead.round
    state.send(name, request)


@handlers.MESSAGES.register(messages.InstallResponse)
def receive_install_response(
    state: state_module.State, sender: str, response: messages.InstallResponse
) -> None:
    """Send the next chunk, or a chunk again that was lost.

    A chunk is taken for lost two heartbeats after it was sent.
    """
    peer = replication.note_answer(state, sender, response.term, response.round)
    if peer is None or peer.transfer is None:
        return
    transfer = peer.transfer
    if response.index != transfer.snapshot.index:
        return
    lost = state.now - transfer.sent_at >= 2 * state.timing.heartbeat
    if response.offset > transfer.offset or lost:
        send_chunk(state, sender, peer, response.offset)


@handlers.MESSAGES.register(messages.InstallRequest)
def receive_install_request(
    state: state_module.State, sender: str, request: messages.InstallRequest
) -> None:
    """Take a chunk, and the whole snapshot with the last one."""
    if not following.accept_leader(state, sender, request.term):
        refusal = messages.AppendResponse(state.term, False, 0, 0)
        state.send(sender, refusal)
        return
    if request.index > state.commit:
        take_chunk(state, request)
    if request.index > state.commit:
        offset = len(state.incoming.data)
        answer = messages.InstallResponse(
            state.term, request.index, offset, request.round
        )
    else:
        state.incoming = None
        answer = messages.AppendResponse(state.term, True, state.commit, request.round)
    state.send(sender, answer)


def take_chunk(state: state_module.State, request: messages.InstallRequest) -> None:
    """Add the chunk if it continues what has arrived; install once it is whole."""
    incoming = state.incoming
    wanted = (request.index, request.snapshot_term)
    if incoming is None or (incoming.index, incoming.term) != wanted:
        incoming = state_module.Incoming(*wanted)
        state.incoming = incoming
    if request.offset == len(incoming.data):
        incoming.data += request.data
    if len(incoming.data) == request.size:
        snapshot = entries_module.Snapshot(
            request.index,
            request.snapshot_term,
            request.voters,
            bytes(incoming.data),
        )
        install(state, snapshot)


def install(state: state_module.State, snapshot: entries_module.Snapshot) -> None:
    """Replace log and state by the snapshot."""
    state.log.install(snapshot)
    state.commit = snapshot.index
    state.emit(actions.Restore(snapshot))
