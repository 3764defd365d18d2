"""Proposals of commands for the log."""

from trestlestall.agreement import (
    actions,
    codes,
    entries as entries_module,
    events,
    handlers,
    leadership,
    state as state_module,
)


@handlers.EVENTS.register(events.Propose)
def propose(state: state_module.State, event: events.Propose) -> None:
    """Append the command; the proposal is answered once it is committed."""
    refusal = find_refusal(state, event)
    if refusal is not None:
        state.emit(actions.Proposed(event.token, refusal))
        return
    index = leadership.append(state, entries_module.COMMAND, event.payload)
    state.leader_state.pending[index] = event.token


def find_refusal(
    state: state_module.State, event: events.Propose
) -> actions.Outcome | None:
    """Return the outcome if the command must be rejected, otherwise None."""
    if state.leader_state is None or state.leader_state.handover is not None:
        return actions.NotLeader(state.other_leader)
    if len(event.payload) > state.limits.payload_bytes:
        return actions.Refused(codes.TOO_LARGE)
    if is_overloaded(state):
        return actions.Refused(codes.OVERLOADED)
    return None


def is_overloaded(state: state_module.State) -> bool:
    """Return whether too many entries or bytes already wait for a quorum."""
    waiting = state.log.last_index - state.commit
    if waiting >= state.limits.uncommitted_entries:
        return True
    return state.leader_state.uncommitted_bytes >= state.limits.uncommitted_bytes
