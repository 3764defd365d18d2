"""The policy's view of the data centre: live upstreams, pressure and drains."""

from collections import abc

from trestlestall.membership import pressure, table, upstreams
from trestlestall.policy import arrivals

# Peers' pressure levels are read again when the view is older than this.
PRESSURE_REFRESH_SECONDS = 0.05


class Views:
    """Builds the policy's view, and returns the same one while nothing has changed.

    An upstream whose lease has ended is in no view from that moment on: the table is
    read for each view, which is cheap while nothing changes.
    """

    def __init__(self, members: table.Table, board: pressure.Board):
        self._members = members
        self._board = board
        self._by_name: dict[str, upstreams.Upstream] = {}
        self._view = arrivals.View()
        self._pressure_at = float("-inf")
        self._changed = True
        self.drained: frozenset[str] = frozenset()
        self.routers = 1

    def invalidate(self) -> None:
        """Rebuild the view at the next call: the pressure or the drains changed."""
        self._changed = True

    def get_view(self, now: float) -> arrivals.View:
        """Return the view at this moment."""
        live = self._members.list_live(now)
        old = now - self._pressure_at >= PRESSURE_REFRESH_SECONDS
        if self._changed or old or live is not self._view.upstreams:
            self._rebuild(live, now)
        return self._view

    def find_upstream(self, name: str) -> upstreams.Upstream | None:
        """Return a live upstream of the newest view by its name."""
        return self._by_name.get(name)

    def _rebuild(self, live: tuple[upstreams.Upstream, ...], now: float) -> None:
        if live is not self._view.upstreams:
            self._by_name = {upstream.name: upstream for upstream in live}
        self._pressure_at = now
        self._changed = False
        pressed = self._find_pressure(now)
        self._view = arrivals.View(live, pressed, self.drained, self.routers)

    def _find_pressure(self, now: float) -> abc.Mapping[str, int]:
        models = {model for note in self._board.notes.values() for model in note.levels}
        found = {model: self._board.find_pressure(model, now) for model in models}
        return {model: tier for model, tier in found.items() if tier is not None}
