"""Decides which voters to add or remove automatically, one at a time; pure.

Every directory votes, so that a majority of the directories holds a majority of the
voters. The leader decides by the state of its links, and changes one voter at a time
under the rules of the agreement package, which keep each change safe. The decisions
here affect only which majority is needed afterwards:

- A voter whose host came back with another disk has lost its vote permanently. Removing
  it never increases the number of other voters needed for a majority.
- Where a new directory waits to join, a voter that has been unresponsive for a while is
  removed first, so that the new one can replace it.
- Of an even number of voters an unresponsive one is removed: the majority of the rest
  is smaller by one, and each majority of all directories still contains one.
- Of an odd number one is removed when two have been unresponsive for long: then the
  majority of the live directories would no longer be a majority of the voters.
- Then new directories are added. One that was removed in error is added again.
"""

import dataclasses
from collections import abc

from trestlestall.daemon.control import group

#: Seconds without a link until a voter may be replaced by a waiting directory: longer
#: than a process takes to restart.
REPLACE_SECONDS = 2.0
#: The same for one of an even number where no directory waits: a restart may be over by
#: then, and with the time until a silent link is closed it is less than a successor has
#: to catch up, after which the one that is gone no longer counts as a loss.
REMOVE_SECONDS = 1.0
#: The same where two of an odd number of voters are unresponsive, which needs two
#: removals: several times the duration of a partition or restart.
REMOVE_TWO_SECONDS = 12.0
#: Seconds that a new directory must have been linked before it is added.
JOIN_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Observation:
    """What the leader observes of another directory.

    ``voter`` is its newest voter name, None until it was received. ``linked`` says
    whether there is a link, ``since`` is the time of the last change of that.
    """

    voter: str | None
    linked: bool
    since: float


@dataclasses.dataclass(frozen=True)
class Change:
    """One change of voters: either ``add`` or ``remove`` is set."""

    add: str | None
    remove: str | None
    reason: str


@dataclasses.dataclass(frozen=True)
class UnresponsiveVoter:
    """A voter without a link, and the time since when there is none."""

    since: float
    voter: str


def find_change(
    own: str,
    voters: abc.Sequence[str],
    observations: abc.Mapping[str, Observation],
    now: float,
) -> Change | None:
    """Return the next change that the leader ``own`` should make, if any.

    A change whose resulting voters have no linked majority is not made: it would be in
    force here without ever being committed, and no other leader could be elected.
    """
    found = find_due_change(own, voters, observations, now)
    if found is None or not has_linked_quorum(own, voters, observations, found):
        return None
    return found


def find_due_change(
    own: str,
    voters: abc.Sequence[str],
    observations: abc.Mapping[str, Observation],
    now: float,
) -> Change | None:
    """Return the change that the rules require, if any."""
    if len(voters) > 1:
        replaced = find_replaced(own, voters, observations)
        if replaced is not None:
            return Change(None, replaced, "its host has another disk")
    newcomer = find_newcomer(voters, observations, now)
    unresponsive = list_unresponsive(own, voters, observations)
    if unresponsive and len(voters) > 1:
        removal = find_removal(len(voters), unresponsive, newcomer is not None, now)
        if removal is not None:
            return removal
    if newcomer is not None:
        return Change(newcomer, None, "the directory does not vote yet")
    return None


def has_linked_quorum(
    own: str,
    voters: abc.Sequence[str],
    observations: abc.Mapping[str, Observation],
    change: Change,
) -> bool:
    """Return whether the linked voters can commit the change.

    They have to be a majority of the voters after it. The change of an even number may
    also need a majority of the voters before it, or half of them if one has another
    disk (see ``agreement.quorums``).
    """
    after = {*voters, change.add} - {change.remove, None}
    linked = {
        observation.voter for observation in observations.values() if observation.linked
    }
    linked.add(own)
    if len(after & linked) <= len(after) // 2:
        return False
    if len(voters) % 2:
        return True
    is_replaced = find_replaced(own, voters, observations) is not None
    return len(linked & {*voters}) + is_replaced > len(voters) // 2


def find_removal(
    count: int, unresponsive: abc.Sequence[UnresponsiveVoter], waits: bool, now: float
) -> Change | None:
    """Return the removal of an unresponsive voter of ``count`` voters, if it is due.

    ``unresponsive`` begins with the one unlinked for longest; ``waits`` says whether a
    directory waits to join.
    """
    longest_unresponsive = unresponsive[0].voter
    if waits and now - unresponsive[0].since >= REPLACE_SECONDS:
        return Change(
            None, longest_unresponsive, "unresponsive while another directory waits"
        )
    if count % 2 == 0 and now - unresponsive[0].since >= REMOVE_SECONDS:
        return Change(None, longest_unresponsive, "unresponsive")
    if len(unresponsive) > 1 and now - unresponsive[1].since >= REMOVE_TWO_SECONDS:
        return Change(
            None, longest_unresponsive, "unresponsive for long, like another one"
        )
    return None


def find_replaced(
    own: str, voters: abc.Sequence[str], observations: abc.Mapping[str, Observation]
) -> str | None:
    """Return a voter whose host now has another disk."""
    for voter in voters:
        observation = observations.get(group.get_process_name(voter))
        if voter != own and observation is not None and observation.linked:
            if observation.voter not in (None, voter):
                return voter
    return None


def find_newcomer(
    voters: abc.Sequence[str], observations: abc.Mapping[str, Observation], now: float
) -> str | None:
    """Return a linked directory that does not vote yet."""
    for _, observation in sorted(observations.items()):
        if (
            not observation.linked
            or observation.voter is None
            or observation.voter in voters
        ):
            continue
        if now - observation.since >= JOIN_SECONDS:
            return observation.voter
    return None


def list_unresponsive(
    own: str, voters: abc.Sequence[str], observations: abc.Mapping[str, Observation]
) -> list[UnresponsiveVoter]:
    """Return the voters without a link, the one unlinked for longest first."""
    unresponsive = [
        UnresponsiveVoter(observation.since, voter)
        for voter in voters
        if voter != own
        and (observation := observations.get(group.get_process_name(voter))) is not None
        and not observation.linked
    ]
    return sorted(unresponsive, key=lambda each: (each.since, each.voter))
