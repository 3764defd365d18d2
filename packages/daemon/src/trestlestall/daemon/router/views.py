"""What the policy is shown of the data centre: live upstreams, pressure, drains."""

from collections import abc

from trestlestall.membership import pressure, table, upstreams
from trestlestall.policy import arrivals

# How long a view is used unless something is known to have changed (seconds). Leases
# run out by themselves, so that no view is right for long.
FRESH_SECONDS = 0.05


class Views:
    """Makes the policy's view, and the same one again while nothing has changed."""

    def __init__(self, members: table.Table, board: pressure.Board):
        self._members = members
        self._board = board
        self._upstreams: tuple[upstreams.Upstream, ...] = ()
        self._by_name: dict[str, upstreams.Upstream] = {}
        self._view = arrivals.View()
        self._made_at = float("-inf")
        self.drained: frozenset[str] = frozenset()
        self.routers = 1

    def drop(self) -> None:
        """Make a new view next time: an upstream, the pressure or a drain changed."""
        self._made_at = float("-inf")

    def find(self, now: float) -> arrivals.View:
        """Return the view of this moment."""
        if now - self._made_at < FRESH_SECONDS:
            return self._view
        self._made_at = now
        live = self._members.list_live(now)
        if live != self._upstreams:
            self._upstreams = live
            self._by_name = {upstream.name: upstream for upstream in live}
        self._view = arrivals.View(
            self._upstreams, self._find_pressure(now), self.drained, self.routers
        )
        return self._view

    def find_upstream(self, name: str) -> upstreams.Upstream | None:
        """Return a live upstream of the newest view by its name."""
        return self._by_name.get(name)

    def _find_pressure(self, now: float) -> abc.Mapping[str, int]:
        models = {model for note in self._board.notes.values() for model in note.levels}
        found = {model: self._board.find_pressure(model, now) for model in models}
        return {model: tier for model, tier in found.items() if tier is not None}
