"""Commands that the caller wants in the log."""

from trestlestall.agreement import (
    actions,
    codes,
    entries as entries_module,
    events,
    handlers,
    replication,
    state as state_module,
)


@handlers.EVENTS.register(events.Propose)
def propose(state: state_module.State, event: events.Propose) -> None:
    """Append the command; it is answered once it is committed."""
    refusal = find_refusal(state, event)
    if refusal is not None:
        state.emit(actions.Proposed(event.token, refusal))
        return
    index = replication.append(state, entries_module.COMMAND, event.payload)
    state.lead.pending[index] = event.token


def find_refusal(
    state: state_module.State, event: events.Propose
) -> actions.Outcome | None:
    """Return why the command cannot be appended here, if so."""
    if state.lead is None:
        return actions.NotLeader(state.leader)
    if len(event.payload) > state.limits.payload_bytes:
        return actions.Refused(codes.TOO_LARGE)
    if state.log.last_index - state.commit >= state.limits.uncommitted:
        return actions.Refused(codes.OVERLOADED)
    return None
