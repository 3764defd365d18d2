"""Sends messages to the control leader, as far as it is known."""

from collections import abc

Send = abc.Callable[[str, object], bool]


class Controls:
    """Passes messages to the control leader.

    The leader is the control process that answered last. While none is known, a message
    goes to every linked control process: calls carry identifiers, so that copies of a
    call count once.
    """

    def __init__(self, names: abc.Iterable[str], send: Send):
        self.names = frozenset(names)
        self._send = send
        self._leader: str | None = None

    @property
    def leader(self) -> str | None:
        """The presumed control leader, or ``None`` while none is known."""
        return self._leader

    def record_leader(self, name: str) -> None:
        """Record that this control process answered as the leader."""
        self._leader = name

    def record_redirect(self, leader: str | None) -> bool:
        """Record the leader named by a redirect, if any; return whether it is new."""
        former = self._leader
        self._leader = leader if leader in self.names else None
        return self._leader not in (None, former)

    def clear_leader(self, name: str | None = None) -> None:
        """Clear the presumed leader; with a name (a lost link), only that one."""
        if name is None or name == self._leader:
            self._leader = None

    def send(self, message: object) -> bool:
        """Send to the leader, or to every control process; false if none is linked."""
        if self._leader is not None and self._send(self._leader, message):
            return True
        self._leader = None
        return any([self._send(name, message) for name in sorted(self.names)])
