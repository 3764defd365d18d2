"""Moves a request from a silent upstream to another one that takes it.

An upstream that is silent may be merely slow. It is left only once another one is
chosen and the retry budget allows the retry; otherwise its answer is awaited on, and
the question asked again later. An answer that arrives meanwhile is used.
"""

from trestlestall.daemon import placement_protocol
from trestlestall.daemon.gateway import progress, records, selection
from trestlestall.forwarding import crashes, placement, upstreams
from trestlestall.wire import clocks

#: Seconds until another upstream is looked for again.
INTERVAL_SECONDS = 0.5


def find_extension(
    forward: progress.Progress, row: upstreams.Row, has_arrived: progress.HasArrived
) -> float | None:
    """Return until when to wait on for a silent upstream; None to leave it.

    If it is to be left, ``forward.successor`` is the upstream that takes the request.
    ``has_arrived`` returns whether the silence is over. Raises ``CallerLeft``.
    """
    end_placement(forward, row)
    found = selection.select(forward, placement_protocol.RETRY)
    if isinstance(found, placement.Placed):
        forward.successor = found
        if not has_arrived():
            return None
        withdraw_successor(forward)
    elif found.reason == crashes.HARMFUL:
        return None
    else:
        records.write_timeout_extended(forward, row, found)
        if forward.relay.first_seconds is None:
            forward.handler.prober.suspect(row)
    return resume_placement(forward, row)


def end_placement(forward: progress.Progress, row: upstreams.Row) -> None:
    """End the request's count at its upstream; the first silence is a failure of it."""
    failed = None if forward.was_silent else True
    forward.handler.placing.end(forward.descriptor, row.identity, failed)
    forward.was_silent = True


def resume_placement(forward: progress.Progress, row: upstreams.Row) -> float | None:
    """Count the request at its upstream again; return until when to wait for it.

    None if the upstream is no longer there.
    """
    started = forward.relay.first_seconds is not None
    age = clocks.read() - forward.sent_at
    placing = forward.handler.placing
    if not placing.resume(forward.descriptor, row.identity, age, started):
        return None
    return min(forward.deadline, clocks.read() + INTERVAL_SECONDS)


def withdraw_successor(forward: progress.Progress) -> None:
    """Withdraw the request from an upstream that it was not sent to after all."""
    found, forward.successor = forward.successor, None
    if found is not None:
        forward.handler.placing.withdraw(forward.descriptor)
