"""A directory's links: to every other directory, and from every gateway."""

import contextlib
import typing
from collections import abc

from trestlestall.daemon import settings as process_settings
from trestlestall.wire import links as wire_links

DIRECTORY = "control"
#: Seconds that the side with the higher name waits for the other side to dial: two of
#: its attempts, of which the first may have found this host not yet up.
DIAL_WAIT_TIMEOUT_SECONDS = 0.3


class Links:
    """A mesh that discovers its peers over time; a directory's name is its address."""

    def __init__(self, settings: process_settings.DirectorySettings) -> None:
        self.own = str(settings.listen.peers_reached_at or settings.listen.peers)
        self._settings = settings
        self._mesh: wire_links.Mesh | None = None
        self._linked_names: tuple[list[str], list[str]] | None = None

    @contextlib.contextmanager
    def open(
        self,
        on_message: abc.Callable[[str, typing.Any], object],
        on_change: abc.Callable[[str, bool], object],
    ) -> abc.Iterator[None]:
        """Accept and open links while the block runs; raises ``ListenError``."""
        settings = self._settings

        def record_change(name: str, linked: bool) -> None:
            self._linked_names = None
            on_change(name, linked)

        self._mesh = wire_links.Mesh(
            self.own,
            DIRECTORY,
            settings.data_centre,
            settings.secrets.peers,
            str(settings.listen.peers),
            (),
            on_message,
            record_change,
        )
        self._mesh.start()
        self.add(map(str, settings.directories))
        try:
            yield
        finally:
            self._mesh.stop()

    def add(self, addresses: abc.Iterable[str]) -> None:
        """Open and maintain links to these directories too."""
        for address in addresses:
            peer = wire_links.Peer(address, DIRECTORY, "", address)
            dials = wire_links.should_dial(self.own, DIRECTORY, peer)
            self._mesh.add_peer(peer, 0.0 if dials else DIAL_WAIT_TIMEOUT_SECONDS)

    def send(self, name: str, message: typing.Any) -> bool:
        """Queue a message; false when there is no link."""
        return self._mesh is not None and self._mesh.send(name, message)

    def list_directories(self) -> list[str]:
        """Return the linked directories."""
        return self._list_linked()[0]

    def list_gateways(self) -> list[str]:
        """Return the linked gateways."""
        return self._list_linked()[1]

    def is_directory(self, name: str) -> bool:
        """Return whether a directory is linked under this name."""
        link = self._mesh.links.get(name) if self._mesh is not None else None
        return link is not None and link.peer.role == DIRECTORY

    def find_data_centre(self, name: str) -> str:
        """Return the data centre of a linked process; empty if it isn't linked."""
        link = self._mesh.links.get(name) if self._mesh is not None else None
        return link.peer.data_centre if link is not None else ""

    def _list_linked(self) -> tuple[list[str], list[str]]:
        """Return directories and gateways; recomputed only when a link changes.

        Each turn asks for them several times, with a hundred gateways linked.
        """
        if self._linked_names is None:
            linked = sorted(self._mesh.linked()) if self._mesh is not None else []
            directories = [name for name in linked if self.is_directory(name)]
            gateways = [name for name in linked if not self.is_directory(name)]
            self._linked_names = directories, gateways
        return self._linked_names
