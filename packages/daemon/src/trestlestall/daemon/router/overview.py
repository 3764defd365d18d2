"""State of the router for readiness checks, operators and the metrics' gauges."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process


def find_unready_reason(router: process.Router) -> str | None:
    """Return why the balancer should send no callers here, or ``None``."""
    if router.stopping:
        return "The router is stopping."
    if not router.agreed.known:
        return "No configuration has been received yet."
    return None


def describe(router: process.Router) -> dict[str, typing.Any]:
    """Return the state of the router as plain values; ages are in seconds."""
    now = router.env.clock.monotonic()
    age = router.agreed.compute_age(now)
    return {
        "name": router.settings.name,
        "role": "router",
        "data_centre": router.settings.data_centre,
        "version": router.agreed.version,
        "version_age_seconds": None if age is None else round(age, 3),
        "cut_off": router.agreed.is_cut_off(now),
        "ready": find_unready_reason(router) is None,
        "stopping": router.stopping,
        "requests": len(router.dispatcher.list_open()),
        "upstreams": len(router.members.table.list_live(now)),
        "links": sorted(router.mesh.linked()),
        "control_leader": router.controls.leader,
        "bytes_sent": router.mesh.bytes_sent,
        "bytes_received": router.mesh.bytes_received,
    }


def refresh_metrics(router: process.Router) -> None:
    """Update the gauges to the present state."""
    now = router.env.clock.monotonic()
    age = router.agreed.compute_age(now)
    metrics = router.metrics
    metrics.open_streams.set(len(router.dispatcher.exchanges))
    metrics.links.set(len(router.mesh.linked()))
    metrics.configuration_version.set(router.agreed.version)
    metrics.configuration_age.set(float("inf") if age is None else age)
    metrics.note_link_bytes(router.mesh.bytes_sent, router.mesh.bytes_received)
    refresh_upstreams(router)
    refresh_queues(router)


def refresh_upstreams(router: process.Router) -> None:
    """Count the known upstreams by state."""
    metrics = router.metrics
    metrics.upstreams.clear()
    for row in router.members.list_rows(router.agreed.configuration.drained):
        metrics.upstreams.labels(row["state"]).inc()


def refresh_queues(router: process.Router) -> None:
    """Count the admitted requests that wait for an upstream, by class."""
    metrics = router.metrics
    metrics.queue_length.clear()
    sent = {attempt.request for attempt in router.dispatcher.attempts.values()}
    for exchange in router.dispatcher.exchanges.values():
        if exchange.request not in sent and not exchange.is_over:
            metrics.queue_length.labels(exchange.request_class.name).inc()
