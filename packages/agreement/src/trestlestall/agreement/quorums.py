"""Quorums: which voters must agree, also during a change and after a lost disk.

Any two quorums share a voter that responded to both:

- A majority of the voters shares one with any other majority. One that excludes a lost
  disk needs no other rule if the number of voters is odd.
- Of an even number, half is a quorum if it excludes a voter whose disk is lost, but
  not of two voters: a third could then be added only with both of them. A half shares
  a voter with each majority by count, and with each other half that excludes the same
  voter, since the rest is an odd number. Two halves that exclude different voters share
  one too: otherwise each would contain the voter that the other one excludes, and each
  of the two disks would have been lost before the other one. For that a node excludes
  only disks that it knew as lost when its election began, and counts only responses to
  requests sent after that.
- A half may miss a majority of the voters after a change. So halves count only once the
  voters are settled (see ``settlement``), and until the next change is known to be
  committed, a quorum of the voters before it and one of those after it are needed. A
  log without a ``SETTLED`` entry before that change shows that none was committed, so
  that no half has counted.
"""

from collections import abc

from trestlestall.agreement import log as log_module, state as state_module

#: Least number of voters of which half may be a quorum.
MIN_HALVED_VOTERS = 4


def has_quorum(state: state_module.State, names: abc.Set[str]) -> bool:
    """Return whether the names include a quorum; those that don't vote don't count."""
    return all(
        has_majority(configuration.voters, names)
        or has_half(state, configuration, names)
        for configuration in list_configurations(state)
    )


def has_majority(voters: abc.Collection[str], names: abc.Set[str]) -> bool:
    """Return whether the names include a majority of the voters."""
    return sum(voter in names for voter in voters) > len(voters) // 2


def has_half(
    state: state_module.State, configuration: log_module.VotersAt, names: abc.Set[str]
) -> bool:
    """Return whether the names include a half that may be a quorum."""
    voters = set(configuration.voters)
    if not allows_halves(voters) or not voters & state.excluded_voters:
        return False
    sound = (voters & names) - state.excluded_voters
    return len(sound) >= len(voters) // 2 and is_settled(state, configuration)


def list_configurations(state: state_module.State) -> list[log_module.VotersAt]:
    """Return the voters of which a quorum each is needed."""
    latest = state.log.configuration
    previous = state.log.previous_configuration
    if previous is None or is_committed(state, latest):
        return [latest]
    if not allows_halves(previous.voters) or not previous.may_be_settled:
        return [latest]
    return [previous, latest]


def list_electorate(state: state_module.State) -> list[str]:
    """Return all voters of which any quorum may need the vote."""
    names: dict[str, None] = {}
    for configuration in list_configurations(state):
        names |= dict.fromkeys(configuration.voters)
    return list(names)


def allows_halves(voters: abc.Collection[str]) -> bool:
    """Return whether half of this many voters may be a quorum."""
    return len(voters) >= MIN_HALVED_VOTERS and len(voters) % 2 == 0


def is_committed(state: state_module.State, configuration: log_module.VotersAt) -> bool:
    """Return whether this node knows that the voters are committed."""
    return configuration.index <= state.commit or bool(configuration.marks)


def is_settled(state: state_module.State, configuration: log_module.VotersAt) -> bool:
    """Return whether this node knows that a ``SETTLED`` entry is committed."""
    marks = configuration.marks
    return len(marks) > 1 or len(marks) == 1 and marks[0] <= state.commit
