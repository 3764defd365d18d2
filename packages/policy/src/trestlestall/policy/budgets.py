"""A token bucket that limits retries and hedges to a share of the requests sent."""


class Budget:
    """A token bucket filled by first sends and drained by retries and hedges.

    Example: with ``share`` 0.1, ten first sends allow one retry or hedge.
    """

    def __init__(self, share: float, capacity: float):
        self._share = share
        self._capacity = capacity
        self._level = capacity / 2

    def fill(self) -> None:
        """Add the share of one first send, up to the capacity."""
        self._level = min(self._capacity, self._level + self._share)

    def take(self) -> bool:
        """Take one token for a retry or hedge; return whether there was one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
