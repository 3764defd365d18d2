"""What a directory needs to act while it holds the lease of the duties."""

import dataclasses
import typing
from collections import abc

from trestlestall.daemon.directory import platform_client
from trestlestall.duties import leases

#: Receives the log's answer to an event, or None if the outcome is unknown.
OnAnswer = abc.Callable[[leases.Answer | None], object]


@dataclasses.dataclass(frozen=True)
class LeaseContext:
    """One turn of the lease holder.

    ``token`` is its fencing token; ``now`` is on the monotonic clock, in seconds.
    ``propose(event, on_answer)`` proposes an event to the log. ``release(call)`` is
    called when the platform refused a call because it has seen a higher token.
    """

    token: int
    now: float
    propose: abc.Callable[[typing.Any, OnAnswer], object]
    client: platform_client.PlatformClient
    release: abc.Callable[[str], object]
