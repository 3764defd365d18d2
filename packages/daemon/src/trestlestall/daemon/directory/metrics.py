"""A directory's metrics; names and units follow the Prometheus conventions."""

import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
#: Seconds; a choice takes a fraction of a millisecond, agreement on a document some
#: milliseconds.
CHOICE_BUCKETS = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.02)
CALL_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 1, 4)
PLACED = "placed"


class Metrics:
    """Counters, gauges and histograms, on a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._choices = prometheus_client.Counter(
            "trestlestall_choices",
            "Choices of an upstream for gateways' requests, by what came of them.",
            ["outcome"],
            registry=self.registry,
        )
        self._choice_seconds = prometheus_client.Histogram(
            "trestlestall_choice_seconds",
            "Time that a choice took.",
            registry=self.registry,
            buckets=CHOICE_BUCKETS,
        )
        self._calls = prometheus_client.Histogram(
            "trestlestall_directory_call_seconds",
            "Calls of operators and upstreams, by kind and status.",
            ["kind", "status"],
            registry=self.registry,
            buckets=CALL_BUCKETS,
        )
        self.refused = prometheus_client.Counter(
            "trestlestall_announcements_refused",
            "Announcements that name no upstream to use.",
            registry=self.registry,
        )
        self._pools = prometheus_client.Gauge(
            "trestlestall_group_upstreams",
            "Upstreams of a group of kinds of requests, by its shortest pause.",
            ["service", "pause_seconds"],
            registry=self.registry,
        )
        self.version = self._gauge("declaration_version", "Configuration in force.")
        self.voters = self._gauge("directory_voters", "Voters of the group.")
        self.leads = self._gauge("directory_leads", "1 while this directory leads.")
        self.upstreams = self._gauge("directory_upstreams", "Upstreams that are known.")
        self.stream_records = self._gauge(
            "stream_records", "Streams whose version is kept."
        )
        self.dropped_records = self._gauge(
            "stream_records_dropped", "Before their end, since the start."
        )
        self.limited = self._gauge("upstreams_limited", "Those that state a limit.")
        self.links = self._gauge("links", "Open links to other processes.")
        self.suspended = self._gauge("host_suspended_seconds", "Since the start.")
        self.dropped = self._gauge("log_lines_dropped", "Since the start.")

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"trestlestall_{name}", text, registry=self.registry
        )

    def record_choice(self, outcome: str, seconds: float) -> None:
        """Count a choice; ``outcome`` is ``PLACED`` or why there was none."""
        self._choices.labels(outcome).inc()
        self._choice_seconds.observe(seconds)

    def record_pool(self, service: str, pause: float, size: int) -> None:
        """Set how many upstreams a pool has; its shortest pause is in seconds."""
        self._pools.labels(service, str(pause)).set(size)

    def record_call(self, kind: str, status: int, seconds: float) -> None:
        """Count a call of an operator or an upstream."""
        self._calls.labels(kind, str(status)).observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in the text format of ``CONTENT_TYPE``."""
        return prometheus_client.generate_latest(self.registry)
