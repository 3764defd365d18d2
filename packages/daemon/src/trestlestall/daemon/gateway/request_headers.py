"""The headers with which a request is sent to an upstream."""

from trestlestall.daemon.gateway import heads, progress
from trestlestall.forwarding import placement


def list_sent(
    forward: progress.Progress, placed: placement.Placed, left: float
) -> list[tuple[bytes, bytes]]:
    """Return the caller's headers, and those that the gateway sets.

    ``left`` is the time in seconds until the request's deadline.
    """
    names = forward.handler.dialect.headers
    added = {
        names.deadline: str(max(1, int(left * 1000))),
        names.expected_upstream: placed.row.announced_name,
    }
    if placed.fetch_from:
        added[names.fetch_from] = placed.fetch_from
    if forward.workspace is not None:
        added[names.workspace] = forward.workspace.name
    if forward.route.streams:
        added[names.tier] = str(forward.descriptor.rank)
    if forward.relay.last_event is not None:
        added[names.last_event] = str(forward.relay.last_event)
    return heads.list_forwarded(forward.head, names, added)
