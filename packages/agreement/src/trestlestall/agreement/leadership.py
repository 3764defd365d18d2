"""Becoming the leader, tracking peers, and the quorum check."""

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    progress as progress_module,
    quorums,
    roles,
    state as state_module,
)

Role = state_module.Role


def become_leader(state: state_module.State) -> None:
    """Become the leader and append this term's no-op entry.

    Entries of earlier terms are committed only along with an entry of this term. The
    first leader of the group also appends the initial voters, so that from then on the
    log alone defines the configuration.
    """
    state.role = Role.LEADER
    state.leader = state.voter
    state.has_known_leader = True
    state.leader_state = state_module.LeaderState(state.log.last_index + 1, state.now)
    for name in quorums.list_electorate(state):
        if name != state.voter:
            track_peer(state, name)
    if state.log.voters_index == 0:
        payload = entries_module.encode_voters(state.log.voters)
        append(state, entries_module.VOTERS, payload)
    append(state, entries_module.NO_OP, b"")
    granted = tuple(sorted(state.votes_granted))
    excluded = tuple(sorted(state.excluded_voters))
    state.emit(actions.BecameLeader(state.term, granted, excluded))


def append(state: state_module.State, kind: str, payload: bytes) -> int:
    """Append an entry of this term and return its index."""
    index = state.log.last_index + 1
    entry = entries_module.Entry(index, state.term, kind, payload)
    state.log.append((entry,))
    state.leader_state.uncommitted_bytes += len(payload)
    return index


def track_peer(state: state_module.State, name: str) -> None:
    """Start replicating to the peer, probing from the end of the log backwards."""
    next_index = state.log.last_index + 1
    state.leader_state.progress[name] = progress_module.Progress(next_index, state.now)


def check_quorum(state: state_module.State) -> None:
    """Step down without contact with a quorum within the election timeout."""
    since = state.now - state.timing.election
    progress = state.leader_state.progress
    active = {name for name, peer in progress.items() if peer.last_contact >= since}
    if not quorums.has_quorum(state, active | {state.voter}):
        roles.become_follower(state, state.term)


def request_due_heartbeat(state: state_module.State) -> None:
    """Request a heartbeat round if one is due."""
    if state.now >= state.leader_state.heartbeat_at:
        state.leader_state.round_requested = True


def record_response(
    state: state_module.State, sender: str, term: int, round_number: int
) -> progress_module.Progress | None:
    """Record contact with the sender, and return its progress if the response is valid.

    A response of an earlier term, or of a node that is neither voter nor learner, is
    ignored; one of a later term makes the leader step down.
    """
    if state.leader_state is None or sender not in state.leader_state.progress:
        return None
    if term > state.term:
        roles.become_follower(state, term)
        return None
    if term < state.term:
        return None
    peer = state.leader_state.progress[sender]
    peer.last_contact = state.now
    peer.round = max(peer.round, round_number)
    return peer
