"""Settling the voters after a change, and learning of lost disks; see ``quorums``.

An even number of voters, from four on, is settled by two ``SETTLED`` entries. The
leader appends the first one once the voters are committed and all of them have
confirmed that they follow the rules of ``quorums``, and the second one once the first
is committed. A node whose log has both knows this, also after a restart. Voters that
follow settled ones get one ``SETTLED`` entry, which tells a node that has restarted
that the change is committed.
"""

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    handlers,
    leadership,
    messages,
    quorums,
    state as state_module,
)

#: ``SETTLED`` entries of an even number of voters, from four on.
MARKS = 2


def advance_settling(state: state_module.State) -> None:
    """Append the next ``SETTLED`` entry of the latest voters, once that is due."""
    if not needs_mark(state) or not can_append(state):
        return
    latest = state.log.configuration
    allows_halves = quorums.allows_halves(latest.voters)
    if latest.marks or not allows_halves or is_confirmed(state):
        leadership.append(state, entries_module.SETTLED, b"")


def can_append(state: state_module.State) -> bool:
    """Return whether the voters and all their marks are committed, and none changes."""
    leader_state = state.leader_state
    if leader_state.handover is not None or leader_state.change is not None:
        return False
    latest = state.log.configuration
    return state.commit >= max(latest.index, *latest.marks, leader_state.first_index)


def needs_mark(state: state_module.State) -> bool:
    """Return whether the latest voters need another ``SETTLED`` entry."""
    latest, previous = state.log.configuration, state.log.previous_configuration
    if quorums.allows_halves(latest.voters):
        return len(latest.marks) < MARKS
    if previous is None or latest.marks:
        return False
    return quorums.allows_halves(previous.voters) and previous.may_be_settled


def is_confirmed(state: state_module.State) -> bool:
    """Return whether all other voters have confirmed; ask the rest once a round."""
    settling = find_settling(state)
    missing = set(state.log.voters) - settling.confirmed - {state.voter}
    if settling.asked_round < state.leader_state.round:
        settling.asked_round = state.leader_state.round
        for name in sorted(missing):
            state.send(name, messages.SettleRequest(state.term, settling.index))
    return not missing


def find_settling(state: state_module.State) -> state_module.Settling:
    """Return the settlement of the latest voters, a new one if there is none."""
    settling = state.leader_state.settling
    if settling is None or settling.index != state.log.voters_index:
        settling = state_module.Settling(state.log.voters_index)
        state.leader_state.settling = settling
    return settling


@handlers.MESSAGES.register(messages.SettleRequest)
def receive_settle_request(
    state: state_module.State, sender: str, request: messages.SettleRequest
) -> None:
    """Confirm to the leader that this node follows the rules of ``quorums``."""
    if request.term == state.term and state.leader == sender:
        state.send(sender, messages.SettleResponse(request.term, request.index))


@handlers.MESSAGES.register(messages.SettleResponse)
def receive_settle_response(
    state: state_module.State, sender: str, response: messages.SettleResponse
) -> None:
    """Record the confirmation, if it is for the latest voters."""
    leader_state = state.leader_state
    if leader_state is None or response.term != state.term:
        return
    settling = leader_state.settling
    if settling is not None and settling.index == response.index:
        settling.confirmed.add(sender)


@handlers.MESSAGES.register(messages.DiskLost)
def receive_disk_lost(
    state: state_module.State, sender: str, message: messages.DiskLost
) -> None:
    """Record that a voter has lost its disk, from the next election on."""
    lost = message.voter
    if lost in state.lost_voters or lost not in quorums.list_electorate(state):
        return
    state.lost_voters.intersection_update(quorums.list_electorate(state))
    state.lost_voters.add(lost)
    state.emit(actions.VoterLost(lost))
