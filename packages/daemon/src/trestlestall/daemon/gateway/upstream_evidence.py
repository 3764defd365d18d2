"""What the end of an attempt says of its upstream, and who is told.

An end that this gateway made itself says nothing of the upstream: neither a caller who
left nor a lost path counts against it.
"""

import eventlet

from trestlestall.daemon.gateway import (
    crash_detection,
    outcomes,
    progress,
)
from trestlestall.forwarding import upstreams
from trestlestall.wire import clocks


def evaluate(
    forward: progress.Progress, outcome: outcomes.Outcome | None
) -> bool | None:
    """Return whether the attempt counts as a failure of its upstream.

    None means that it counts neither as a failure nor as a success. A caller that
    disconnected after waiting longer than the target for the first event counts as a
    failure.
    """
    if forward.has_lost_path or isinstance(outcome, outcomes.NotProven):
        return None
    if not forward.caller.left:
        return outcomes.has_failed(outcome)
    if forward.relay.first_seconds is not None:
        return None
    waited = clocks.read() - forward.sent_at
    return True if waited > forward.route.first_seconds else None


def record_outcome(
    forward: progress.Progress,
    row: upstreams.Row,
    outcome: outcomes.Outcome | None,
    is_closed: bool,
) -> None:
    """Update the cached view of the upstream by the outcome.

    ``is_closed`` is whether the upstream, or its host, closed the connection.
    """
    handler = forward.handler
    if isinstance(outcome, outcomes.NotProven):
        return
    if isinstance(outcome, outcomes.NotSent):
        handler.prober.mark_unreachable(row, outcome.reason, outcome.timed_out)
    elif isinstance(outcome, outcomes.Broken) and outcome.path_lost:
        # The upstream itself may take the request on another way.
        forward.excluded.discard(row.identity)
    elif isinstance(outcome, outcomes.Broken):
        has_crashed = is_closed and handler.crash_detector.record_broken(
            row, describe_broken(forward)
        )
        if not has_crashed and forward.relay.first_seconds is None:
            handler.prober.suspect(row)
    elif isinstance(outcome, outcomes.NotRun) and outcome.is_misdirected:
        forward.view.record_replaced(row)
        handler.placing.report_replaced(row.identity)


def record_left(
    forward: progress.Progress,
    row: upstreams.Row,
    is_closed: bool,
    failed: bool | None,
) -> None:
    """Record what is known of the upstream of a caller who left, without waiting."""
    if is_closed:
        record = forward.handler.crash_detector.record_broken
        eventlet.spawn_n(record, row, describe_broken(forward))
    elif failed:
        forward.handler.prober.suspect(row)


def describe_broken(forward: progress.Progress) -> crash_detection.Request:
    """Return what a crash of the upstream may be blamed on."""
    return crash_detection.Request(
        forward.digest, forward.keys, forward.caller_name, forward.sent_at
    )
