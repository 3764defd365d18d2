"""Streams that a caller takes up: only the software that began them goes on.

The caller names the last event that it has, and its request that brought the first one.
What is not known is not guessed: such a request is refused before it is sent anywhere.
"""

import dataclasses

from trestlestall.daemon import events
from trestlestall.daemon.gateway import (
    callers,
    progress,
    selection,
    stream_origins,
)
from trestlestall.forwarding import origins, placement, stream_records
from trestlestall.wire import clocks

#: Seconds beyond the caller's time for which the origin of a stream is kept.
KEPT_BEYOND_SECONDS = 5.0
#: Outcomes, for metrics.
GOES_ON = "goes on"


def is_takeup(forward: progress.Progress) -> bool:
    """Return whether the caller asks for the rest of a stream."""
    head = forward.head
    return forward.route.resumable and bool(head.resumes or head.last_event)


def resolve(forward: progress.Progress) -> placement.Refused | None:
    """Find out which software began a stream that the caller takes up.

    Return why it can't go on, None if it may or if the request begins a stream.
    Raises ``CallerLeft``.
    """
    if not is_takeup(forward):
        return None
    started = clocks.read()
    found = find(forward)
    reason = find_obstacle(forward, found)
    if forward.caller.left:
        raise callers.CallerLeft()
    write(forward, found, reason, clocks.read() - started)
    forward.handler.metrics.taken_up.labels(reason or GOES_ON).inc()
    if reason:
        spread = 0.5 + placement.compute_jitter(forward.descriptor)
        return placement.Refused(reason, placement.RETURN_SECONDS * spread)
    forward.origin = found.origin
    forward.descriptor = dataclasses.replace(
        forward.descriptor, service=found.origin.service
    )
    return None


def find(forward: progress.Progress) -> stream_origins.Found:
    """Return the origin of the stream that the caller takes up."""
    keys = list_keys(forward)
    if len(keys) > 1:
        return stream_origins.UNKNOWN
    services = list_services(forward)
    return forward.handler.origins.find(
        keys,
        services[0] if len(services) == 1 else "",
        find_kept_seconds(forward),
        forward.deadline - selection.MIN_LEFT_SECONDS,
        lambda: not forward.caller.left,
    )


def find_obstacle(forward: progress.Progress, found: stream_origins.Found) -> str:
    """Return why the stream can't go on; empty if it may."""
    if found.origin is None:
        return origins.UNKNOWN
    if found.origin.service not in list_services(forward):
        return origins.MOVED
    return ""


def record_first(forward: progress.Progress) -> None:
    """Record which software wrote the first event, under the request that brought it.

    For a stream that is taken up, the record of the first request is renewed.
    """
    if not forward.route.resumable:
        return
    keys = list_keys(forward)
    key = keys[0] if keys else compute_key(forward, forward.descriptor.request_id)
    forward.handler.origins.record(key, forward.origin, find_kept_seconds(forward))


def list_keys(forward: progress.Progress) -> list[bytes]:
    """Return the keys of the requests that the caller names as the first one."""
    return [compute_key(forward, one) for one in forward.head.resumes]


def compute_key(forward: progress.Progress, request_id: str) -> bytes:
    """Return the key of a request of the same workspace."""
    workspace = forward.workspace
    name = workspace.name if workspace is not None else ""
    return stream_records.compute_key(name, request_id)


def list_services(forward: progress.Progress) -> list[str]:
    """Return the services to which the route leads."""
    return [one.service for one in forward.route.targets if one.weight > 0]


def find_kept_seconds(forward: progress.Progress) -> float:
    """Return for how long callers may take up a stream that begins now."""
    longest = max(forward.route.whole_seconds, forward.head.deadline or 0.0)
    return min(longest + KEPT_BEYOND_SECONDS, stream_records.LONGEST_SECONDS)


def write(
    forward: progress.Progress,
    found: stream_origins.Found,
    reason: str,
    seconds: float,
) -> None:
    """Log a stream that is taken up, and by what it was decided where."""
    origin = found.origin
    forward.view.log.write(
        events.forwarding.TAKEN_UP,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        resumes=forward.head.resumes[0] if forward.head.resumes else None,
        last_event=forward.head.last_event,
        service=origin.service if origin is not None else None,
        version=origin.version if origin is not None else None,
        source=found.source,
        reason=reason,
        seconds=round(seconds, 4),
    )
