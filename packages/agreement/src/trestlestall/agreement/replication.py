"""The leader's side of replication: batches, heartbeats and the commit index."""

import collections

from trestlestall.agreement import (
    actions,
    entries as entries_module,
    handlers,
    messages,
    roles,
    snapshots,
    state as state_module,
)

Role = state_module.Role


def lead(state: state_module.State) -> None:
    """Take the leadership and append this term's no-op entry.

    Entries of former terms commit only with an entry of this one.
    """
    state.role = Role.LEADER
    state.leader = state.voter
    state.lead = state_module.Leadership(state.log.last_index + 1, state.now)
    track_voters(state)
    append(state, entries_module.NO_OP, b"")
    state.emit(actions.BecameLeader(state.term))


def append(state: state_module.State, kind: str, payload: bytes) -> int:
    """Append an entry of this term and return its index."""
    index = state.log.last_index + 1
    entry = entries_module.Entry(index, state.term, kind, payload)
    state.log.append((entry,))
    return index


def track_voters(state: state_module.State) -> None:
    """Begin to track each voter that is not tracked yet."""
    for name in state.log.voters:
        if name != state.voter and name not in state.lead.progress:
            track(state, name)


def track(state: state_module.State, name: str) -> None:
    """Begin to replicate to the peer, from the end of the log backwards."""
    next_index = state.log.last_index + 1
    state.lead.progress[name] = state_module.Progress(next_index, state.now)


def check_quorum(state: state_module.State) -> None:
    """Step down when no majority was heard within the election timeout."""
    since = state.now - state.timing.election
    progress = state.lead.progress
    heard = {name for name, peer in progress.items() if peer.contact >= since}
    if not state.has_quorum(heard | {state.voter}):
        roles.become_follower(state, state.term)


def beat(state: state_module.State) -> None:
    """Begin a round when the heartbeat is due; a lost probe is sent again."""
    if state.now < state.lead.heartbeat_at:
        return
    state.lead.heartbeat_at = state.now + state.timing.heartbeat
    state.lead.round_wanted = True


def send_due(state: state_module.State) -> None:
    """Send each peer what it lacks, and the round if a new one was wanted."""
    lead = state.lead
    if lead.round_wanted:
        lead.round += 1
        lead.round_wanted = False
    for name, peer in lead.progress.items():
        send_entries(state, name, peer)
        if peer.sent_round < lead.round:
            send_heartbeat(state, name, peer)


def send_entries(
    state: state_module.State, name: str, peer: state_module.Progress
) -> None:
    """Send batches while the peer lacks entries and its window has room."""
    if peer.transfer is None and peer.next_index < state.log.first_index:
        snapshots.begin_transfer(state, name, peer)
    if peer.transfer is not None or peer.paused:
        return
    while peer.next_index <= state.log.last_index:
        if len(peer.inflight) >= state.limits.inflight or peer.paused:
            return
        limits = state.limits
        batch = state.log.slice_entries(
            peer.next_index, limits.batch_entries, limits.batch_bytes
        )
        send_append(state, name, peer, batch)
        if peer.probing:
            peer.paused = True
        else:
            peer.next_index += len(batch)
            peer.inflight.append(peer.next_index - 1)


def send_heartbeat(
    state: state_module.State, name: str, peer: state_module.Progress
) -> None:
    """Send the round without entries; the answer shows what the peer lacks."""
    if peer.transfer is not None:
        snapshots.ask_offset(state, name, peer)
    else:
        send_append(state, name, peer, ())


def send_append(
    state: state_module.State,
    name: str,
    peer: state_module.Progress,
    batch: tuple[entries_module.Entry, ...],
) -> None:
    """Send the batch, which begins at the peer's next index."""
    prev_index = peer.next_index - 1
    request = messages.AppendRequest(
        state.term,
        prev_index,
        state.log.get_term(prev_index),
        batch,
        state.commit,
        state.lead.round,
    )
    peer.sent_round = state.lead.round
    state.send(name, request)


def note_answer(
    state: state_module.State, sender: str, term: int, round_number: int
) -> state_module.Progress | None:
    """Return the sender's progress if its answer counts, noting the contact.

    An answer of a former term, or of a node that is neither voter nor learner, does
    not count; one of a newer term ends the leadership.
    """
    if state.lead is None or sender not in state.lead.progress:
        return None
    if term > state.term:
        roles.become_follower(state, term)
        return None
    if term < state.term:
        return None
    peer = state.lead.progress[sender]
    peer.contact = state.now
    peer.round = max(peer.round, round_number)
    return peer


@handlers.MESSAGES.register(messages.AppendResponse)
def receive_append_response(
    state: state_module.State, sender: str, response: messages.AppendResponse
) -> None:
    """Advance the peer's progress, or step back to where the logs may agree."""
    peer = note_answer(state, sender, response.term, response.round)
    if peer is None:
        return
    if response.matched:
        advance_peer(peer, response.index)
    else:
        step_back(state, peer, response)


def advance_peer(peer: state_module.Progress, index: int) -> None:
    """Note that the peer's durable log equals ours up to the index."""
    peer.match_index = max(peer.match_index, index)
    if peer.transfer is not None:
        if peer.match_index < peer.transfer.snapshot.index:
            return
        peer.transfer = None
        peer.probing = True
    if peer.probing:
        peer.next_index = peer.match_index + 1
        restart_window(peer, probing=False)
    peer.next_index = max(peer.next_index, peer.match_index + 1)
    while peer.inflight and peer.inflight[0] <= peer.match_index:
        peer.inflight.popleft()


def step_back(
    state: state_module.State,
    peer: state_module.Progress,
    response: messages.AppendResponse,
) -> None:
    """Probe again from the last entry that may be common.

    A refusal of entries that the peer has since matched, or of an older probe, is late
    and changes nothing.
    """
    if response.prev_index <= peer.match_index or peer.transfer is not None:
        return
    if peer.probing and response.prev_index != peer.next_index - 1:
        return
    common = state.log.find_common(response.index, response.hint_term)
    peer.next_index = max(common, peer.match_index) + 1
    restart_window(peer, probing=True)


def restart_window(peer: state_module.Progress, probing: bool) -> None:
    """Forget the batches under way."""
    peer.probing = probing
    peer.paused = False
    peer.inflight = collections.deque()


def find_committable(state: state_module.State) -> int:
    """Return the largest index that is durable on a majority of the voters."""
    matches = []
    for name in state.log.voters:
        if name == state.voter:
            matches.append(state.log.last_index)
        else:
            matches.append(state.lead.progress[name].match_index)
    matches.sort(reverse=True)
    return matches[len(matches) // 2]


def advance_commit(state: state_module.State) -> None:
    """Commit what a majority holds, if it reaches into this term."""
    index = find_committable(state)
    if index <= state.commit or index < state.lead.first_index:
        return
    first = state.commit + 1
    apply_up_to(state, index)
    for committed in range(first, index + 1):
        token = state.lead.pending.pop(committed, None)
        if token is not None:
            outcome = actions.Committed(committed)
            state.emit(actions.Proposed(token, outcome))


def apply_up_to(state: state_module.State, index: int) -> None:
    """Raise the commit index and hand out the entries up to it."""
    for committed in range(state.commit + 1, index + 1):
        state.emit(actions.Apply(state.log.get_entry(committed)))
    state.commit = max(state.commit, index)
