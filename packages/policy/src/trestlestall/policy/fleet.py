"""The loads of the upstreams in the view, indexed by target."""

from trestlestall.policy import arrivals, loads, settings as defaults


class Fleet:
    """Loads by upstream and by target. Removed upstreams have none."""

    def __init__(self, settings: defaults.Settings):
        self._settings = settings
        self._indexed: tuple | None = None
        self._loads: dict[str, loads.Load] = {}
        self._by_target: dict[str, list[loads.Load]] = {}
        self._slots: dict[str, float] = {}
        self.drained: frozenset[str] = frozenset()

    def refresh(self, view: arrivals.View) -> set[str] | None:
        """Apply a view; return the names of upstreams that were removed or restarted.

        ``None`` means that the upstreams are the same as in the previous view.
        """
        if view.drained != self.drained:
            self.drained = view.drained
            self._slots = {}
        if view.upstreams is self._indexed:
            return None
        self._indexed = view.upstreams
        before = self._loads
        self._loads = {}
        for upstream in view.upstreams:
            self._loads[upstream.name] = self._update_load(upstream, before)
        self._index()
        unchanged = {
            name for name, load in self._loads.items() if before.get(name) is load
        }
        return set(before) - unchanged

    def find(self, name: str, incarnation: int) -> loads.Load | None:
        """Return the load of an upstream if it is live with the same incarnation."""
        load = self._loads.get(name)
        if load is None or load.upstream.incarnation != incarnation:
            return None
        return load

    def list_loads(self, target: str) -> list[loads.Load]:
        """Return the loads of the upstreams that serve a target, drained ones too."""
        return self._by_target.get(target, [])

    def list_open(self, target: str) -> list[loads.Load]:
        """Return the loads of the upstreams that accept new work of a target."""
        found = self.list_loads(target)
        if not self.drained:
            return found
        return [load for load in found if load.upstream.name not in self.drained]

    def discount_stall(self, seconds: float) -> None:
        """Exclude the seconds for which this process was held up from all work."""
        for load in self._loads.values():
            load.busy_since += seconds

    def list_targets(self) -> list[str]:
        """Return every target that some upstream serves."""
        return list(self._by_target)

    def count_slots(self, target: str) -> float:
        """Return the slots that serve a target.

        The slots of an upstream with several models are divided evenly among them.
        """
        slots = self._slots.get(target)
        if slots is None:
            slots = sum(
                load.slots / max(1, len(load.upstream.models))
                for load in self.list_open(target)
            )
            self._slots[target] = slots
        return slots

    def _update_load(self, upstream, before: dict[str, loads.Load]) -> loads.Load:
        load = before.get(upstream.name)
        if load is None or load.upstream.incarnation != upstream.incarnation:
            return loads.Load(upstream, self._settings.report_lag)
        load.refresh(upstream)
        return load

    def _index(self) -> None:
        self._by_target = {}
        self._slots = {}
        for load in self._loads.values():
            for target in arrivals.list_targets(load.upstream):
                self._by_target.setdefault(target, []).append(load)
