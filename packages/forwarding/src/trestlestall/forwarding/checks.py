"""Validity checks of a configuration, beyond its form.

Each check is registered and returns the reason in one line, or None. A document that
fails a check is refused entirely and never in force.
"""

import collections
from collections import abc

from trestlestall.forwarding import model

Check = abc.Callable[[model.Configuration], str | None]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check; a decorator."""
    CHECKS.append(function)
    return function


def find_fault(configuration: model.Configuration) -> model.Invalid | None:
    """Return the reason of the first failing check, if any."""
    for function in CHECKS:
        reason = function(configuration)
        if reason is not None:
            return model.Invalid(reason)
    return None


@check
def check_services(configuration: model.Configuration) -> str | None:
    """A route may only name declared services."""
    for route in configuration.routes:
        for target in route.targets:
            if target.service not in configuration.services:
                return f"route {route.name}: unknown service {target.service}"
    return None


@check
def check_places(configuration: model.Configuration) -> str | None:
    """No two routes may share host and prefix."""
    places = collections.Counter(
        (route.host, route.prefix) for route in configuration.routes
    )
    for (host, prefix), count in places.items():
        if count > 1:
            return f"{count} routes share host and prefix {host}{prefix}"
    return None


@check
def check_weights(configuration: model.Configuration) -> str | None:
    """Weights must not be negative, and must add up to more than zero."""
    for route in configuration.routes:
        weights = [target.weight for target in route.targets]
        if any(weight < 0 for weight in weights) or sum(weights) <= 0:
            return f"route {route.name}: invalid weights {weights}"
    return None


@check
def check_durations(configuration: model.Configuration) -> str | None:
    """A route must give its requests some time."""
    for route in configuration.routes:
        if route.whole_seconds <= 0:
            return f"route {route.name}: time for the whole answer is not positive"
    return None


@check
def check_prefixes(configuration: model.Configuration) -> str | None:
    """A prefix must begin and end with a slash, so that it ends at a path segment."""
    for route in configuration.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            return f"route {route.name}: prefix {route.prefix} is not in slashes"
    return None


@check
def check_keys(configuration: model.Configuration) -> str | None:
    """A key must identify one workspace."""
    owners: dict[str, str] = {}
    for workspace in configuration.workspaces:
        for key in workspace.keys:
            if owners.setdefault(key, workspace.name) != workspace.name:
                return f"workspaces {owners[key]} and {workspace.name} share a key"
    return None
