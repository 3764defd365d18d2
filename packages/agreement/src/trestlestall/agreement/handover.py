"""Leadership transfer before a planned stop, which avoids an election timeout.

The leader accepts no more proposals, brings a voter's log up to date with its own, and
requests that it start an election at once (``TimeoutNow``, section 3.10 of Ongaro's
description). The other voters grant their votes although they are in contact with the
leader, since the request is marked as a handover; all other rules of voting apply. The
message may be lost, and the chosen voter may be down: then the leader tries another
one. If no voter takes over within the election timeout, the leader continues as before.
"""

import math

from trestlestall.agreement import (
    election,
    events,
    handlers,
    messages,
    roles,
    state as state_module,
)

Role = state_module.Role

#: Heartbeat intervals after which an unanswered request is considered lost, and a voter
#: without contact is considered down.
RESPONSE_TIMEOUT_HEARTBEATS = 2


@handlers.EVENTS.register(events.TransferLeader)
def transfer_leader(state: state_module.State, event: events.TransferLeader) -> None:
    """Start a leadership transfer; ignored unless this node is the leader."""
    if state.leader_state is not None and state.leader_state.handover is None:
        state.leader_state.handover = state_module.Handover(state.now)


def advance_handover(state: state_module.State) -> None:
    """Request a caught-up voter to take over; abort after the election timeout."""
    handover = state.leader_state.handover
    if handover is None:
        return
    if state.now - handover.since >= state.timing.election:
        state.leader_state.handover = None
        return
    if state.now < handover.next_request_at or state.commit < state.log.last_index:
        return
    name = find_successor(state, handover)
    if name is not None:
        handover.asked[name] = state.now
        handover.next_request_at = (
            state.now + RESPONSE_TIMEOUT_HEARTBEATS * state.timing.heartbeat
        )
        state.send(name, messages.TimeoutNow(state.term))


def find_successor(
    state: state_module.State, handover: state_module.Handover
) -> str | None:
    """Return the voter to send ``TimeoutNow`` to: caught up, in contact, not tried yet.

    If all eligible voters were tried, it is the least recently tried one.
    """
    contact_since = state.now - RESPONSE_TIMEOUT_HEARTBEATS * state.timing.heartbeat
    eligible = [
        name
        for name, peer in sorted(state.leader_state.progress.items())
        if name in state.log.voters
        and peer.match_index == state.log.last_index
        and peer.last_contact >= contact_since
    ]
    return min(
        eligible, key=lambda name: handover.asked.get(name, -math.inf), default=None
    )


@handlers.MESSAGES.register(messages.TimeoutNow)
def receive_timeout_now(
    state: state_module.State, sender: str, message: messages.TimeoutNow
) -> None:
    """Start an election, if the sender is the current leader."""
    is_from_leader = state.role is Role.FOLLOWER and state.leader == sender
    if message.term == state.term and is_from_leader and state.is_voter:
        election.start_election(state, messages.HandoverVoteRequest)


@handlers.MESSAGES.register(messages.HandoverVoteRequest)
def receive_handover_vote_request(
    state: state_module.State, sender: str, request: messages.HandoverVoteRequest
) -> None:
    """Vote by the usual rules, but despite recent contact with the leader."""
    if request.term > state.term:
        roles.become_follower(state, request.term)
    election.answer_vote_request(state, sender, request)
