"""What a directory sends to all linked processes: rosters and declaration notices."""

from trestlestall.daemon import events, logs
from trestlestall.daemon.control import machine as machines
from trestlestall.daemon.directory import links as directory_links
from trestlestall.wire import directory_messages

#: Seconds between two rosters sent to all linked processes.
ROSTER_INTERVAL_SECONDS = 2.0


class Broadcasts:
    """Sends the rosters and notices of one directory when they are due."""

    def __init__(self, links: directory_links.Links, log: logs.Log) -> None:
        self._links = links
        self._log = log
        self._roster_sent_at = float("-inf")
        self._announced_version = 0

    def schedule_roster(self) -> None:
        """Send the roster to all linked processes at the next turn."""
        self._roster_sent_at = float("-inf")

    def sync_peer(self, peer: str) -> None:
        """Send the roster and the version in force to a newly linked process."""
        self._send_roster(peer)
        if self._announced_version and not self._links.is_directory(peer):
            self._links.send(
                peer, directory_messages.DeclarationNotice(self._announced_version)
            )

    def broadcast_roster(self, now: float) -> None:
        """Send the roster to all linked processes, if that is due."""
        if now - self._roster_sent_at < ROSTER_INTERVAL_SECONDS:
            return
        self._roster_sent_at = now
        for peer in self._links.list_directories() + self._links.list_gateways():
            self._send_roster(peer)

    def broadcast_declaration(
        self, newest: machines.Declaration, index: int, leader: str | None
    ) -> bool:
        """Notify the gateways of a new version; return whether there is one.

        Each directory notifies the gateways linked to it. A restarted voter knows no
        version until a leader sends it the commit index; that is not a new version.
        """
        if newest.version <= self._announced_version:
            return False
        self._log.write(
            events.directory.IN_FORCE,
            declaration=newest.version,
            previous=self._announced_version,
            index=index,
            leader=leader,
        )
        self._announced_version = newest.version
        for gateway in self._links.list_gateways():
            self._links.send(
                gateway, directory_messages.DeclarationNotice(newest.version)
            )
        return True

    def _send_roster(self, peer: str) -> None:
        linked = (*self._links.list_directories(), self._links.own)
        self._links.send(peer, directory_messages.Roster(linked))
