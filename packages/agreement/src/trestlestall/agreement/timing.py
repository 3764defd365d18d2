"""Times and limits of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Timing:
    """Times in seconds.

    A voter that hears no leader for ``election`` to twice ``election`` (drawn anew
    each time) stands for election; a leader that hears no quorum for ``election``
    steps down. ``heartbeat`` should be at most a quarter of ``election``. A new voter
    that is silent for ``catch_up`` is given up. ``first_election`` takes the place of
    ``election`` in a voter that has known no leader since its start.
    """

    election: float = 1.0
    heartbeat: float = 0.2
    catch_up: float = 10.0
    first_election: float = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of messages and of memory.

    ``batch_bytes`` and ``batch_entries`` bound the entries of one message, ``inflight``
    the unanswered batches per peer, ``chunk_bytes`` one chunk of a snapshot and
    ``payload_bytes`` one command; ``uncommitted_entries`` and ``uncommitted_bytes``
    bound what waits for a quorum. One message stays far below the 8 MiB of a wire
    frame.
    """

    batch_bytes: int = 1 << 20
    batch_entries: int = 1024
    inflight: int = 8
    chunk_bytes: int = 1 << 20
    payload_bytes: int = 1 << 18
    uncommitted_entries: int = 16_384
    uncommitted_bytes: int = 1 << 25


DEFAULT_LIMITS = Limits()
