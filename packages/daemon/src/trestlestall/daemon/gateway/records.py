"""The log lines of a forwarded request."""

import math

from trestlestall.daemon import events
from trestlestall.daemon.gateway import attempts, outcomes, progress
from trestlestall.forwarding import harmful_parts, placement, upstreams
from trestlestall.wire import clocks

#: Parts of a prompt in a log line, and the characters of each: callers choose both.
LOGGED_PARTS = 8
LOGGED_PART_LENGTH = 16


def write_sent(forward: progress.Progress, placed: placement.Placed) -> None:
    """Log where a request is sent, and what the choice was based on."""
    engine = forward.view.placer.engines[placed.row.identity]
    data_centre = forward.descriptor.data_centre
    workspace = forward.workspace
    forward.view.log.write(
        events.forwarding.SENT,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        workspace=workspace.name if workspace else None,
        digest=forward.digest,
        rank=forward.descriptor.rank,
        route_tier=forward.route.tier,
        workspace_tier=workspace.tier if workspace else None,
        upstream=placed.row.identity,
        address=placed.row.address,
        attempt=len(forward.tried),
        unread=placed.unread,
        fetch_from=placed.fetch_from,
        predicted=round(placed.predicted, 4),
        taken=len(engine.tasks),
        taken_by_all=placed.taken,
        limit=placed.limit,
        state=get_state(forward, placed.row.identity),
        version=placed.row.version,
        resumes=forward.head.resumes[0] if forward.head.resumes else None,
        failure_rate=round(engine.find_failure_rate(data_centre), 3),
        parts=list_shared_parts(forward),
        source=placed.source,
        declaration=forward.view.version,
        seconds_left=round(forward.deadline - clocks.read(), 3),
    )


def list_shared_parts(forward: progress.Progress) -> list[str]:
    """Return the parts that other requests may share, shortened for the log.

    The last part belongs to the request itself.
    """
    shared = forward.descriptor.parts[:-1][:LOGGED_PARTS]
    return [part.identity[:LOGGED_PART_LENGTH] for part in shared]


def write_sent_by_peer(
    forward: progress.Progress, row: upstreams.Row, peer: str
) -> None:
    """Log that a request is sent through a peer."""
    forward.view.log.write(
        events.forwarding.SENT_BY_PEER,
        request=forward.descriptor.request_id,
        upstream=row.identity,
        address=row.address,
        peer=peer,
    )


def get_state(forward: progress.Progress, identity: str) -> str | None:
    """Return an upstream's state in the cached view; None if it is unknown."""
    row = forward.view.table.rows.get(identity)
    return None if row is None else row.state.name.lower()


def write_attempt_ended(
    forward: progress.Progress,
    row: upstreams.Row,
    outcome: outcomes.Outcome,
    allowed: bool,
) -> None:
    """Log how an attempt ended, and whether another one may follow."""
    forward.view.log.write(
        events.forwarding.ATTEMPT_NOT_FINAL,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        digest=forward.digest,
        upstream=row.identity,
        outcome=type(outcome).__name__,
        reason=outcomes.describe_outcome(outcome),
        allowed=allowed,
        runs=forward.runs,
        seconds_left=round(forward.deadline - clocks.read(), 3),
        port=forward.port,
        requests=forward.requests_on_connection,
    )


def write_skipped(
    forward: progress.Progress, attempt: attempts.Attempt, status: int, echo: str
) -> None:
    """Log that an answer was skipped that is not known to be the request's."""
    forward.view.log.write(
        events.forwarding.ANSWER_SKIPPED,
        request=forward.descriptor.request_id,
        upstream=forward.tried[-1],
        port=attempt.port,
        requests=attempt.requests,
        status=status,
        echo=echo,
    )


def write_aborted(
    forward: progress.Progress, attempt: attempts.Attempt, reason: str
) -> None:
    """Log that the connection of an attempt is shut down here."""
    forward.view.log.write(
        events.forwarding.ABORTED,
        request=forward.descriptor.request_id,
        upstream=forward.tried[-1],
        port=attempt.port,
        reason=reason,
    )


def write_retry_denied(forward: progress.Progress, refused: placement.Refused) -> None:
    """Log that the retry budget allows no further send of a request."""
    forward.view.log.write(
        events.forwarding.RETRY_DENIED,
        request=forward.descriptor.request_id,
        service=forward.descriptor.service,
        source=refused.source,
        sends=forward.sends,
    )


def write_awaited(
    forward: progress.Progress,
    refused: placement.Refused,
    reached: list[str],
    seconds: float,
) -> None:
    """Log that a request waited for upstreams that did not reply to a connection."""
    forward.view.log.write(
        events.forwarding.UPSTREAM_AWAITED,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        reason=refused.reason,
        reached=reached,
        seconds=round(seconds, 4),
        seconds_left=round(forward.deadline - clocks.read(), 3),
    )


def write_timeout_extended(
    forward: progress.Progress, row: upstreams.Row, refused: placement.Refused
) -> None:
    """Log that a silent upstream is not left, as no other one takes the request."""
    now = clocks.read()
    forward.view.log.write(
        events.forwarding.TIMEOUT_EXTENDED,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        upstream=row.identity,
        reason=refused.reason,
        seconds=round(now - forward.sent_at, 3),
        seconds_left=round(forward.deadline - now, 3),
    )


def write_quarantined(forward: progress.Progress, refused: placement.Refused) -> None:
    """Log that a request is quarantined, and the crashes that it is blamed for."""
    view, now = forward.view, forward.view.clock()
    part = None
    ends = view.crashes.list_crashes(forward.digest, now)
    if refused.reason == harmful_parts.HELD:
        found = view.parts.evaluate(forward.keys, now, forward.caller_name, math.inf)
        if found.key is not None:
            part = found.key.part[:LOGGED_PART_LENGTH]
            ends = view.parts.evidence.list_crashes(found.key, now)
    forward.view.log.write(
        events.forwarding.QUARANTINED,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        digest=forward.digest,
        part=part,
        ends=ends,
        source=refused.source or placement.OWN,
        sends=forward.sends,
    )


def write_completed(
    forward: progress.Progress, status: int, outcome: str, reason: str
) -> None:
    """Log and count the end of a request that was not refused by the gateway."""
    relay = forward.relay
    seconds = clocks.read() - forward.arrived
    first = relay.first_seconds
    forward.handler.metrics.record_completed(
        forward.route.name, outcome, seconds, first
    )
    forward.view.log.write(
        events.forwarding.ENDED,
        request=forward.descriptor.request_id,
        route=forward.route.name,
        upstream=forward.tried[-1] if forward.tried else None,
        status=status,
        outcome=outcome,
        reason=reason,
        attempts=len(forward.tried),
        events=relay.events,
        seconds=round(seconds, 4),
        first_seconds=None if first is None else round(first, 4),
        longest_pause=round(relay.longest_pause, 4),
        first_target=forward.route.first_seconds,
        pause_target=forward.route.pause_seconds,
        port=forward.port,
        requests=forward.requests_on_connection,
    )
