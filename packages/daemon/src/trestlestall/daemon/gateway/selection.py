"""Selects the upstream of a forwarded request, or says why there is none.

A request that no upstream takes waits for one to which a connection has just timed out:
most such time-outs end within the first probes, and a caller who is refused comes back
later than that.
"""

import dataclasses

import eventlet

from trestlestall.daemon import placement_protocol
from trestlestall.daemon.gateway import (
    callers,
    placing,
    progress,
    reachability,
    records,
)
from trestlestall.forwarding import brittleness, origins, placement, rate_limits
from trestlestall.wire import clocks

#: Time that must be left before the deadline for a send to be worthwhile.
MIN_LEFT_SECONDS = 0.05
#: Interval at which a request asks again for room at brittle upstreams, and the share
#: of its target for the first event in which it does.
ROOM_POLL_SECONDS = 0.03
ROOM_WAIT_SHARE = 0.25


def select(
    forward: progress.Progress, purpose: str
) -> placement.Placed | placement.Refused:
    """Return the upstream to send to, or a refusal with a reason that is true.

    ``purpose`` is one of those in ``placement_protocol``. Raises ``CallerLeft``.
    """
    found = place(forward, purpose)
    while isinstance(found, placement.Refused) and wait(forward, found):
        if purpose == placement_protocol.FIRST_SEND:
            # The scheduler has counted the request already.
            purpose = placement_protocol.REROUTED
        found = place(forward, purpose)
    if isinstance(found, placement.Refused):
        return explain_refusal(forward, found)
    return found


def place(
    forward: progress.Progress, purpose: str
) -> placement.Placed | placement.Refused:
    """Choose an upstream; for a stream that has begun, only one of its version."""
    placer = forward.handler.placing
    origin = forward.origin
    if origin is None:
        return placer.place(
            forward.descriptor, forward.excluded, purpose, forward.caller_name
        )
    others = origins.list_others(origin, forward.view.table.rows.values())
    found = placer.place(
        forward.descriptor, forward.excluded | others, purpose, forward.caller_name
    )
    if isinstance(found, placement.Placed) and not origin.matches(found.row):
        # The upstream, or its version, became known only during the choice.
        placer.withdraw(forward.descriptor)
        return placement.Refused(origins.NO_UPSTREAM, placement.RETURN_SECONDS)
    return found


def wait(forward: progress.Progress, refused: placement.Refused) -> bool:
    """Wait for a change after which the request is worth placing again.

    Return whether there may be one. Raises ``CallerLeft``.
    """
    if refused.reason == brittleness.FULL:
        return wait_for_room(forward)
    return wait_for_upstream(forward, refused)


def wait_for_room(forward: progress.Progress) -> bool:
    """Wait a moment for room at brittle upstreams; return whether it is worth it.

    A caller who would be late anyway is told so early, and comes back.
    """
    waited = clocks.read() - forward.arrived
    if waited + ROOM_POLL_SECONDS > ROOM_WAIT_SHARE * forward.route.first_seconds:
        return False
    eventlet.sleep(ROOM_POLL_SECONDS)
    if forward.caller.left:
        raise callers.CallerLeft()
    return True


def wait_for_upstream(forward: progress.Progress, refused: placement.Refused) -> bool:
    """Wait for an upstream that may be reached again at once.

    Return whether one was reached, so that the request is worth placing again. Raises
    ``CallerLeft``.
    """
    if refused.reason in placing.REASONS_OF_REQUEST:
        return False
    started = clocks.read()
    reached = forward.handler.prober.wait_until_reached(
        forward.descriptor.service,
        forward.deadline - MIN_LEFT_SECONDS,
        lambda: not forward.caller.left,
    )
    if forward.caller.left:
        raise callers.CallerLeft()
    forward.excluded.difference_update(reached)
    waited = clocks.read() - started
    if waited >= reachability.POLL_SECONDS:
        records.write_awaited(forward, refused, reached, waited)
    return bool(reached)


def explain_refusal(
    forward: progress.Progress, refused: placement.Refused
) -> placement.Refused:
    """Return the refusal with a reason that is true of all upstreams."""
    unreachable = forward.handler.prober.list_unreachable(forward.descriptor.service)
    if refused.reason == rate_limits.LIMITED and unreachable:
        reason = rate_limits.LIMITED_WITHIN_REACH
        return dataclasses.replace(refused, reason=reason)
    if refused.reason == placement.NO_UPSTREAM and forward.origin is not None:
        return dataclasses.replace(refused, reason=origins.NO_UPSTREAM)
    return refused
