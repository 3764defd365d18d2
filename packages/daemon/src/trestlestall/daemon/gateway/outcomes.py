"""The possible outcomes of an attempt, and what they say of its upstream.

The outcome decides whether the request may be retried. After ``NotSent`` and ``NotRun``
it certainly did not run; after ``Broken`` it may have run.
"""

import dataclasses

from trestlestall.daemon.gateway import heads
from trestlestall.forwarding import upstream_signals

SERVER_ERRORS = 500
MISDIRECTED = 421


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No connection could be opened, so no upstream has received the request.

    ``timed_out`` is whether the upstream's host did not reply at all.
    """

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class NotProven(NotSent):
    """Nothing was sent, as another process than the chosen one may answer."""


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The upstream states that it did not start processing the request."""

    status: int
    signal: upstream_signals.Signal

    @property
    def is_misdirected(self) -> bool:
        """Whether another incarnation of the upstream now uses the address."""
        return self.status == MISDIRECTED


@dataclasses.dataclass(frozen=True)
class Broken:
    """No complete response arrived, so it is unknown whether the request ran.

    ``path_lost`` is whether the way to the upstream was lost, so that nothing is known
    of the upstream itself.
    """

    reason: str
    path_lost: bool = False


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of an upstream's response; headers keep their case and order.

    ``found`` holds the first value of each header by its lower-case name.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    found: dict[str, str]
    signal: upstream_signals.Signal

    @property
    def streams(self) -> bool:
        """Whether the body is an event stream."""
        return self.found.get("content-type", "").startswith("text/event-stream")

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection shows the body's end."""
        framing = ("content-length", "transfer-encoding")
        return not any(name in self.found for name in framing)

    @property
    def length(self) -> int:
        """The declared length of the body in bytes; 0 without one."""
        declared = self.found.get("content-length", "")
        return int(declared) if declared.isdecimal() else 0

    def list_end_to_end(self) -> list[tuple[bytes, bytes]]:
        """Return the headers to forward to the caller: all but the hop-by-hop ones."""
        dropped = heads.HOP_BY_HOP_HEADERS | heads.list_hop_by_hop(self.headers)
        return [pair for pair in self.headers if pair[0].lower() not in dropped]


Outcome = NotSent | NotRun | Broken | AnswerHead


def has_failed(outcome: Outcome | None) -> bool | None:
    """Return whether an outcome counts as a failure of the upstream.

    None means that it counts neither as a failure nor as a success.
    """
    if isinstance(outcome, (NotSent, NotRun)):
        return None
    if isinstance(outcome, AnswerHead):
        return outcome.status >= SERVER_ERRORS
    if isinstance(outcome, Broken):
        return None if outcome.path_lost else True
    return False


def describe_outcome(outcome: Outcome) -> str:
    """Return a short text for an outcome, for logs and callers."""
    if isinstance(outcome, (NotRun, AnswerHead)):
        return f"status {outcome.status} from the upstream"
    return outcome.reason
