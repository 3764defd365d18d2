"""Role changes, the election timeout and the node's clock."""

from trestlestall.agreement import actions, state as state_module

Role = state_module.Role


def reset_election_deadline(state: state_module.State) -> None:
    """Start a new randomized election timeout.

    It may be shorter until the node has known a leader since its start. That can't
    disrupt a leader that is in contact with the other voters, since they deny the
    pre-vote, and when all voters start together, none waits for a leader that doesn't
    exist.
    """
    timing = state.timing
    timeout = timing.election if state.has_known_leader else timing.first_election
    state.election_deadline = state.now + timeout * (1.0 + state.random.random())


def become_follower(
    state: state_module.State, term: int, leader: str | None = None
) -> None:
    """Become a follower in the term, which is the current one or a later one."""
    if state.leader_state is not None:
        end_leadership(state, leader)
    if term > state.term:
        state.set_vote(term, None)
    state.role = Role.FOLLOWER
    state.leader = leader
    state.votes_granted = set()
    state.votes_denied = set()
    reset_election_deadline(state)


def end_leadership(state: state_module.State, leader: str | None) -> None:
    """Step down: fail all proposals and reads that still wait for a quorum."""
    leader_state, state.leader_state = state.leader_state, None
    state.last_leader_contact = None
    state.emit(actions.Deposed(state.term))
    for token in leader_state.pending.values():
        state.emit(actions.Proposed(token, actions.Lost()))
    for read in leader_state.reads:
        state.emit(actions.ReadRefused(read.token, leader))
    if leader_state.change is not None and leader_state.change.index is None:
        outcome = actions.NotLeader(leader)
        state.emit(actions.Proposed(leader_state.change.token, outcome))


def follow_leader(state: state_module.State, leader: str, term: int) -> None:
    """Accept the sender of a leader's message as the leader of the term."""
    if term > state.term or state.role is not Role.FOLLOWER:
        become_follower(state, term, leader)
    state.leader = leader
    state.has_known_leader = True
    state.last_leader_contact = state.now
    reset_election_deadline(state)


def has_recent_leader(state: state_module.State) -> bool:
    """Return whether a leader made contact within the election timeout.

    This is always true for the leader itself: its own quorum check makes it step down.
    """
    if state.role is Role.LEADER:
        return True
    if state.leader is None or state.last_leader_contact is None:
        return False
    return state.now - state.last_leader_contact < state.timing.election


def advance_clock(state: state_module.State, now: float) -> None:
    """Advance the clock; after a jump, any earlier contact with a leader is void.

    A gap longer than the election timeout means that this process was suspended and
    that the others may have elected another leader: a leader steps down and a candidate
    starts over.
    """
    if state.now is None:
        state.now = now
        reset_election_deadline(state)
        return
    has_jumped = now - state.now > state.timing.election
    state.now = max(now, state.now)
    if has_jumped:
        state.last_leader_contact = None
        become_follower(state, state.term)
