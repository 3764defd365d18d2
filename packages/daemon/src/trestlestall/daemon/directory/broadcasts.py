"""What a directory tells all linked processes: of directories, of new versions."""

from trestlestall.daemon import events, logs
from trestlestall.daemon.control import machine as machines
from trestlestall.daemon.directory import links as directory_links
from trestlestall.wire import directory_messages

#: Seconds between two rosters to everyone.
ROSTER_SECONDS = 2.0


class Broadcasts:
    """Rosters and notices of one directory, each as often as it is due."""

    def __init__(self, links: directory_links.Links, log: logs.Log) -> None:
        self._links = links
        self._log = log
        self._roster_at = float("-inf")
        self._told_version = 0

    def note_directories(self) -> None:
        """Tell everyone of the directories at the next turn."""
        self._roster_at = float("-inf")

    def greet(self, peer: str) -> None:
        """Tell a process that was just linked."""
        self._send_roster(peer)
        if self._told_version and not self._links.is_directory(peer):
            self._links.send(
                peer, directory_messages.DeclarationNotice(self._told_version)
            )

    def tell_roster(self, now: float) -> None:
        """Tell everyone of the directories, if that is due."""
        if now - self._roster_at < ROSTER_SECONDS:
            return
        self._roster_at = now
        for peer in self._links.list_directories() + self._links.list_gateways():
            self._send_roster(peer)

    def tell_declaration(
        self, newest: machines.Declaration, index: int, leader: str | None
    ) -> bool:
        """Tell the gateways of a new version; return whether there is one.

        Each directory tells for itself. A voter that starts again knows nothing until a
        leader tells it what is committed; that is not news.
        """
        if newest.version <= self._told_version:
            return False
        self._log.write(
            events.directory.IN_FORCE,
            declaration=newest.version,
            previous=self._told_version,
            index=index,
            leader=leader,
        )
        self._told_version = newest.version
        for gateway in self._links.list_gateways():
            self._links.send(
                gateway, directory_messages.DeclarationNotice(newest.version)
            )
        return True

    def _send_roster(self, peer: str) -> None:
        linked = (*self._links.list_directories(), self._links.own)
        self._links.send(peer, directory_messages.Roster(linked))
