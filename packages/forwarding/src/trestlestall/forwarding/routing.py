"""Lookup of a request's route and workspace in the configuration in force."""

import dataclasses

from trestlestall.forwarding import model


@dataclasses.dataclass(frozen=True)
class Unroutable:
    """No route matches the request."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request's key belongs to no workspace, or is missing where one is needed."""


class RouteTable:
    """The configuration in force, indexed for one lookup per request."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[model.Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._owners = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> model.Route | Unroutable:
        """Return the host's route with the longest prefix of the path."""
        name = host.rpartition(":")[0] if has_port(host) else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return Unroutable()

    def find_workspace(
        self, route: model.Route, key: str | None
    ) -> model.Workspace | None | Unknown:
        """Return the request's workspace; None where none is needed."""
        owner = self._owners.get(key) if key is not None else None
        if owner is not None:
            return owner
        if route.public or not self.configuration.workspaces:
            return None
        return Unknown()


def has_port(host: str) -> bool:
    """Return whether a ``Host`` value ends in a port.

    >>> has_port("api.example:8080"), has_port("api.example"), has_port("[::1]")
    (True, False, False)
    """
    return host.rpartition(":")[2].isdigit()


def choose_service(route: model.Route, draw: float) -> str:
    """Return the service that a draw from [0, 1) selects by the route's weights."""
    left = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return next(one.service for one in reversed(route.targets) if one.weight > 0)
