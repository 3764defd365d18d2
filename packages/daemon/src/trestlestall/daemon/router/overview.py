"""How the router is: for readiness, for operators, and for the metrics' gauges."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process


def find_unready_reason(site: process.Router) -> str | None:
    """Return why callers should not be sent here, or ``None``."""
    if site.stopping:
        return "The router is stopping."
    if not site.agreed.known:
        return "No configuration has been received yet."
    return None


def describe(site: process.Router) -> dict[str, typing.Any]:
    """Return the state of the router as plain values; ages are in seconds."""
    now = site.env.clock.monotonic()
    age = site.agreed.find_age(now)
    return {
        "name": site.settings.name,
        "role": "router",
        "data_centre": site.settings.data_centre,
        "version": site.agreed.version,
        "version_age_seconds": None if age is None else round(age, 3),
        "cut_off": site.agreed.is_cut_off(now),
        "ready": find_unready_reason(site) is None,
        "stopping": site.stopping,
        "requests": len(site.dispatcher.list_open()),
        "upstreams": len(site.members.table.list_live(now)),
        "links": sorted(site.mesh.linked()),
        "control_leader": site.controls.leader,
        "bytes_sent": site.mesh.bytes_sent,
        "bytes_received": site.mesh.bytes_received,
    }


def refresh_metrics(site: process.Router) -> None:
    """Bring the gauges up to this moment."""
    now = site.env.clock.monotonic()
    age = site.agreed.find_age(now)
    metrics = site.metrics
    metrics.open_streams.set(len(site.dispatcher.exchanges))
    metrics.links.set(len(site.mesh.linked()))
    metrics.configuration_version.set(site.agreed.version)
    metrics.configuration_age.set(float("inf") if age is None else age)
    metrics.note_link_bytes(site.mesh.bytes_sent, site.mesh.bytes_received)
    refresh_upstreams(site)
    refresh_queues(site)


def refresh_upstreams(site: process.Router) -> None:
    """Count the known upstreams by state."""
    metrics = site.metrics
    metrics.upstreams.clear()
    for row in site.members.list_rows(site.agreed.configuration.drained):
        metrics.upstreams.labels(row["state"]).inc()


def refresh_queues(site: process.Router) -> None:
    """Count the admitted requests that no upstream has, by class."""
    metrics = site.metrics
    metrics.queue_length.clear()
    sent = {attempt.request for attempt in site.dispatcher.attempts.values()}
    for exchange in site.dispatcher.exchanges.values():
        if exchange.request not in sent and not exchange.over:
            metrics.queue_length.labels(exchange.request_class.name).inc()
