"""Which requests were not served in time, and why, out of collected log files.

    $ trestlestall lost --logs day.log --by second
    SECOND               CAUSE                          LATE  REFUSED  FAILED
    2026-01-01T00:00:44  no configuration yet              0       12       0
    2026-01-01T00:00:44  waited before it was sent        31        0       0

A cause is the first of a registry whose function says that it fits the request's lines,
the most certain ones first. What none fits is ``unknown``.
"""

import collections
import dataclasses
import datetime
import pathlib
import typing
from collections import abc

from trestlestall.client import stories

#: Part of the target that a request may wait before it is sent until that is the cause.
WAITED_SHARE = 0.25
#: How many times its prediction a first event takes until the upstream was slower than
#: believed; less is an error that all predictions have.
SLOWER_FACTOR = 1.5
BAD_GATEWAY = 502
LATE, REFUSED, FAILED = "late", "refused", "failed"
KINDS = (LATE, REFUSED, FAILED)
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Request:
    """The lines of one request at its gateway; ``end`` is the last that ended it."""

    sent: tuple[stories.Line, ...]
    end: stories.Line | None

    @property
    def line(self) -> stories.Line:
        """The line that says most of it."""
        return self.end or self.sent[-1]

    def find(self, key: str) -> typing.Any:
        """Return a field of the line that ended it, or of its last send."""
        found = self.end.fields.get(key) if self.end is not None else None
        if found is None and self.sent:
            found = self.sent[-1].fields.get(key)
        return found

    @property
    def late_first(self) -> bool:
        """Whether the first event, or the answer, came after its target."""
        first, target = self.find("first_seconds"), self.find("first_target")
        return None not in (first, target) and first > target

    @property
    def late_pause(self) -> bool:
        """Whether its stream paused for longer than the route allows."""
        longest, target = self.find("longest_pause"), self.find("pause_target")
        return None not in (longest, target) and longest > target


Fits = abc.Callable[[Request], bool]
CAUSES: dict[str, Fits] = {}


def register_cause(name: str) -> abc.Callable[[Fits], Fits]:
    """Return a decorator that enters a cause; those entered first are asked first."""

    def enter(function: Fits) -> Fits:
        CAUSES[name] = function
        return function

    return enter


@register_cause("the process ended")
def was_forgotten(request: Request) -> bool:
    """It was sent, and nothing tells of its end."""
    return request.end is None


@register_cause("no configuration yet")
def came_too_early(request: Request) -> bool:
    """Its gateway had just started."""
    return "no configuration" in str(request.find("reason"))


@register_cause("too little room")
def was_behind(request: Request) -> bool:
    """A burst: it would have begun too late."""
    return "all upstreams are behind" in str(request.find("reason"))


@register_cause("no upstream")
def had_nowhere_to_go(request: Request) -> bool:
    """None serves, or none is within reach, takes requests or is left to try."""
    reason = str(request.find("reason"))
    return any(part in reason for part in ("no upstream", "limit", "rest"))


@register_cause("no budget")
def had_no_budget(request: Request) -> bool:
    """The budget of repeated sends was spent."""
    return "budget" in str(request.find("reason"))


@register_cause("the caller left")
def was_left(request: Request) -> bool:
    """Its caller gave up."""
    return request.find("outcome") == "caller_left"


@register_cause("mute until its time was over")
def was_silent(request: Request) -> bool:
    """The upstream answered nothing, or not to the end, within the caller's time."""
    reason = str(request.find("reason"))
    return "out of time" in reason or "no answer in time" in reason


@register_cause("the upstream broke off")
def was_broken_off(request: Request) -> bool:
    """Its connection ended, or what came was no answer."""
    if request.find("outcome") == "broken_off":
        return True
    refused = request.line.name == "forward_refused"
    return refused and request.find("status") == BAD_GATEWAY


@register_cause("the upstream failed it")
def was_failed(request: Request) -> bool:
    """The upstream answered with an error of its own."""
    return request.line.name == "forward_ended" and request.find("status") >= 500


@register_cause("repeated until late")
def was_repeated(request: Request) -> bool:
    """It was sent more than once."""
    return request.late_first and len(request.sent) > 1


@register_cause("waited before it was sent")
def waited_here(request: Request) -> bool:
    """Its gateway held it: for a configuration, for a directory, for a connection."""
    seconds = request.find("seconds")
    if not request.late_first or not request.sent or seconds is None:
        return False
    arrived = request.line.at - seconds
    waited = request.sent[0].at - arrived
    return waited > WAITED_SHARE * request.find("first_target")


@register_cause("chosen without a directory")
def was_chosen_alone(request: Request) -> bool:
    """Its gateway knew of its own requests alone."""
    return request.late_first and request.find("source") == "own"


@register_cause("expected to be late")
def was_expected(request: Request) -> bool:
    """Whoever placed it knew of nothing better."""
    predicted = request.find("predicted") or 0.0
    return request.late_first and predicted > request.find("first_target")


@register_cause("slower than predicted")
def was_slower(request: Request) -> bool:
    """The upstream took far longer than was believed."""
    predicted = request.find("predicted") or 0.0
    first = request.find("first_seconds") or 0.0
    return request.late_first and first > SLOWER_FACTOR * predicted


@register_cause("just behind its prediction")
def was_just_late(request: Request) -> bool:
    """The prediction was nearly right, and hardly in time."""
    return request.late_first


@register_cause("a pause")
def paused(request: Request) -> bool:
    """Its stream stood still for too long, mostly beside long prompts."""
    return request.late_pause


def gather(lines: abc.Iterable[stories.Line]) -> list[Request]:
    """Return the requests that the lines tell of."""
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
    """Return how a request was lost; None if it was served in time.

    What is refused as its own route or key is wrong is no loss.
    """
    if request.end is None:
        return FAILED
    if request.end.name == "forward_refused":
        return REFUSED if request.find("status") >= 500 else None
    if request.find("outcome") != "answered" or request.find("status") >= 500:
        return FAILED
    return LATE if request.late_first or request.late_pause else None


def find_cause(request: Request) -> str:
    """Return why a request was lost."""
    return next((name for name, fits in CAUSES.items() if fits(request)), UNKNOWN)


def name_second(request: Request) -> str:
    """Return the second in which a request came."""
    at = request.line.at - (request.find("seconds") or 0.0)
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.isoformat(timespec="seconds").replace("+00:00", "")


#: What losses may be counted by, besides their cause.
KEYS: dict[str, abc.Callable[[Request], str]] = {
    "second": name_second,
    "route": lambda request: request.find("route") or "-",
    "process": lambda request: request.line.process,
}


def count(
    paths: abc.Iterable[pathlib.Path], key: str
) -> tuple[list[dict[str, object]], int]:
    """Return rows of losses by a key and their cause, and the lines not read."""
    lines, unreadable = stories.read_files(paths)
    counted: dict[tuple[str, str], collections.Counter] = {}
    for request in gather(lines):
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
