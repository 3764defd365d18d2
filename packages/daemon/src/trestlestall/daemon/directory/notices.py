"""Notices of a directory to the others: its voter name and its group."""

from collections import abc

from trestlestall.daemon.control import envelopes, group
from trestlestall.daemon.directory import links as directory_links, members

#: Seconds between two notices while some directory may not know the group.
INTERVAL_SECONDS = 0.2


class Notices:
    """Sends notices; ``describe`` returns the present one, None without a disk."""

    def __init__(
        self,
        links: directory_links.Links,
        known: members.Members,
        describe: abc.Callable[[], group.Notice | None],
    ) -> None:
        self._links = links
        self._known = known
        self._describe = describe
        self._sent_at = float("-inf")

    def renew(self) -> None:
        """Send the next notice to all at once, since it has changed."""
        self._sent_at = float("-inf")

    def send_due(self, now: float) -> None:
        """Send a notice to all, if one is due and may be news to somebody."""
        notice = self._describe()
        if notice is None or now - self._sent_at < INTERVAL_SECONDS:
            return
        if notice.group is None or self._known.has_ungrouped_peers():
            self._sent_at = now
            for peer in self._links.list_directories():
                self.send(peer)

    def send(self, peer: str) -> None:
        """Send a notice to one directory."""
        notice = self._describe()
        if notice is not None:
            self._links.send(peer, envelopes.wrap(notice.voter, peer, notice))
