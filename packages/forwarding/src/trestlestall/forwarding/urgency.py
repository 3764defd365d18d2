"""How urgent requests are: by their workspace's tier first, then by their route's.

    ranks = Ranks(configuration)
    ranks.find(route, workspace)

A workspace's tier alone would make all its requests equal, and its short questions
would wait behind its own long prompts.
"""

from trestlestall.forwarding import model

#: The ranks that engines tell apart go from 0, the most urgent, to one less than this.
RANKS = 10


class Ranks:
    """The ranks of all requests that one configuration allows."""

    def __init__(self, configuration: model.Configuration) -> None:
        owners = (None, *configuration.workspaces)
        pairs = {
            pair_tiers(route, owner)
            for route in configuration.routes
            for owner in owners
        }
        squeeze = max(RANKS, len(pairs))
        self._ranks = {
            pair: place * RANKS // squeeze for place, pair in enumerate(sorted(pairs))
        }

    def find(self, route: model.Route, workspace: model.Workspace | None) -> int:
        """Return the rank of a request of the configuration."""
        return self._ranks[pair_tiers(route, workspace)]


def pair_tiers(
    route: model.Route, workspace: model.Workspace | None
) -> tuple[int, int]:
    """Return the tiers that decide, the weightier first.

    Where the workspace has none, the route's stands in its place.
    """
    own = workspace.tier if workspace is not None else None
    return (route.tier if own is None else own), route.tier
