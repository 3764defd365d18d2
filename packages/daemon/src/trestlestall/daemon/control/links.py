"""A control process's links: those in its settings, and to voters added later."""

import contextlib
import typing
from collections import abc

from trestlestall.daemon import settings as process_settings
from trestlestall.wire import links as wire_links

CONTROL = "control"


class Links:
    """A mesh that can be opened after the server that uses it was created."""

    def __init__(self, settings: process_settings.ControlSettings):
        self._settings = settings
        self._mesh: wire_links.Mesh | None = None

    @contextlib.contextmanager
    def open(
        self,
        on_message: abc.Callable[[str, typing.Any], object],
        on_change: abc.Callable[[str, bool], object],
    ) -> abc.Iterator[None]:
        """Listen and dial within the context; raises ``ListenError``."""
        settings = self._settings
        peers = [
            wire_links.Peer(one.name, one.role, one.data_centre, str(one.address))
            for one in settings.peers
        ]
        self._mesh = wire_links.Mesh(
            settings.name,
            settings.role,
            settings.data_centre,
            settings.secrets.peers,
            str(settings.listen.peers),
            peers,
            on_message,
            on_change,
        )
        self._mesh.start()
        try:
            yield
        finally:
            self._mesh.stop()

    def send(self, name: str, message: typing.Any) -> bool:
        """Queue a message; false when there is no link."""
        return self._mesh is not None and self._mesh.send(name, message)

    def linked(self) -> set[str]:
        """Return the names of the linked processes."""
        return self._mesh.linked() if self._mesh is not None else set()

    def is_control(self, name: str) -> bool:
        """Return whether a control process is linked under this name."""
        if name not in self.linked():
            return False
        return self._mesh.links[name].peer.role == CONTROL

    @property
    def bytes_sent(self) -> int:
        """Bytes sent since the start."""
        return self._mesh.bytes_sent if self._mesh is not None else 0

    @property
    def bytes_received(self) -> int:
        """Bytes received since the start."""
        return self._mesh.bytes_received if self._mesh is not None else 0

    def dial(self, name: str, address: str) -> None:
        """Open a link to a control process that is not listed in the settings.

        Of two processes the one with the lower name dials; the other only lists it.
        """
        mesh = self._mesh
        if mesh is None or name in mesh.peers or name == mesh.name:
            return
        peer = wire_links.Peer(name, CONTROL, "", address)
        mesh.peers[name] = peer
        if wire_links.should_dial(mesh.name, mesh.role, peer):
            mesh.spawn(mesh.run_dialler, peer)
