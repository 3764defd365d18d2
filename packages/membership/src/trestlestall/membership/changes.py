"""Changes that the table reports to the router: state transitions and refusals."""

from trestlestall.membership import entries, outcomes, upstreams


def describe(
    entry: entries.Entry, reason: outcomes.Reason, now: float, grace: float
) -> outcomes.Change:
    """Return the change that led to the upstream's current state."""
    held_until = entry.hold.held_until
    return outcomes.Change(
        name=entry.upstream.name,
        incarnation=entry.upstream.incarnation,
        state=entry.find_state(now, grace),
        reason=reason,
        held_until=held_until if held_until > now else 0.0,
    )


def refuse(upstream: upstreams.Upstream, reason: outcomes.Reason) -> outcomes.Change:
    """Return the change for an announcement that was refused."""
    return outcomes.Change(
        name=upstream.name,
        incarnation=upstream.incarnation,
        state=outcomes.State.LEFT,
        reason=reason,
        taken=False,
    )
