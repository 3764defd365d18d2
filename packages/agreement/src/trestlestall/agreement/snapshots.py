"""Log compaction, and installation of a leader's snapshot."""

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    events,
    exceptions,
    following,
    handlers,
    messages,
    state as state_module,
)


@handlers.EVENTS.register(events.Compact)
def compact(state: state_module.State, event: events.Compact) -> None:
    """Replace the log up to an applied entry by a snapshot of the caller's state.

    An index that a later snapshot already includes is ignored.
    """
    if event.index > state.commit:
        raise exceptions.MisuseError(f"entry {event.index} is not applied")
    if event.index > state.log.snapshot.index:
        state.log.compact(event.index, event.state)


@handlers.MESSAGES.register(messages.InstallRequest)
def receive_install_request(
    state: state_module.State, sender: str, request: messages.InstallRequest
) -> None:
    """Receive a chunk, and install the snapshot with the last one."""
    if not following.accept_leader(state, sender, request.term):
        refusal = messages.AppendResponse(state.term, False, 0, 0)
        state.send(sender, refusal)
        return
    if request.index > state.commit:
        add_chunk(state, request)
    if request.index > state.commit:
        offset = len(state.incoming_snapshot.data)
        answer = messages.InstallResponse(
            state.term, request.index, offset, request.round
        )
    else:
        state.incoming_snapshot = None
        answer = messages.AppendResponse(state.term, True, state.commit, request.round)
    state.send(sender, answer)


def add_chunk(state: state_module.State, request: messages.InstallRequest) -> None:
    """Append the chunk if it is the next one; install a complete snapshot."""
    incoming_snapshot = state.incoming_snapshot
    source = (request.term, request.index)
    if (
        incoming_snapshot is None
        or (incoming_snapshot.leader_term, incoming_snapshot.index) != source
    ):
        incoming_snapshot = state_module.IncomingSnapshot(*source)
        state.incoming_snapshot = incoming_snapshot
    if request.offset == len(incoming_snapshot.data):
        incoming_snapshot.data += request.data
    if len(incoming_snapshot.data) == request.size:
        snapshot = entries_module.Snapshot(
            request.index,
            request.snapshot_term,
            request.voters,
            bytes(incoming_snapshot.data),
        )
        install(state, snapshot)


def install(state: state_module.State, snapshot: entries_module.Snapshot) -> None:
    """Replace the log and the caller's state by the snapshot."""
    state.log.install(snapshot)
    state.commit = snapshot.index
    state.emit(actions.Restore(snapshot))
