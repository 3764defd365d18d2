"""Local choice of an upstream from the gateway's cached view, without a directory."""

from collections import abc

from trestlestall.daemon.gateway import cached_view
from trestlestall.forwarding import (
    backoffs,
    brittleness,
    descriptors,
    placement,
    rate_limits,
    upstreams,
)
from trestlestall.wire import clocks

#: Part of a brittle upstream's slots that a gateway uses without a directory.
ROOM_DIVISOR = 8


class Chooser:
    """Chooses among the upstreams that accept requests from this gateway now."""

    def __init__(self, view: cached_view.CachedView) -> None:
        self._view = view

    def accepts_requests(self, row: upstreams.Row) -> bool:
        """Return whether the upstream accepts requests from this gateway."""
        return row.state is upstreams.State.SERVING and not self.get_backoff(row)

    def get_backoff(self, row: upstreams.Row) -> float:
        """Return the seconds left of the backoff that the upstream requested."""
        return self._view.backoffs.find_wait(row.identity, clocks.read())

    def choose(
        self,
        descriptor: descriptors.Descriptor,
        tried: abc.Collection[str],
        is_isolated: bool,
    ) -> placement.Placed | placement.Refused:
        """Choose an upstream that has not been tried yet.

        ``is_isolated`` is whether no directory has answered for a long time.
        """
        now = clocks.read()
        limited = self._list_rate_limited(now, is_isolated)
        full = self._list_full(descriptor.service, now)
        excluded = {*limited, *full, *self._view.backoffs.list_backing_off(now)}
        placer = self._view.placer
        found = placer.place(descriptor, now, tried, excluded)
        if isinstance(found, placement.Placed):
            self._view.advertised_limits.consume(found.row.identity, now)
            return found
        serving = set(placer.list_serving(descriptor.service)).difference(tried)
        return self._build_refusal(descriptor, serving & excluded, now) or found

    def _build_refusal(
        self,
        descriptor: descriptors.Descriptor,
        excluded: abc.Collection[str],
        now: float,
    ) -> placement.Refused | None:
        """Refuse a request that only the excluded upstreams could serve.

        The refusal says when the first of them is expected to accept requests again;
        None if there are no such upstreams.
        """
        if not excluded:
            return None
        known = self._view.backoffs
        waiting = {one: wait for one in excluded if (wait := known.find_wait(one, now))}
        # Only directories know when a rate limit will allow the next request.
        waits = [waiting.get(one, placement.RETURN_SECONDS) for one in excluded]
        after = rate_limits.compute_retry_after(
            waits, placement.compute_jitter(descriptor)
        )
        reason = backoffs.BACKING_OFF if waiting else rate_limits.LIMITED
        if not waiting and not self._view.advertised_limits.list_limited():
            reason = brittleness.FULL
        return placement.Refused(reason, after)

    def _list_full(self, service: str, now: float) -> list[str]:
        """Return the brittle upstreams that get no more from this gateway alone.

        It doesn't know how much others send, so it uses a small part of the room.
        """
        if not self._view.brittleness.is_active:
            return []
        load = {
            identity: brittleness.Load(one.requests, max(1, one.slots // ROOM_DIVISOR))
            for identity, one in self._view.placer.measure_load(service).items()
        }
        return self._view.brittleness.list_full(service, load, now)

    def _list_rate_limited(self, now: float, is_isolated: bool) -> list[str]:
        """Return the upstreams that get no request because of their rate limit.

        The gateway doesn't know how much others send, and an equal share for each of
        many gateways would be almost nothing. So it sends nothing to an upstream that
        advertises a limit. Only a gateway that has been isolated for long sends it an
        occasional request, since nobody else can tell it that the limit was lifted.
        """
        known = self._view.advertised_limits
        return known.list_exhausted(now) if is_isolated else known.list_limited()
