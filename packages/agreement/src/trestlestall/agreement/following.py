"""Log replication on the follower."""

from trestlestall.agreement import (
    commitment,
    entries as entries_module,
    exceptions,
    handlers,
    messages,
    roles,
    state as state_module,
)

Role = state_module.Role


def accept_leader(state: state_module.State, sender: str, term: int) -> bool:
    """Follow the sender of a leader's message; return False if its term is stale."""
    if term < state.term:
        return False
    if term == state.term and state.role is Role.LEADER:
        raise exceptions.BrokenInvariantError(f"{sender} also leads term {term}")
    roles.follow_leader(state, sender, term)
    return True


@handlers.MESSAGES.register(messages.AppendRequest)
def receive_append_request(
    state: state_module.State, sender: str, request: messages.AppendRequest
) -> None:
    """Append the entries if the log matches at the previous one, and respond."""
    if not accept_leader(state, sender, request.term):
        refusal = messages.AppendResponse(state.term, False, 0, 0)
        state.send(sender, refusal)
        return
    request = skip_committed(state, request)
    if state.log.get_term(request.prev_index) != request.prev_term:
        state.send(sender, refuse_gap(state, request))
        return
    append_entries(state, request.entries)
    last = request.prev_index + len(request.entries)
    commitment.apply_up_to(state, min(request.commit, last))
    response = messages.AppendResponse(state.term, True, last, request.round)
    state.send(sender, response)


def skip_committed(
    state: state_module.State, request: messages.AppendRequest
) -> messages.AppendRequest:
    """Return the request without the entries that are already committed here.

    Committed entries are the same on every node, and may have been compacted here.
    """
    if request.prev_index >= state.commit:
        return request
    newer = tuple(entry for entry in request.entries if entry.index > state.commit)
    return messages.AppendRequest(
        request.term,
        state.commit,
        state.log.get_term(state.commit),
        newer,
        request.commit,
        request.round,
    )


def refuse_gap(
    state: state_module.State, request: messages.AppendRequest
) -> messages.AppendResponse:
    """Return the rejection, with the last entry that both logs may share."""
    index = state.log.find_common(request.prev_index, request.prev_term)
    return messages.AppendResponse(
        state.term,
        False,
        index,
        request.round,
        prev_index=request.prev_index,
        hint_term=state.log.get_term(index),
    )


def append_entries(
    state: state_module.State, batch: tuple[entries_module.Entry, ...]
) -> None:
    """Append missing entries; a conflicting entry truncates the log from there on."""
    for position, entry in enumerate(batch):
        existing_term = state.log.get_term(entry.index)
        if existing_term == entry.term:
            continue
        if existing_term is not None:
            truncate(state, entry.index)
        state.log.append(batch[position:])
        return


def truncate(state: state_module.State, index: int) -> None:
    """Remove entries that conflict with the leader's; none of them may be committed."""
    if index <= state.commit:
        raise exceptions.BrokenInvariantError(
            f"committed entry {index} would be truncated"
        )
    state.log.truncate(index)
