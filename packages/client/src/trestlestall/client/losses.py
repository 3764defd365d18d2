"""Counts of requests not served in time, by cause, from collected log files.

    $ trestlestall lost --logs day.log --by second
    SECOND               CAUSE                          LATE  REFUSED  FAILED
    2026-01-01T00:00:44  no configuration yet              0       12       0
    2026-01-01T00:00:44  waited before it was sent        31        0       0

The cause of a request is the first one in a registry whose predicate matches the
request's log lines; the most certain causes come first. If none matches, the cause is
``unknown``.
"""

import collections
import dataclasses
import datetime
import pathlib
import typing
from collections import abc

from trestlestall.client import timelines

#: Share of the target that a request may wait before it is sent; a longer wait counts
#: as the cause of its lateness.
WAIT_SHARE = 0.25
#: Ratio of the actual to the predicted time of the first event above which the upstream
#: counts as slower than predicted. A smaller deviation is the usual prediction error.
SLOWDOWN_FACTOR = 1.5
BAD_GATEWAY = 502
LATE, REFUSED, FAILED = "late", "refused", "failed"
KINDS = (LATE, REFUSED, FAILED)
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Request:
    """The log lines of one request at its gateway; ``end`` is its last final line."""

    sent: tuple[timelines.Line, ...]
    end: timelines.Line | None

    @property
    def line(self) -> timelines.Line:
        """The most informative line: the end, or else the last send."""
        return self.end or self.sent[-1]

    def find(self, key: str) -> typing.Any:
        """Return a field of the line that ended the request, or of its last send."""
        found = self.end.fields.get(key) if self.end is not None else None
        if found is None and self.sent:
            found = self.sent[-1].fields.get(key)
        return found

    @property
    def is_first_late(self) -> bool:
        """Whether the first event, or the answer, arrived after its target."""
        first, target = self.find("first_seconds"), self.find("first_target")
        return None not in (first, target) and first > target

    @property
    def is_pause_late(self) -> bool:
        """Whether the stream paused for longer than the route allows."""
        longest, target = self.find("longest_pause"), self.find("pause_target")
        return None not in (longest, target) and longest > target


Predicate = abc.Callable[[Request], bool]
CAUSES: dict[str, Predicate] = {}


def register_cause(name: str) -> abc.Callable[[Predicate], Predicate]:
    """Return a decorator that registers a cause; causes are checked in this order."""

    def enter(function: Predicate) -> Predicate:
        CAUSES[name] = function
        return function

    return enter


@register_cause("the process ended")
def has_no_end(request: Request) -> bool:
    """The request was sent, and no line logs its end."""
    return request.end is None


@register_cause("no configuration yet")
def lacked_configuration(request: Request) -> bool:
    """The gateway had just started and had no configuration."""
    return "no configuration" in str(request.find("reason"))


@register_cause("too little room")
def lacked_capacity(request: Request) -> bool:
    """The request would have begun too late at every upstream, as in a burst."""
    return "all upstreams are behind" in str(request.find("reason"))


@register_cause("no upstream")
def lacked_upstream(request: Request) -> bool:
    """No upstream serves, is reachable, accepts requests or is left to try."""
    reason = str(request.find("reason"))
    return any(part in reason for part in ("no upstream", "limit", "rest"))


@register_cause("no budget")
def exhausted_retry_budget(request: Request) -> bool:
    """The retry budget was exhausted."""
    return "budget" in str(request.find("reason"))


@register_cause("the caller left")
def was_left_by_caller(request: Request) -> bool:
    """The caller left before the answer was complete."""
    return request.find("outcome") == "caller_left"


@register_cause("mute until its time was over")
def timed_out(request: Request) -> bool:
    """The upstream did not answer completely before the caller's deadline."""
    reason = str(request.find("reason"))
    return "out of time" in reason or "no answer in time" in reason


@register_cause("the upstream broke off")
def was_disconnected(request: Request) -> bool:
    """The upstream's connection ended, or its answer was invalid."""
    if request.find("outcome") == "broken_off":
        return True
    refused = request.line.name == "forward_refused"
    return refused and request.find("status") == BAD_GATEWAY


@register_cause("the upstream failed it")
def failed_at_upstream(request: Request) -> bool:
    """The upstream answered with a server error."""
    return request.line.name == "forward_ended" and request.find("status") >= 500


@register_cause("repeated until late")
def was_retried(request: Request) -> bool:
    """The request was sent more than once and was late."""
    return request.is_first_late and len(request.sent) > 1


@register_cause("waited before it was sent")
def waited_in_gateway(request: Request) -> bool:
    """The gateway delayed it: for a configuration, a directory or a connection."""
    seconds = request.find("seconds")
    if not request.is_first_late or not request.sent or seconds is None:
        return False
    arrived = request.line.at - seconds
    waited = request.sent[0].at - arrived
    return waited > WAIT_SHARE * request.find("first_target")


@register_cause("chosen without a directory")
def was_placed_without_directory(request: Request) -> bool:
    """The gateway chose the upstream, knowing only of its own requests."""
    return request.is_first_late and request.find("source") == "own"


@register_cause("expected to be late")
def was_predicted_late(request: Request) -> bool:
    """It was placed with a late prediction, for lack of a better upstream."""
    predicted = request.find("predicted") or 0.0
    return request.is_first_late and predicted > request.find("first_target")


@register_cause("slower than predicted")
def exceeded_prediction(request: Request) -> bool:
    """The upstream took much longer than predicted."""
    predicted = request.find("predicted") or 0.0
    first = request.find("first_seconds") or 0.0
    return request.is_first_late and first > SLOWDOWN_FACTOR * predicted


@register_cause("just behind its prediction")
def missed_target_narrowly(request: Request) -> bool:
    """The prediction was nearly right and close to the target."""
    return request.is_first_late


@register_cause("a pause")
def paused_too_long(request: Request) -> bool:
    """The stream paused for too long, mostly while long prompts ran beside it."""
    return request.is_pause_late


def collect_requests(lines: abc.Iterable[timelines.Line]) -> list[Request]:
    """Return the requests that the lines are about."""
    sent = collections.defaultdict(list)
    ends = {}
    for line in lines:
        if line.name == "forward_sent":
            sent[line.process, line.fields["request"]].append(line)
        elif line.name in ("forward_ended", "forward_refused"):
            ends[line.process, line.fields["request"]] = line
    keys = dict.fromkeys((*sent, *ends))
    return [Request(tuple(sent[key]), ends.get(key)) for key in keys]


def find_kind(request: Request) -> str | None:
    """Return how a request was lost, or None if it was served in time.

    A request that was refused for its own error, such as a wrong route or key, is not
    counted as lost.
    """
    if request.end is None:
        return FAILED
    if request.end.name == "forward_refused":
        return REFUSED if request.find("status") >= 500 else None
    if request.find("outcome") != "answered" or request.find("status") >= 500:
        return FAILED
    return LATE if request.is_first_late or request.is_pause_late else None


def find_cause(request: Request) -> str:
    """Return the cause of a lost request."""
    return next((name for name, fits in CAUSES.items() if fits(request)), UNKNOWN)


def format_second(request: Request) -> str:
    """Return the second in which a request arrived, in UTC."""
    at = request.line.at - (request.find("seconds") or 0.0)
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.isoformat(timespec="seconds").replace("+00:00", "")


#: Keys to group losses by, besides their cause.
KEYS: dict[str, abc.Callable[[Request], str]] = {
    "second": format_second,
    "route": lambda request: request.find("route") or "-",
    "process": lambda request: request.line.process,
}


def count(
    paths: abc.Iterable[pathlib.Path], key: str
) -> tuple[list[dict[str, object]], int]:
    """Return rows of losses by key and cause, and the number of unreadable lines."""
    lines, unreadable = timelines.read_files(paths)
    counted: dict[tuple[str, str], collections.Counter] = {}
    for request in collect_requests(lines):
        kind = find_kind(request)
        if kind is None:
            continue
        place = KEYS[key](request), find_cause(request)
        counted.setdefault(place, collections.Counter())[kind] += 1
    rows = [
        {key: value, "cause": cause, **{kind: found[kind] for kind in KINDS}}
        for (value, cause), found in sorted(counted.items())
    ]
    return rows, unreadable
