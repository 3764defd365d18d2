"""One voter: passes events to the agreement's node and executes its actions in order.

All events of one turn are handled together, so that one sync makes everything that they
change durable (group commit). Nothing is sent or answered before that.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.agreement import (
    actions,
    entries,
    events,
    node as nodes,
    state,
    timing,
)
from trestlestall.daemon.control import journal as journals, machine as machines

SNAPSHOT_ENTRIES = 2000
#: Bytes of entries after which the log is rewritten, whatever their number: a sixteenth
#: of the smallest disk of a deployment (128 MB).
SNAPSHOT_BYTES = 8 * 1024 * 1024
#: Time between two turns in which a voter was held up: twice the usual one.
HELD_UP_SECONDS = 0.2

Token = typing.Hashable


@dataclasses.dataclass(frozen=True)
class Applied:
    """The proposal was committed; ``document`` is its outcome."""

    document: machines.Document


@dataclasses.dataclass(frozen=True)
class Current:
    """The read is confirmed: the state machine is current."""


@dataclasses.dataclass(frozen=True)
class Unresolved:
    """This node doesn't lead: a read failed, a proposal may be committed or not.

    Repeating it gives the outcome.
    """


@dataclasses.dataclass(frozen=True)
class Refused:
    """Nothing was proposed; ``code`` is the reason (see ``agreement.codes``)."""

    code: str


Result: typing.TypeAlias = Applied | Current | Unresolved | Refused


@dataclasses.dataclass(frozen=True)
class Effects:
    """Callbacks for a voter's actions, other than those of its journal.

    ``send(to, message)`` must not block; ``answer(token, result)`` ends a proposal or a
    read; ``notify(action)`` is called on changes of leadership or of timeouts, and on
    snapshots.
    """

    send: abc.Callable[[str, typing.Any], None]
    answer: abc.Callable[[Token, Result], None]
    notify: abc.Callable[[actions.Action], None]


class Voter:
    """A node with its journal, and the state machine of its committed entries."""

    def __init__(
        self,
        name: str,
        group: tuple[str, ...],
        journal: journals.Journal,
        seed: int,
        effects: Effects,
        times: timing.Timing = timing.Timing(),  # noqa: B008
        limits: timing.Limits = timing.DEFAULT_LIMITS,
    ):
        self.name = name
        self.machine = machines.EMPTY
        self.node = nodes.Node(name, group, times, seed, journal.restored, limits)
        self._journal = journal
        self._effects = effects
        self._outcomes: dict[int, machines.Document] = {}
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._turned_at = float("-inf")

    @property
    def leads(self) -> bool:
        """Whether this node considered itself the leader in its last turn."""
        return self.node.role is state.Role.LEADER

    def turn(self, batch: abc.Sequence[events.Event], now: float) -> None:
        """Handle the events that have arrived, and a tick.

        The tick comes first: a leader that was suspended steps down before it handles
        the events that were queued meanwhile. It comes last at another voter that was
        held up, by its disk for example: that has to read what its leader sent before
        it judges that it is silent.
        """
        self.node.adapt_timing(self._journal.sync_seconds)
        tick = events.Tick()
        was_held_up = now - self._turned_at > HELD_UP_SECONDS
        self._turned_at = now
        reads_first = was_held_up and not self.leads
        ordered = [*batch, tick] if reads_first else [tick, *batch]
        self._execute(self.node.handle_batch(ordered, now))
        if self._is_snapshot_due():
            snapshot = machines.encode(self.machine)
            compact = events.Compact(self.node.commit_index, snapshot)
            self._execute(self.node.handle(compact, now))

    def _execute(self, batch: list[actions.Action]) -> None:
        for action in batch:
            HANDLERS[type(action)](self, action)
        self._outcomes.clear()

    def _is_snapshot_due(self) -> bool:
        """Return whether the log has outgrown its limit, or the snapshot.

        The latter makes the cost of rewriting small in proportion.
        """
        applied = self.node.commit_index - self.node.snapshot_index
        grown = self._bytes_since_snapshot
        if applied and grown >= SNAPSHOT_BYTES:
            return True
        return applied >= SNAPSHOT_ENTRIES and grown >= self._snapshot_bytes


Handler = abc.Callable[[Voter, typing.Any], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of one type of action."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


@handles(actions.Persist)
def persist(voter: Voter, action: actions.Persist) -> None:
    """Make entries and vote durable before any later action is executed."""
    voter._journal.persist(action)


@handles(actions.PersistSnapshot)
def persist_snapshot(voter: Voter, action: actions.PersistSnapshot) -> None:
    """Make a snapshot durable before any later action is executed."""
    voter._journal.persist_snapshot(action)
    voter._snapshot_bytes = len(action.snapshot.state)
    voter._bytes_since_snapshot = 0
    voter._effects.notify(action)


@handles(actions.Send)
def send(voter: Voter, action: actions.Send) -> None:
    """Send to a peer."""
    voter._effects.send(action.to, action.message)


@handles(actions.Apply)
def apply(voter: Voter, action: actions.Apply) -> None:
    """Apply a committed entry."""
    entry = action.entry
    if entry.kind != entries.COMMAND:
        return
    voter.machine, outcome = machines.apply(voter.machine, entry.payload)
    voter._outcomes[entry.index] = outcome
    voter._bytes_since_snapshot += len(entry.payload)


@handles(actions.Restore)
def restore(voter: Voter, action: actions.Restore) -> None:
    """Replace the state machine by that of a snapshot."""
    if action.snapshot.state:
        voter.machine = machines.decode(action.snapshot.state)
    voter._snapshot_bytes = len(action.snapshot.state)
    voter._bytes_since_snapshot = 0
    voter._effects.notify(action)


@handles(actions.Proposed)
def answer_proposal(voter: Voter, action: actions.Proposed) -> None:
    """Answer a proposal with its result."""
    result: Result = Unresolved()
    if isinstance(action.outcome, actions.Committed):
        result = Applied(voter._outcomes.get(action.outcome.index, {}))
    elif isinstance(action.outcome, actions.Refused):
        result = Refused(action.outcome.code)
    voter._effects.answer(action.token, result)


@handles(actions.ReadReady)
def answer_read(voter: Voter, action: actions.ReadReady) -> None:
    """Answer a read: the state machine is current."""
    voter._effects.answer(action.token, Current())


@handles(actions.ReadRefused)
def refuse_read(voter: Voter, action: actions.ReadRefused) -> None:
    """Answer a read: this node does not lead."""
    voter._effects.answer(action.token, Unresolved())


@handles(actions.BecameLeader)
@handles(actions.ElectionUndecided)
@handles(actions.VoterLost)
@handles(actions.Deposed)
@handles(actions.TimingAdapted)
def notify_change(voter: Voter, action: actions.Action) -> None:
    """Notify of a change of leadership or of timeouts."""
    voter._effects.notify(action)
