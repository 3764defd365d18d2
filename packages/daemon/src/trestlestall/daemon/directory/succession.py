"""Which voters should join or leave by themselves, one at a time; pure.

Every directory votes, so that a majority of the directories holds a majority of the
voters. The leader decides with what it sees over its links, and changes one voter at a
time under the agreement's own rules, which keep each change safe. What is decided here
only bears on which majority is needed afterwards:

- A voter whose host came back with another disk has lost its vote for good. Removing it
  never needs more of the others than before.
- Where a new directory waits, a voter that has been silent for a while is removed
  first, so that the new one can stand in for it.
- Of an even number of voters a silent one is removed: the majority of the rest is one
  smaller, and each majority of all still holds one.
- Then new directories are added. One that was removed in error is added again.
"""

import dataclasses
from collections import abc

from trestlestall.daemon.control import group

#: Seconds without a link until a voter may be replaced by one that waits: longer than
#: a process takes to start again.
REPLACE_SECONDS = 2.0
#: The same where nobody waits: removing it can wait for a short cut to heal.
REMOVE_SECONDS = 4.0
#: Seconds that a new directory must have been linked.
JOIN_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Sight:
    """What the leader sees of another directory.

    ``voter`` is its newest voter name, None before it said so. ``linked`` says whether
    there is a link, ``since`` the time of the last change of that.
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


def find_change(
    own: str,
    voters: abc.Sequence[str],
    sights: abc.Mapping[str, Sight],
    now: float,
) -> Change | None:
    """Return the next change that the leader ``own`` should make, if any."""
    if len(voters) > 1:
        replaced = find_replaced(own, voters, sights)
        if replaced is not None:
            return Change(None, replaced, "its host has another disk")
    newcomer = find_newcomer(voters, sights, now)
    silent = find_silent(own, voters, sights, now)
    if silent is not None and len(voters) > 1:
        seconds = now - sights[group.find_name(silent)].since
        if newcomer is not None and seconds >= REPLACE_SECONDS:
            return Change(None, silent, "silent while another waits")
        if len(voters) % 2 == 0 and seconds >= REMOVE_SECONDS:
            return Change(None, silent, "silent")
    if newcomer is not None:
        return Change(newcomer, None, "a directory that does not vote")
    return None


def find_replaced(
    own: str, voters: abc.Sequence[str], sights: abc.Mapping[str, Sight]
) -> str | None:
    """Return a voter whose host now has another disk."""
    for voter in voters:
        sight = sights.get(group.find_name(voter))
        if voter != own and sight is not None and sight.linked:
            if sight.voter not in (None, voter):
                return voter
    return None


def find_newcomer(
    voters: abc.Sequence[str], sights: abc.Mapping[str, Sight], now: float
) -> str | None:
    """Return a linked directory that does not vote yet."""
    for _, sight in sorted(sights.items()):
        if not sight.linked or sight.voter is None or sight.voter in voters:
            continue
        if now - sight.since >= JOIN_SECONDS:
            return sight.voter
    return None


def find_silent(
    own: str,
    voters: abc.Sequence[str],
    sights: abc.Mapping[str, Sight],
    now: float,
) -> str | None:
    """Return the voter that has been without a link for longest."""
    silent = [
        (sight.since, voter)
        for voter in voters
        if voter != own
        and (sight := sights.get(group.find_name(voter))) is not None
        and not sight.linked
    ]
    return min(silent)[1] if silent else None
