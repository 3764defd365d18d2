"""Backoffs that upstreams asked a gateway for when they rejected requests; pure.

An upstream that rejects a request may ask the gateway that sent it for a backoff of
some seconds. The backoff applies to that gateway and to every request, not only to the
rejected one; the longest of several applies, in whatever order they arrive.
"""

#: The reason for placing a request nowhere.
BACKING_OFF = "all upstreams have asked for rest"


class Backoffs:
    """When the backoff of each incarnation of an upstream ends; monotonic seconds."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, identity: str, seconds: float, now: float) -> None:
        """Record a backoff of so many seconds."""
        until = max(now + seconds, self._until.get(identity, now))
        if until > now:
            self._until[identity] = until

    def find_wait(self, identity: str, now: float) -> float:
        """Return the seconds until the upstream may be sent a request."""
        return max(0.0, self._until.get(identity, now) - now)

    def list_backing_off(self, now: float) -> list[str]:
        """Return the upstreams with a backoff now; remove backoffs that are over."""
        for identity in [one for one, until in self._until.items() if until <= now]:
            del self._until[identity]
        return list(self._until)
