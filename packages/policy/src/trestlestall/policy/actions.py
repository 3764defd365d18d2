"""What the policy tells the router to do. Actions are carried out in order."""

import dataclasses
import typing
from collections import abc

NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "outcome_unknown"


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Answer the caller at once and finally: the request ran nowhere.

    ``retry_after`` is in seconds. ``code`` is one of the codes of ``admission``.
    """

    request: str
    code: str
    retry_after: float
    reason: str


@dataclasses.dataclass(frozen=True)
class RequestClaim:
    """Take a claim for a request that must run at most once; answer by
    ``claim_answered``."""

    request: str


@dataclasses.dataclass(frozen=True)
class Send:
    """Send the request to an upstream as a new attempt.

    ``priority`` is the number for the engine, lower is more urgent. ``candidates`` are
    the upstreams that were compared, for the log line.
    """

    request: str
    attempt: str
    upstream: str
    priority: int
    candidates: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Cancel an attempt at its upstream; report its end by ``finish``."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """Bytes of this attempt, from its first, go to the caller.

    A later ``Answer`` for the same request replaces an earlier one. That happens only
    when nothing has reached the caller, so drop what was buffered of the earlier
    attempt.
    """

    request: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class Fail:
    """End the request with an error, at once and finally.

    ``code`` is ``not_run`` (it ran on no engine) or ``outcome_unknown``.
    ``retry_after``, in seconds, is for ``not_run``.
    """

    request: str
    code: str
    retry_after: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Resume:
    """Continue a broken stream exactly after ``tokens`` tokens of the answer.

    ``attempt`` is the new attempt and ``previous`` the broken one, by which the
    upstream knows the stream. An upstream that can't continue it exactly must refuse;
    report that as ``NotSent``. The new attempt's bytes follow those that the caller
    has.
    """

    request: str
    attempt: str
    upstream: str
    tokens: int
    previous: str = ""
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class ReportPressure:
    """Tell the data centre's other routers the lowest tier under pressure by model."""

    levels: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Wasted:
    """Tokens that an upstream made and no caller will receive."""

    attempt: str
    tokens: int


Action: typing.TypeAlias = (
    Refuse
    | RequestClaim
    | Send
    | Cancel
    | Answer
    | Fail
    | Resume
    | ReportPressure
    | Wasted
)
