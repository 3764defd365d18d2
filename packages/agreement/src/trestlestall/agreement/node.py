"""One node of the group: the public interface of this package."""

import random
from collections import abc

from trestlestall.agreement import (
    actions,
    commitment,
    election,
    entries as entries_module,
    events,
    exceptions,
    following,
    handlers,
    handover,
    leadership,
    log as log_module,
    membership,
    proposals,
    reads,
    replication,
    roles,
    settlement,
    snapshot_transfers,
    snapshots,
    state as state_module,
    timing as timing_module,
)

#: The modules that register their handlers when they are imported.
HANDLING_MODULES = (
    election,
    following,
    handover,
    membership,
    proposals,
    reads,
    replication,
    settlement,
    snapshots,
    snapshot_transfers,
)

#: Change of the election timeout, as a ratio, that is reported.
REPORTED_RATIO = 1.5


class Node:
    """A voter, a learner, or a node that waits to be added to the group.

    ``voter`` is the node's name, including the identity of its disk. ``voters`` are the
    initial voters of the group, the same list on each of them; a node that is not on
    the list never starts an election, and waits until a leader adds it. ``voters`` is
    used only until the log or a snapshot contains a configuration. For example::

        node = Node("control-1#9f3a", ("control-1#9f3a",), timing.Timing(), seed=1)
        actions = node.handle(events.Tick(), now=12.5)

    ``now`` is in seconds of one monotonic clock. After a restart pass the persisted
    state as ``restored``; the first call then returns a ``Restore`` action for its
    snapshot, if any. Raises ``exceptions.BrokenInvariantError`` when a safety property
    of the protocol is violated; the process must then stop.
    """

    def __init__(
        self,
        voter: str,
        voters: tuple[str, ...],
        timing: timing_module.Timing,
        seed: int,
        restored: entries_module.Restored | None = None,
        limits: timing_module.Limits = timing_module.DEFAULT_LIMITS,
    ) -> None:
        restored = restored or entries_module.Restored()
        log = log_module.Log(tuple(voters), restored.snapshot, restored.entries)
        vote = restored.vote or entries_module.Vote(0)
        if vote.term < log.last_term:
            vote = entries_module.Vote(log.last_term)
        self._timing = timing
        self._reported_election = timing.election
        self._state = state_module.State(
            voter=voter,
            timing=timing,
            limits=limits,
            random=random.Random(f"{seed} {voter}"),
            log=log,
            vote=vote,
            commit=log.snapshot.index,
        )
        if restored.snapshot is not None:
            self._state.emit(actions.Restore(restored.snapshot))

    @property
    def role(self) -> state_module.Role:
        """The role of the node in its current term."""
        return self._state.role

    @property
    def leader(self) -> str | None:
        """The leader that this node follows, or None; a hint that may be stale."""
        return self._state.leader

    @property
    def term(self) -> int:
        """The latest term that the node has seen."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry, for which ``Apply`` was returned."""
        return self._state.commit

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot includes."""
        return self._state.log.snapshot.index

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters in the latest configuration of the log, committed or not."""
        return self._state.log.voters

    @property
    def learner(self) -> str | None:
        """The node that is catching up to become a voter; known to the leader only."""
        leader_state = self._state.leader_state
        change = leader_state.change if leader_state is not None else None
        return change.add if change is not None and change.index is None else None

    @property
    def is_handing_over(self) -> bool:
        """Whether the node is the leader and is transferring its leadership."""
        return (
            self._state.leader_state is not None
            and self._state.leader_state.handover is not None
        )

    def adapt_timing(self, sync_seconds: float) -> None:
        """Adapt the election timeouts to the time of a sync of this voter's disk.

        A running timeout is not changed. Considerable changes are reported by a
        ``TimingAdapted`` action of the next step.
        """
        self._state.timing = timing_module.adapt_to_syncs(self._timing, sync_seconds)
        election_timeout = self._state.timing.election
        ratio = election_timeout / self._reported_election
        if max(ratio, 1.0 / ratio) >= REPORTED_RATIO:
            self._reported_election = election_timeout
            action = actions.TimingAdapted(round(sync_seconds, 4), election_timeout)
            self._state.emit(action)

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Handle one event at the time ``now`` and return the actions to execute."""
        return self.handle_batch((event,), now)

    def handle_batch(
        self, batch: abc.Iterable[events.Event], now: float
    ) -> list[actions.Action]:
        """Handle several events as one step and return the actions to execute.

        A single ``Persist`` makes all their changes durable (group commit), so a caller
        should pass all the events in its queue.
        """
        state = self._state
        roles.advance_clock(state, now)
        for event in batch:
            handler = handlers.EVENTS.find(type(event))
            if handler is None:
                raise exceptions.MisuseError(f"not an event: {event!r}")
            handler(state, event)
        emitted = state.drain_actions()
        while advance_leader(state):
            emitted += state.drain_actions()
        return emitted


def advance_leader(state: state_module.State) -> bool:
    """Do the leader's work that follows from a step; return whether there are actions.

    All entries in the log at the time of the call are in ``Persist`` actions already,
    so the leader may count them as durable on itself.
    """
    if state.leader_state is not None:
        commitment.advance_commit(state)
        membership.advance_change(state)
    if state.leader_state is not None:
        settlement.advance_settling(state)
    if state.leader_state is not None:
        reads.answer_reads(state)
        handover.advance_handover(state)
        replication.send_due(state)
    return state.has_actions()


@handlers.EVENTS.register(events.Tick)
def tick(state: state_module.State, event: events.Tick) -> None:
    """Check the timeouts, and request a heartbeat round if one is due."""
    election.check_election_deadline(state)
    if state.leader_state is not None:
        leadership.check_quorum(state)
    if state.leader_state is not None:
        membership.check_learner(state)
        leadership.request_due_heartbeat(state)


@handlers.EVENTS.register(events.Receive)
def receive(state: state_module.State, event: events.Receive) -> None:
    """Dispatch the message to its handler; one from the node itself is ignored."""
    handler = handlers.MESSAGES.find(type(event.message))
    if handler is None:
        raise exceptions.MisuseError(f"not a message: {event.message!r}")
    if event.sender != state.voter:
        handler(state, event.sender, event.message)
