"""The interface of a forwarded request for log lines and final responses."""

import typing
from collections import abc

from trestlestall.daemon import dialects, settings as process_settings
from trestlestall.daemon.gateway import (
    answer_buffers,
    cached_view,
    callers,
    connections,
    crash_detection,
    heads,
    identity_proofs,
    metrics as gateway_metrics,
    outcomes,
    placing,
    reachability,
    refusals,
    relays,
    signal_tracker,
    stream_origins,
    usage as gateway_usage,
)
from trestlestall.forwarding import (
    descriptors,
    harmful_parts,
    model,
    origins,
    placement,
)

#: Returns whether data of the upstream waits to be read.
HasArrived = abc.Callable[[], bool]


class Handler(typing.Protocol):
    """What a request shares with the gateway's other requests."""

    settings: process_settings.GatewaySettings
    dialect: dialects.Dialect
    view: cached_view.CachedView
    metrics: gateway_metrics.Metrics
    usage: gateway_usage.Usage
    draw: abc.Callable[[], float]
    pool: connections.Pool
    buffers: answer_buffers.Buffers
    prober: reachability.Prober
    crash_detector: crash_detection.CrashDetector
    signals: signal_tracker.UpstreamSignals
    placing: placing.Placing
    origins: stream_origins.StreamOrigins
    identities: identity_proofs.IdentityProofs

    def refuse(
        self,
        caller: callers.Caller,
        refusal: refusals.Refusal,
        arrived: float,
        retry_after: float | None = None,
    ) -> None:
        """Refuse, log and count a request."""


class Progress(typing.Protocol):
    """A request and its progress; see ``forwards``.

    ``tried`` are the upstreams that it was sent to, ``excluded`` those of them to which
    it is not sent again. ``fallback_answer`` is the response of a failed run, which is
    forwarded if no other run succeeds. ``sent_at`` is when the request was last sent.
    ``origin`` is the software that wrote its first event; None before that.
    ``successor`` is the upstream that takes it next, if one was chosen already.
    ``keys`` are the parts of its prompt that others share, ``caller_name`` its
    workspace, empty for none.
    ``was_silent`` is whether the present one was silent for a timeout.
    ``has_lost_path`` is whether its path to the present one was lost.
    ``port`` is the gateway's own port of the last connection; None before the first;
    ``requests_on_connection`` is how many requests were sent on it.
    """

    handler: Handler
    caller: callers.Caller
    head: heads.Head
    route: model.Route
    workspace: model.Workspace | None
    descriptor: descriptors.Descriptor
    digest: str
    keys: tuple[harmful_parts.Key, ...]
    caller_name: str
    arrived: float
    deadline: float
    tried: list[str]
    excluded: set[str]
    runs: int
    sends: int
    relay: relays.Relay
    return_seconds: float | None
    fallback_answer: tuple[outcomes.AnswerHead, bytes] | None
    sent_at: float
    origin: origins.Origin | None
    successor: placement.Placed | None
    was_silent: bool
    has_lost_path: bool
    port: int | None
    requests_on_connection: int

    @property
    def view(self) -> cached_view.CachedView:
        """The gateway's cached view."""
