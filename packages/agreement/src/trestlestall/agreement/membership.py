"""Membership changes, one voter at a time.

Any majority of the voters before a change overlaps any majority after it, as long as
the change adds or removes a single voter and the previous change is committed. For the
same reason a leader appends no change before its no-op entry is committed.
"""

from trestlestall.agreement import (
    actions,
    codes,
    entries as entries_module,
    events,
    handlers,
    leadership,
    replication,
    roles,
    snapshot_transfers,
    state as state_module,
)


@handlers.EVENTS.register(events.ChangeVoters)
def change_voters(state: state_module.State, event: events.ChangeVoters) -> None:
    """Start the change; a new voter is a learner until it has caught up."""
    refusal = find_refusal(state, event)
    if refusal is not None:
        state.emit(actions.Proposed(event.token, refusal))
        return
    if event.add is not None:
        leadership.track_peer(state, event.add)
    state.leader_state.change = state_module.Change(
        event.token, event.add, event.remove, state.log.last_index, state.now
    )


def find_refusal(
    state: state_module.State, event: events.ChangeVoters
) -> actions.Outcome | None:
    """Return the outcome if the change must be rejected, otherwise None."""
    if state.leader_state is None or state.leader_state.handover is not None:
        return actions.NotLeader(state.other_leader)
    code = check_change(state.log.voters, event.add, event.remove)
    if code is not None:
        return actions.Refused(code)
    if state.leader_state.change is not None or state.log.voters_index > state.commit:
        return actions.Refused(codes.CHANGE_IN_FLIGHT)
    return None


def check_change(
    voters: tuple[str, ...], add: str | None, remove: str | None
) -> str | None:
    """Return the reason code if the change is invalid, otherwise None."""
    if (add is None) == (remove is None):
        return codes.ONE_AT_A_TIME
    if add in voters:
        return codes.ALREADY_VOTER
    if remove is not None and remove not in voters:
        return codes.NOT_VOTER
    if (remove,) == voters:
        return codes.LAST_VOTER
    return None


def advance_change(state: state_module.State) -> None:
    """Append the change once that is safe, and finish it once it is committed."""
    change = state.leader_state.change
    if change is not None and change.index is None and can_append(state, change):
        append_change(state, change)
    elif change is not None and change.index is not None:
        if change.index <= state.commit:
            state.leader_state.change = None
    if state.log.voters_index <= state.commit:
        remove_departed_peers(state)


def can_append(state: state_module.State, change: state_module.Change) -> bool:
    """Return whether the leader committed its no-op and the learner caught up."""
    if state.commit < state.leader_state.first_index:
        return False
    return change.add is None or is_caught_up(state, change)


def is_caught_up(state: state_module.State, change: state_module.Change) -> bool:
    """Return whether the learner reached the target within an election timeout.

    The log may have grown during a longer round, so the next round starts after it.
    """
    if state.leader_state.progress[change.add].match_index < change.target:
        return False
    if state.now - change.since <= state.timing.election:
        return True
    change.target = state.log.last_index
    change.since = state.now
    return state.leader_state.progress[change.add].match_index >= change.target


def append_change(state: state_module.State, change: state_module.Change) -> None:
    """Append the new voters, which take effect immediately."""
    voters = tuple(name for name in state.log.voters if name != change.remove)
    if change.add is not None:
        voters += (change.add,)
    payload = entries_module.encode_voters(voters)
    change.index = leadership.append(state, entries_module.VOTERS, payload)
    state.leader_state.pending[change.index] = change.token


def remove_departed_peers(state: state_module.State) -> None:
    """Stop replicating to removed voters after the commit; step down if removed.

    A last heartbeat notifies removed voters of the commit index, so that they learn of
    their removal. A voter that would need a snapshot first is not notified, and sends
    pre-vote requests that no voter grants.
    """
    learner = (
        state.leader_state.change.add if state.leader_state.change is not None else None
    )
    replicated = {*state.log.voters, learner}
    for name in sorted(set(state.leader_state.progress) - replicated):
        peer = state.leader_state.progress.pop(name)
        if not snapshot_transfers.is_needed(state, peer):
            replication.send_heartbeat(state, name, peer)
    if not state.is_voter:
        state.leader_state.round_requested = True
        replication.send_due(state)
        roles.become_follower(state, state.term)


def check_learner(state: state_module.State) -> None:
    """Drop a learner that has not responded within the catch-up timeout."""
    change = state.leader_state.change
    if change is None or change.add is None or change.index is not None:
        return
    peer = state.leader_state.progress[change.add]
    if state.now - peer.last_contact <= state.timing.catch_up:
        return
    state.leader_state.change = None
    del state.leader_state.progress[change.add]
    outcome = actions.Refused(codes.NOT_CAUGHT_UP)
    state.emit(actions.Proposed(change.token, outcome))
