"""Linearizable reads by read-index; they don't rely on clocks.

The read index is the larger of the commit index when the read was requested and the
index of the leader's no-op entry: every entry committed before then is at or below it,
provided that the leader had not been deposed by then. The proof of that is a heartbeat
round that began after the read was requested and that a quorum answered in this term.
"""

from trestlestall.agreement import (
    actions,
    events,
    handlers,
    quorums,
    state as state_module,
)


@handlers.EVENTS.register(events.Read)
def read(state: state_module.State, event: events.Read) -> None:
    """Record the read and request a round, which all reads of one step share."""
    leader_state = state.leader_state
    if leader_state is None:
        state.emit(actions.ReadRefused(event.token, state.leader))
        return
    index = max(state.commit, leader_state.first_index)
    pending = state_module.PendingRead(event.token, index, leader_state.round + 1)
    leader_state.reads.append(pending)
    leader_state.round_requested = True


def answer_reads(state: state_module.State) -> None:
    """Answer the reads whose round is confirmed and whose index is applied."""
    waiting = []
    for pending in state.leader_state.reads:
        if is_ready(state, pending):
            state.emit(actions.ReadReady(pending.token, pending.index))
        else:
            waiting.append(pending)
    state.leader_state.reads = waiting


def is_ready(state: state_module.State, pending: state_module.PendingRead) -> bool:
    """Return whether a quorum confirmed the round and the index is applied."""
    progress = state.leader_state.progress
    answered = {name for name, peer in progress.items() if peer.round >= pending.round}
    answered.add(state.voter)
    return state.commit >= pending.index and quorums.has_quorum(state, answered)
