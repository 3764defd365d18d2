"""Compaction of the log, and the taking over of a leader's snapshot."""

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
    """Replace the log up to an applied entry by the caller's state.

    An index that a newer snapshot covers already is passed over.
    """
    if event.index > state.commit:
        raise exceptions.MisuseError(f"entry {event.index} is not applied")
    if event.index > state.log.snapshot.index:
        state.log.compact(event.index, event.state)


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
    wanted = (request.term, request.index)
    if incoming is None or (incoming.leader_term, incoming.index) != wanted:
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
