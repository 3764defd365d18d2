"""Timeouts and limits of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts and intervals in seconds.

    ``election`` is the election timeout: a voter starts an election after a random time
    between ``election`` and twice ``election`` (drawn anew each time) without contact
    with a leader, and a leader without contact with a quorum for ``election`` steps
    down. ``heartbeat`` is the heartbeat interval, and should be at most a quarter of
    ``election``. A learner that doesn't respond for ``catch_up`` is dropped.
    ``first_election`` replaces ``election`` in a voter that has known no leader since
    its start. Both have to exceed the time of an election, in which several syncs of
    disks follow one another; ``adapt_to_syncs`` lengthens them for slow disks.
    """

    election: float = 1.0
    heartbeat: float = 0.2
    catch_up: float = 10.0
    first_election: float = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of message sizes and of memory.

    ``batch_bytes`` and ``batch_entries`` limit the entries of one message, ``inflight``
    the unacknowledged batches per peer, ``chunk_bytes`` one chunk of a snapshot and
    ``payload_bytes`` one command; ``uncommitted_entries`` and ``uncommitted_bytes``
    limit the entries that wait for a quorum. One message is far smaller than the 8 MiB
    limit of a wire frame.
    """

    batch_bytes: int = 1 << 20
    batch_entries: int = 1024
    inflight: int = 8
    chunk_bytes: int = 1 << 20
    payload_bytes: int = 1 << 18
    uncommitted_entries: int = 16_384
    uncommitted_bytes: int = 1 << 25


DEFAULT_LIMITS = Limits()

#: Syncs in an election: the candidate's vote, another voter's and the new leader's
#: first entry, and one in which a process may be when a message arrives.
SYNCS_PER_ELECTION = 4
#: Longest election timeout for slow disks, in seconds.
MAX_ADAPTED_SECONDS = 5.0


def adapt_to_syncs(timing: Timing, sync_seconds: float) -> Timing:
    """Return the timing with election timeouts that outlast an election.

    ``sync_seconds`` is how long a sync of this voter's disk takes. A voter whose disk
    holds it up hears from no leader meanwhile, and the leader not from it.

    >>> adapt_to_syncs(Timing(election=0.5, first_election=0.1), 0.05).first_election
    0.2
    """
    needed = min(MAX_ADAPTED_SECONDS, round(SYNCS_PER_ELECTION * sync_seconds, 3))
    return dataclasses.replace(
        timing,
        election=max(timing.election, needed),
        first_election=max(timing.first_election, needed),
    )
