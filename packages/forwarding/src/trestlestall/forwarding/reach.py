"""How a gateway reaches each upstream: itself, through a peer gateway, or not; pure.

An upstream that can't be connected to may have ended, or be partitioned from this
gateway alone. A peer that connects to it tells the two apart, and is a second way to
it, used until this gateway itself connects again.
"""

import dataclasses
import enum
from collections import abc

#: Connections that must succeed in a row before a way through a peer is given up: on a
#: link that loses packets single ones succeed.
STEADY_CONNECTS = 2
#: A single lost upstream is no partition.
PARTITION_SIZE = 2


class Way(enum.Enum):
    """How an upstream is reached."""

    DIRECT = "direct"
    PEER = "peer"
    NONE = "none"


@dataclasses.dataclass
class Loss:
    """An upstream that this gateway can't connect to, since when (seconds).

    ``lost_at`` is when it was last reached in no way any more. ``timed_out`` is whether
    its host did not reply at all. ``connects`` counts the connections that have
    succeeded in a row since.
    """

    since: float
    lost_at: float
    timed_out: bool
    way: Way = Way.NONE
    connects: int = 0


class Reach:
    """The upstreams that one gateway can't connect to itself."""

    def __init__(self) -> None:
        self.losses: dict[str, Loss] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """The upstreams that are reached in no way."""
        return frozenset(
            one for one, loss in self.losses.items() if loss.way is Way.NONE
        )

    def find_way(self, identity: str) -> Way:
        """Return how the upstream is reached."""
        loss = self.losses.get(identity)
        return Way.DIRECT if loss is None else loss.way

    def list_losses(self, identities: abc.Iterable[str]) -> list[Loss]:
        """Return the losses of those of these upstreams that are unreachable."""
        found = [self.losses[one] for one in identities if one in self.losses]
        return [loss for loss in found if loss.way is Way.NONE]

    def is_partition(self, identities: abc.Collection[str]) -> bool:
        """Return whether most of these upstreams can't be connected to."""
        lost = sum(one in self.losses for one in identities)
        return lost >= PARTITION_SIZE and 2 * lost > len(identities)

    def record_loss(self, identity: str, now: float, timed_out: bool) -> bool:
        """Record a failed connection; return whether it is the first in a row."""
        loss = self.losses.get(identity)
        if loss is None:
            self.losses[identity] = Loss(now, now, timed_out)
            return True
        loss.connects = 0
        return False

    def record_peer(self, identity: str, reached: bool, now: float) -> bool:
        """Record whether a peer connects to a lost upstream; return if that is new."""
        loss = self.losses.get(identity)
        if loss is None:
            return False
        former, loss.way = loss.way, Way.PEER if reached else Way.NONE
        if former is loss.way:
            return False
        if not reached:
            loss.lost_at = now
        return True

    def record_connected(self, identity: str) -> bool:
        """Record an own connection; return whether it ends the loss."""
        loss = self.losses.get(identity)
        if loss is None:
            return False
        loss.connects += 1
        if loss.way is Way.PEER and loss.connects < STEADY_CONNECTS:
            return False
        del self.losses[identity]
        return True

    def forget(self, identity: str) -> None:
        """Remove an upstream that no longer serves."""
        self.losses.pop(identity, None)
