"""Bootstrap of the group of voters from the first control processes; pure.

A voter's name consists of the name of its process and the identity of its disk, such as
``control-1#9f3a``. The settings have only the names, so at the first start the
processes send each other notices with their identities. Once all of them are known, and
none of the processes is in a group, the one with the lowest name forms the group, makes
it durable and notifies the others.

A process whose disk was wiped has a new identity. It discovers that the others have a
group without it, forms none, and waits until an operator adds it.
"""

import dataclasses
from collections import abc

SEPARATOR = "#"


@dataclasses.dataclass(frozen=True)
class Notice:
    """A control process's notice to its peers: its voter name and its group.

    ``group`` has the names of the initial voters; None before it is formed.
    """

    voter: str
    group: tuple[str, ...] | None


def format_voter_name(name: str, identity: str) -> str:
    """Return the voter name of a process and its disk."""
    return f"{name}{SEPARATOR}{identity}"


def get_process_name(voter: str) -> str:
    """Return the name of a voter's process.

    >>> get_process_name("control-1#9f3a")
    'control-1'
    """
    return voter.partition(SEPARATOR)[0]


def find_group(
    own: str, initial_names: abc.Collection[str], notices: abc.Iterable[Notice]
) -> tuple[str, ...] | None:
    """Return the group to join, or None while it is unknown.

    ``own`` is this process's voter name and ``notices`` the newest of each linked peer.
    If the group does not contain ``own``, this process waits to be added.
    """
    notices = list(notices)
    for notice in notices:
        if notice.group:
            return notice.group
    voters = {get_process_name(notice.voter): notice.voter for notice in notices}
    voters[get_process_name(own)] = own
    if get_process_name(own) != min(initial_names) or not set(initial_names) <= set(
        voters
    ):
        return None
    return tuple(voters[name] for name in sorted(initial_names))
