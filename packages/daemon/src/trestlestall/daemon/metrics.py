"""Prometheus metrics of a process, in a registry of its own, served as ``/metrics``.

Names and units follow the Prometheus conventions: counters end in ``_total``, times are
in seconds, sizes in bytes. Attainment of a class is the share of
``trestlestall_targets_total{met="yes"}`` in both values of ``met``; goodput is the rate
of ``trestlestall_goodput_tokens_total``; the share of wasted work is
``trestlestall_wasted_tokens_total`` over ``trestlestall_received_tokens_total``.
"""

import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
DURATION_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120)


class Metrics:
    """All metrics of a router or control process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._counted_sent = 0
        self._counted_received = 0
        self._add_requests()
        self._add_work()
        self._add_control()
        prometheus_client.ProcessCollector(registry=self.registry)

    def _count(self, name: str, text: str, labels: str = "") -> object:
        """Return a new counter; the library adds ``_total`` to its name."""
        return prometheus_client.Counter(
            f"trestlestall_{name}", text, labels.split(), registry=self.registry
        )

    def _gauge(self, name: str, text: str, labels: str = "") -> object:
        """Return a new gauge."""
        return prometheus_client.Gauge(
            f"trestlestall_{name}", text, labels.split(), registry=self.registry
        )

    def _time(self, name: str, text: str, labels: str) -> object:
        """Return a new histogram of times in seconds."""
        return prometheus_client.Histogram(
            f"trestlestall_{name}",
            text,
            labels.split(),
            registry=self.registry,
            buckets=DURATION_BUCKETS,
        )

    def _add_requests(self) -> None:
        """Add the metrics of callers' requests."""
        self.requests = self._count(
            "requests", "Requests by class and outcome.", "class outcome"
        )
        self.targets = self._count(
            "targets",
            "Admitted requests by whether the class's target was met.",
            "class met",
        )
        self.refusals = self._count(
            "refusals",
            "Requests refused without having run on any upstream.",
            "class reason",
        )
        self.queue_length = self._gauge(
            "queue_length",
            "Admitted requests that wait for an upstream.",
            "class",
        )
        self.open_streams = self._gauge("open_streams", "Requests in progress.")
        self.first_token = self._time(
            "first_token_seconds", "Time from arrival to the first token sent.", "class"
        )
        self.duration = self._time(
            "request_duration_seconds",
            "Time from arrival to the last byte sent.",
            "class",
        )

    def _add_work(self) -> None:
        """Add the metrics of the upstreams' work."""
        self.received_tokens = self._count(
            "received_tokens", "Tokens received from upstreams.", "class"
        )
        self.goodput_tokens = self._count(
            "goodput_tokens", "Tokens of complete answers that met the target.", "class"
        )
        self.wasted_tokens = self._count(
            "wasted_tokens", "Tokens that no caller received.", "reason"
        )
        self.attempts = self._count(
            "attempts", "Attempts at upstreams by outcome.", "outcome"
        )
        self.upstreams = self._gauge("upstreams", "Known upstreams by state.", "state")

    def _add_control(self) -> None:
        """Add the metrics of links, configuration, leadership and claims."""
        self.control_sent = self._count(
            "control_sent_bytes", "Bytes sent on links to other processes."
        )
        self.control_received = self._count(
            "control_received_bytes", "Bytes received on links from other processes."
        )
        self.links = self._gauge("links", "Open links to other processes.")
        self.configuration_version = self._gauge(
            "configuration_version", "Version of the configuration in force."
        )
        self.configuration_age = self._gauge(
            "configuration_age_seconds",
            "Time since control last confirmed the configuration.",
        )
        self.leader = self._gauge(
            "leader", "1 on the leader of the control processes, else 0."
        )
        self.claims = self._count("claims", "Claims by outcome.", "outcome")

    def update_link_bytes(self, sent: int, received: int) -> None:
        """Raise the byte counters to the running totals of the links."""
        self.control_sent.inc(max(0, sent - self._counted_sent))
        self.control_received.inc(max(0, received - self._counted_received))
        self._counted_sent = max(sent, self._counted_sent)
        self._counted_received = max(received, self._counted_received)

    def render(self) -> bytes:
        """Return the metrics in the text format of type ``CONTENT_TYPE``."""
        return prometheus_client.generate_latest(self.registry)
