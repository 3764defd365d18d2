"""Leader election: a pre-vote, then the vote; each needs a quorum of the voters."""

from trestlestall.agreement import (
    actions,
    handlers,
    leadership,
    messages,
    quorums,
    roles,
    state as state_module,
)

Role = state_module.Role


def check_election_deadline(state: state_module.State) -> None:
    """Start an election after the election timeout; only voters are candidates."""
    if state.role is Role.LEADER or state.now < state.election_deadline:
        return
    if not state.is_voter:
        state.leader = None
        roles.reset_election_deadline(state)
        return
    if state.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
        report_undecided(state)
    start_pre_vote(state)


def report_undecided(state: state_module.State) -> None:
    """Report who voted in an election that found no quorum, and which one it needed."""
    configurations = quorums.list_configurations(state)
    action = actions.ElectionUndecided(
        state.term,
        tuple(sorted(state.votes_granted)),
        tuple(sorted(state.votes_denied)),
        tuple(sorted(state.excluded_voters)),
        tuple(configuration.voters for configuration in configurations),
    )
    state.emit(action)


def start_pre_vote(state: state_module.State) -> None:
    """Query whether an election could be won, without incrementing the term."""
    roles.become_follower(state, state.term)
    state.role = Role.PRE_CANDIDATE
    state.excluded_voters = frozenset(state.lost_voters)
    request = messages.PreVoteRequest(
        state.term + 1, state.log.last_index, state.log.last_term
    )
    request_votes(state, request)
    count_grant(state, state.voter)


def start_election(
    state: state_module.State,
    kind: type[messages.VoteRequest | messages.HandoverVoteRequest],
) -> None:
    """Increment the term, vote for itself and request votes by messages of the kind."""
    roles.become_follower(state, state.term + 1)
    state.role = Role.CANDIDATE
    state.excluded_voters = frozenset(state.lost_voters)
    state.set_vote(state.term, state.voter)
    request = kind(state.term, state.log.last_index, state.log.last_term)
    request_votes(state, request)
    count_grant(state, state.voter)


def request_votes(state: state_module.State, request: messages.Message) -> None:
    """Send the request to all other voters."""
    for name in quorums.list_electorate(state):
        if name != state.voter:
            state.send(name, request)


def count_grant(state: state_module.State, voter: str) -> None:
    """Count a granted (pre-)vote; with a quorum, start the election or lead."""
    state.votes_granted.add(voter)
    if not quorums.has_quorum(state, state.votes_granted):
        return
    if state.role is Role.PRE_CANDIDATE:
        start_election(state, messages.VoteRequest)
    else:
        leadership.become_leader(state)


def is_up_to_date(
    state: state_module.State,
    request: messages.PreVoteRequest
    | messages.VoteRequest
    | messages.HandoverVoteRequest,
) -> bool:
    """Return whether the candidate's log is at least as up to date as this node's."""
    ours = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= ours


@handlers.MESSAGES.register(messages.PreVoteRequest)
def receive_pre_vote_request(
    state: state_module.State, sender: str, request: messages.PreVoteRequest
) -> None:
    """Respond whether the sender could get the vote; the state is unchanged."""
    granted = (
        request.term > state.term
        and is_up_to_date(state, request)
        and not roles.has_recent_leader(state)
    )
    term = request.term if granted else state.term
    state.send(sender, messages.PreVoteResponse(term, granted))


@handlers.MESSAGES.register(messages.VoteRequest)
def receive_vote_request(
    state: state_module.State, sender: str, request: messages.VoteRequest
) -> None:
    """Vote once per term for an up-to-date log, without recent leader contact.

    The candidate need not be one of the known voters: it may have been added by an
    entry that this node has not received yet.
    """
    if request.term > state.term and not roles.has_recent_leader(state):
        roles.become_follower(state, request.term)
    answer_vote_request(state, sender, request)


def answer_vote_request(
    state: state_module.State,
    sender: str,
    request: messages.VoteRequest | messages.HandoverVoteRequest,
) -> None:
    """Grant one vote per term, to a candidate whose log is up to date."""
    granted = (
        request.term == state.term
        and state.role is Role.FOLLOWER
        and state.vote.voted_for in (None, sender)
        and is_up_to_date(state, request)
    )
    if granted:
        state.set_vote(state.term, sender)
        roles.reset_election_deadline(state)
    state.send(sender, messages.VoteResponse(state.term, granted))


@handlers.MESSAGES.register(messages.PreVoteResponse)
def receive_pre_vote_response(
    state: state_module.State, sender: str, response: messages.PreVoteResponse
) -> None:
    """Count a grant for the next term; adopt a later term from a denial."""
    if sender not in quorums.list_electorate(state):
        return
    if response.granted:
        if state.role is Role.PRE_CANDIDATE and response.term == state.term + 1:
            count_grant(state, sender)
    elif response.term > state.term:
        roles.become_follower(state, response.term)
    elif state.role is Role.PRE_CANDIDATE:
        state.votes_denied.add(sender)


@handlers.MESSAGES.register(messages.VoteResponse)
def receive_vote_response(
    state: state_module.State, sender: str, response: messages.VoteResponse
) -> None:
    """Count a vote of this term, or adopt a later term."""
    if sender not in quorums.list_electorate(state):
        return
    if response.term > state.term:
        roles.become_follower(state, response.term)
    elif response.term == state.term and state.role is Role.CANDIDATE:
        if response.granted:
            count_grant(state, sender)
        else:
            state.votes_denied.add(sender)
