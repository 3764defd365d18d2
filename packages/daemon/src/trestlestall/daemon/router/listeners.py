"""The router's listeners, and the credential check of each of them."""

from __future__ import annotations

import contextlib
import typing
from collections import abc

from trestlestall.daemon.http import (
    application,
    credentials,
    errors,
    limits,
    listener,
    requests,
    routes,
)
from trestlestall.daemon.router import callers, operators, platform, upstream_endpoints

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

CONNECTIONS_PER_STREAM = 2

# The callers' listener has no check of its own: its handlers resolve the workspace from
# the key.
ROUTE_TABLES: dict[str, routes.Routes] = {
    "callers": callers.ROUTES,
    "upstreams": upstream_endpoints.ROUTES,
    "operators": operators.ROUTES,
    "platform": platform.ROUTES,
}


@contextlib.contextmanager
def open_all(router: process.Router) -> abc.Iterator[dict[str, listener.Listener]]:
    """Yield the open listeners by their names in the settings.

    Raises ``OSError`` when an address can't be bound.
    """
    with contextlib.ExitStack() as stack:
        yield {
            name: stack.enter_context(open_listener(router, name, table))
            for name, table in ROUTE_TABLES.items()
        }


def open_listener(
    router: process.Router, name: str, table: routes.Routes
) -> contextlib.AbstractContextManager[listener.Listener]:
    """Open one listener."""
    configured = router.settings.limits
    bounds = limits.Limits(
        body_bytes=configured.body_bytes,
        header_bytes=configured.header_bytes,
        read_seconds=configured.read_seconds,
        connections=CONNECTIONS_PER_STREAM * configured.streams,
        held_bytes=configured.held_bytes,
    )
    check = make_check(router, name)
    report = router.reports.make_error_reporter(name)
    app = application.Application(router, table, bounds, check, report)
    address = str(getattr(router.settings.listen, name))
    return listener.open_listener(address, app, bounds)


def make_check(router: process.Router, name: str) -> application.Check:
    """Return the check of the credential that runs before any handler."""

    def check_upstream(request: requests.Request) -> errors.Failure | None:
        return credentials.check_secret(
            request.headers, router.settings.secrets.upstreams
        )

    def check_operator(request: requests.Request) -> errors.Failure | None:
        found = credentials.find_owner(
            request.headers, router.settings.secrets.operators
        )
        return found if isinstance(found, errors.Failure) else None

    checks = {"upstreams": check_upstream, "operators": check_operator}
    check = checks.get(name, application.allow_all)

    def check_and_record(request: requests.Request) -> errors.Failure | None:
        failure = check(request)
        if failure is not None:
            router.reports.record_rejection(name, request, failure)
        return failure

    return check_and_record
