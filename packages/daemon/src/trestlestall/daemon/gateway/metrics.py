"""A gateway's metrics; names and units follow the Prometheus conventions."""

import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
DURATION_BUCKETS = (0.02, 0.05, 0.1, 0.25, 0.4, 1, 2, 5, 15)
#: Routes with series of their own; the others share one, so that the number of series
#: stays bounded however many routes an operator declares.
ROUTES_SHOWN = 50
OTHER_ROUTES = "other"


class Metrics:
    """The gateway's counters, gauges and histograms, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._routes: set[str] = set()
        self.forwards = prometheus_client.Counter(
            "trestlestall_forwards",
            "Forwarded requests by how they ended.",
            ["route", "outcome"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "trestlestall_forward_refusals",
            "Requests that the gateway answered itself, by reason.",
            ["route", "reason"],
            registry=self.registry,
        )
        self.crashed_upstreams = prometheus_client.Counter(
            "trestlestall_upstreams_ended",
            "Upstreams that ended while requests from here ran there.",
            registry=self.registry,
        )
        self.signals = prometheus_client.Counter(
            "trestlestall_upstream_notices",
            "What upstreams said of themselves in answers, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.oversized = prometheus_client.Counter(
            "trestlestall_answers_oversized",
            "Answers left as they had more bytes than a gateway takes of one.",
            registry=self.registry,
        )
        self.quarantined = self._gauge(
            "requests_held",
            "Requests that are not sent, as upstreams ended under them.",
        )
        self.held_parts = self._gauge(
            "prompt_parts_held",
            "Parts of prompts that are not sent, as upstreams ended under them.",
        )
        self.rate_limited = self._gauge(
            "upstreams_limited", "Those that state a limit."
        )
        self.backing_off = self._gauge(
            "upstreams_resting", "Those that asked this gateway for rest."
        )
        self.unreachable = self._gauge(
            "upstreams_unreachable", "Those that can't be connected to from here."
        )
        self.tunnels = self._gauge(
            "tunnels_open", "Connections to upstreams through peers."
        )
        self.tunnels_served = prometheus_client.Counter(
            "trestlestall_tunnels_served",
            "Tunnels that were opened for other gateways.",
            registry=self.registry,
        )
        self.relayed = prometheus_client.Counter(
            "trestlestall_forwards_by_peer",
            "Requests that were sent through a peer.",
            registry=self.registry,
        )
        self.taken_up = prometheus_client.Counter(
            "trestlestall_streams_taken_up",
            "Streams that callers took up, by whether they may go on, or why not.",
            ["outcome"],
            registry=self.registry,
        )
        self.first_event = self._time(
            "first", "Arrival to the first event or the answer."
        )
        self.complete = self._time("whole", "Arrival to the end of the answer.")
        self.declaration_version = self._gauge(
            "declaration_version", "Configuration in force."
        )
        self.upstreams = self._gauge("forward_upstreams", "Upstreams that serve.")
        self.links = self._gauge("links", "Open links to other processes.")
        self.connections_opened = self._gauge(
            "upstream_connections_opened", "Since the start."
        )
        self.suspended_seconds = self._gauge(
            "host_suspended_seconds", "Since the start."
        )
        self.dropped_log_lines = self._gauge("log_lines_dropped", "Since the start.")

    def _time(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"trestlestall_forward_{name}_seconds",
            text,
            ["route"],
            registry=self.registry,
            buckets=DURATION_BUCKETS,
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"trestlestall_{name}", text, registry=self.registry
        )

    def record_refused(self, route: str, reason: str) -> None:
        """Count a request that the gateway refused itself."""
        kind = reason.partition(":")[0][:60]
        self.refusals.labels(self._name_route(route), kind).inc()

    def record_completed(
        self, route: str, outcome: str, seconds: float, first: float | None
    ) -> None:
        """Count a request that was sent to an upstream; times are in seconds."""
        name = self._name_route(route)
        self.forwards.labels(name, outcome).inc()
        self.complete.labels(name).observe(seconds)
        if first is not None:
            self.first_event.labels(name).observe(first)

    def render(self) -> bytes:
        """Return the exposition format, of the media type ``CONTENT_TYPE``."""
        return prometheus_client.generate_latest(self.registry)

    def _name_route(self, route: str) -> str:
        if route in self._routes or len(self._routes) < ROUTES_SHOWN:
            self._routes.add(route)
            return route
        return OTHER_ROUTES
