"""Advancing the commit index and applying committed entries."""

from collections import abc

from trestlestall.agreement import actions, quorums, state as state_module


def find_committable(state: state_module.State) -> int:
    """Return the largest index that is durable on a quorum."""
    matches = {
        name: peer.match_index for name, peer in state.leader_state.progress.items()
    }
    matches[state.voter] = state.log.last_index
    if state.excluded_voters:
        return find_on_quorum(state, matches)
    configurations = quorums.list_configurations(state)
    return min(find_on_majority(each.voters, matches) for each in configurations)


def find_on_majority(voters: abc.Iterable[str], matches: abc.Mapping[str, int]) -> int:
    """Return the largest index that is durable on a majority of the voters."""
    ordered = sorted((matches.get(name, 0) for name in voters), reverse=True)
    return ordered[len(ordered) // 2]


def find_on_quorum(state: state_module.State, matches: abc.Mapping[str, int]) -> int:
    """Return the largest index that is durable on a quorum, which may be a half."""
    for index in sorted(set(matches.values()), reverse=True):
        names = {name for name, match in matches.items() if match >= index}
        if quorums.has_quorum(state, names):
            return index
    return 0


def advance_commit(state: state_module.State) -> None:
    """Commit entries stored on a quorum, if the last one is of this term."""
    leader_state = state.leader_state
    index = find_committable(state)
    if index <= state.commit or index < leader_state.first_index:
        return
    first = state.commit + 1
    apply_up_to(state, index)
    for committed in range(first, index + 1):
        answer(state, committed)


def answer(state: state_module.State, index: int) -> None:
    """Answer the proposal committed at the index, if this node appended it."""
    leader_state = state.leader_state
    if index >= leader_state.first_index:
        leader_state.uncommitted_bytes -= len(state.log.get_entry(index).payload)
    if index in leader_state.pending:
        token = leader_state.pending.pop(index)
        state.emit(actions.Proposed(token, actions.Committed(index)))


def apply_up_to(state: state_module.State, index: int) -> None:
    """Advance the commit index and emit ``Apply`` for the entries up to it."""
    for committed in range(state.commit + 1, index + 1):
        state.emit(actions.Apply(state.log.get_entry(committed)))
    state.commit = max(state.commit, index)
