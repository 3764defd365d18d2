"""The network of a fleet in virtual time: cuts of single pairs, by direction.

Whoever shares a third process need not reach each other. A cut loses a share of the
messages of one direction; unless both ends notice it, messages are sent and lost.
"""

import dataclasses
import math

#: Seconds without a message after which a link counts as lost, as in the product.
SILENCE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Cut:
    """The share of messages lost, and from when both ends take the link for down."""

    loss: float
    down_at: float = math.inf


def refuse(now):
    """Return the cut of each direction if connections are refused."""
    return Cut(1.0, now), Cut(1.0, now)


def silence(now):
    """Return the cut of each direction if packets vanish both ways."""
    found = Cut(1.0, now + SILENCE_SECONDS)
    return found, found


def silence_one_way(now):
    """Return the cut of each direction if packets vanish one way."""
    return Cut(1.0, now + SILENCE_SECONDS), Cut(0.0, now + SILENCE_SECONDS)


def lose_some(now):
    """Return the cut of each direction if a third of the messages is lost."""
    return Cut(0.3), Cut(0.3)


#: How a pair is cut.
WAYS = (refuse, silence, silence_one_way, lose_some)


class Links:
    """The links between the processes of a fleet.

    Only processes with the same ``side`` reach each other, and of these only pairs that
    are not cut.
    """

    def __init__(self, random):
        self._random = random
        self._cuts = {}

    def cut(self, one, other, way, now):
        """Cut a pair of processes; the first direction is that from ``one``."""
        there, back = way(now)
        self._cuts[id(one), id(other)] = there
        self._cuts[id(other), id(one)] = back

    def heal(self, one, other):
        """End the cut of a pair."""
        self._cuts.pop((id(one), id(other)), None)
        self._cuts.pop((id(other), id(one)), None)

    def is_up(self, one, other, now):
        """Return whether both processes take their link for working."""
        cut = self._cuts.get((id(one), id(other)))
        return one.side == other.side and (cut is None or now < cut.down_at)

    def can_hear(self, one, other, now):
        """Return whether any message of ``other`` reaches ``one``."""
        cut = self._cuts.get((id(other), id(one)))
        return self.is_up(one, other, now) and (cut is None or cut.loss < 1.0)

    def delivers(self, one, other, now):
        """Return whether a message that ``one`` sends now reaches ``other``."""
        if not self.is_up(one, other, now):
            return False
        cut = self._cuts.get((id(one), id(other)))
        return cut is None or self._random.random() >= cut.loss
