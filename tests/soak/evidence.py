"""Observations of callers, operators and upstreams, and the promises checked on them.

Nothing here queries the system: promises are checked against its network traffic alone.
"""

import collections
import dataclasses
import enum
import hashlib
import threading
from collections import abc

from packages.duties.tests import checks

#: Seconds after an acknowledged leave in which requests may still arrive.
LEAVE_SECONDS = 2.0
#: Seconds after its acknowledgement within which gateways apply a version.
APPLY_SECONDS = 3.0
#: Seconds before a request in which a fault may still affect it.
BEFORE_SECONDS = 2.0
#: Prefix of the body of a request that crashes upstreams.
FATAL = b"fatal"
#: Prefix of its path. The route is public: the workspace of the other routes is renamed
#: with each version, so that the same request would count as another caller's.
FATAL_PREFIX = "/fatal/"
#: Crashes after which the request is identified as harmful, seconds until all processes
#: know this, and the runs that are tolerated from then on.
FATAL_ENDS = 3
FATAL_SECONDS = 3.0
FATAL_RUNS = 3
#: Advertised limit in requests a second. From LIMIT_KNOWN seconds after the first
#: advertisement on, LIMIT_FACTOR times the limit plus LIMIT_EXTRA requests are allowed
#: in each span of LIMIT_SPAN seconds.
LIMIT = 2.0
LIMIT_SPAN, LIMIT_FACTOR, LIMIT_EXTRA, LIMIT_KNOWN = 4.0, 1.5, 5, 3.0
#: Seconds after an answer with a limit from which its gateway's requests count.
NOTIFIED_SECONDS = 0.5
#: Seconds of backoff that an upstream asks for, seconds after which requests count, and
#: how many are allowed.
BACKOFF, BACKOFF_COUNTED, BACKOFF_ALLOWED = 2.0, 0.5, 2
#: Seconds for which a fault at a gateway excuses its requests.
EXCUSED_SECONDS = 3.0
#: Number of events in a stream.
EVENTS = 6


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an upstream began to work on."""

    request: str
    upstream: str
    at: float
    path: str
    body: bytes
    workspace: str
    first_event: int = 0


class Signal(enum.Enum):
    """A signal that an upstream sends about itself in its responses."""

    NONE = ""
    LIMIT = "limit"
    BACKOFF = "rest"
    LEAVE = "leave"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an upstream, run or not, and its response's signal."""

    request: str
    upstream: str
    at: float
    signal: Signal


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request as its caller sent it, and the response.

    ``status`` 0 means no response; ``whole`` is true if the body was complete, and
    ``left`` if the caller closed the connection before that. ``gateway`` is the name of
    the process and the number of its restart.
    """

    request: str
    path: str
    body: bytes
    gateway: str
    at: float
    ended: float
    status: int = 0
    answer: bytes = b""
    whole: bool = False
    left: bool = False

    def is_at(self, process: str) -> bool:
        """Return whether the request was sent to the process, in any incarnation."""
        return self.gateway.startswith(f"{process}/")


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A version, or an upstream's leave, that a directory acknowledged."""

    what: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Read:
    """A version read from a directory; ``at`` is the time of the request."""

    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """The time span of a fault, or planned operation, at a process or relay."""

    target: str
    planned: bool
    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the two time spans overlap."""
        return self.start < end and start < self.end

    def affects_upstream(self, identities: abc.Iterable[str]) -> bool:
        """Return whether its target is an upstream, in one of these incarnations."""
        return any(one.rpartition("-")[0] == self.target for one in identities)


@dataclasses.dataclass(frozen=True)
class Broken:
    """A promise that did not hold."""

    promise: str
    detail: str


class Evidence:
    """All observations of one run. ``add`` is thread-safe."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.asked: list[Asked] = []
        self.versions: list[Acknowledged] = []
        self.leaves: list[Acknowledged] = []
        self.reads: list[Read] = []
        self.disturbances: list[Disturbance] = []
        self.calls: list[checks.Call] = []
        self.calm_at = float("inf")
        self.lock = threading.Lock()

    def add(self, observation: object) -> None:
        """Record one observation."""
        places = {
            Run: self.runs,
            Arrival: self.arrivals,
            Asked: self.asked,
            Read: self.reads,
            Disturbance: self.disturbances,
            checks.Call: self.calls,
        }
        with self.lock:
            places[type(observation)].append(observation)


#: Lease duration of the duties' holder in the soak's settings.
LEASE_SECONDS = 1.5
Check = abc.Callable[[Evidence], abc.Iterator[str]]
PROMISES: dict[str, Check] = {}


def register_promise(name: str) -> abc.Callable[[Check], Check]:
    """Return a decorator that registers the check of a promise."""

    def add(check: Check) -> Check:
        PROMISES[name] = check
        return check

    return add


def find_broken(evidence: Evidence) -> list[Broken]:
    """Return every promise that the evidence shows broken."""
    return [
        Broken(name, detail)
        for name, check in PROMISES.items()
        for detail in check(evidence)
    ]


def make_answer(request: str) -> bytes:
    """Return the expected answer to a request."""
    return hashlib.blake2b(request.encode(), digest_size=16).hexdigest().encode()


def make_event(request: str, number: int) -> bytes:
    """Return one event of the expected stream for a request."""
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


def make_stream(request: str) -> bytes:
    """Return the expected stream for a request."""
    return b"".join(make_event(request, number) for number in range(1, EVENTS + 1))


def group_runs(evidence: Evidence) -> dict[str, list[Run]]:
    """Return the runs, grouped by request."""
    found = collections.defaultdict(list)
    for run in evidence.runs:
        found[run.request].append(run)
    return found


@register_promise("a request that may not be repeated runs at most once")
def check_once(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each at-most-once request that ran more often."""
    for request, runs in group_runs(evidence).items():
        if runs[0].path.startswith("/once/") and len(runs) > 1:
            yield f"{request} ran {len(runs)} times"


@register_promise("what is refused as not run has not run")
def check_refused(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that was answered 503 and ran."""
    runs = group_runs(evidence)
    for asked in evidence.asked:
        if asked.status == 503 and asked.request in runs:
            yield f"{asked.request} was refused by {asked.gateway} and ran"


@register_promise("an answer that looks complete is the request's own and complete")
def check_answers(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each complete 200 response with an unexpected body."""
    for asked in evidence.asked:
        if asked.status != 200 or not asked.whole:
            continue
        streams = asked.path.startswith("/stream/")
        make = make_stream if streams else make_answer
        if asked.answer != make(asked.request):
            yield f"{asked.request} got {asked.answer[:80]!r}"


@register_promise("events come in order, without a gap and once")
def check_events(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each stream that is not a prefix of the expected one."""
    for asked in evidence.asked:
        if asked.path.startswith("/stream/") and asked.status == 200:
            if not make_stream(asked.request).startswith(asked.answer):
                yield f"{asked.request} got {asked.answer[-80:]!r}"


@register_promise(
    "upstreams run what callers sent, unchanged and in their workspace's name"
)
def check_asked(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each run that differs from the request sent, or was never sent."""
    asked = {one.request: one for one in evidence.asked}
    for run in evidence.runs:
        known = asked.get(run.request)
        if known is None:
            yield f"{run.request} ran and was never sent"
        elif (known.path, known.body) != (run.path, run.body):
            yield f"{run.request} ran as {run.path} with {run.body[:40]!r}"
        elif run.path.startswith(FATAL_PREFIX):
            if run.workspace:
                yield f"{run.request} of a public route ran as {run.workspace!r}"
        elif not run.workspace.startswith("version-"):
            yield f"{run.request} ran in the name of {run.workspace!r}"


@register_promise("an upstream whose leave was acknowledged gets no new requests")
def check_leaves(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request sent and received too late after an acknowledged leave."""
    left = {one.what: one.at for one in evidence.leaves}
    sent = {one.request: one.at for one in evidence.asked}
    for run in evidence.runs:
        until = left.get(run.upstream, float("inf")) + LEAVE_SECONDS
        if min(run.at, sent.get(run.request, run.at)) > until:
            yield f"{run.request} reached {run.upstream} {run.at - until:.1f} s late"


@register_promise("gateways together respect the limit that an upstream advertises")
def check_limits(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each upstream that got too many requests from notified gateways."""
    for upstream, arrivals in group_arrivals(evidence, Signal.LIMIT).items():
        notified_at = find_notified(evidence, arrivals)
        if not notified_at:
            continue
        begin = min(notified_at.values()) + LIMIT_KNOWN
        counted = [
            one.at
            for one, asked in arrivals
            if one.at >= begin
            and one.at >= notified_at.get(asked.gateway, one.at) + NOTIFIED_SECONDS
            and not is_disturbed(evidence, asked, one.at - EXCUSED_SECONDS, one.at)
        ]
        spans = (sum(at <= one < at + LIMIT_SPAN for one in counted) for at in counted)
        most = max(spans, default=0)
        if most > LIMIT_FACTOR * LIMIT * LIMIT_SPAN + LIMIT_EXTRA:
            yield f"{upstream} got {most} in {LIMIT_SPAN} s"


@register_promise("an upstream that asked a gateway to back off gets no requests")
def check_backoffs(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each backoff signal after which its gateway sent too much."""
    for upstream, arrivals in group_arrivals(evidence, Signal.BACKOFF).items():
        for signal, by in arrivals:
            first, last = signal.at + BACKOFF_COUNTED, signal.at + BACKOFF
            if is_disturbed(evidence, by, signal.at, last):
                continue
            later = [
                one.request
                for one, asked in arrivals
                if asked.gateway == by.gateway and first < one.at < last
            ]
            if len(later) > BACKOFF_ALLOWED:
                yield f"{upstream} got {len(later)} from {by.gateway} in its backoff"


@register_promise("a gateway that got a drain notice in an answer sends nothing new")
def check_leave_signals(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request sent too late after a drain notice in an answer."""
    for upstream, arrivals in group_arrivals(evidence, Signal.LEAVE).items():
        notified_at = find_notified(evidence, arrivals)
        for one, asked in arrivals:
            known_at = notified_at.get(asked.gateway, asked.at)
            if asked.at > known_at + LEAVE_SECONDS:
                if not is_disturbed(evidence, asked, known_at, one.at):
                    yield f"{one.request} reached {upstream} by {asked.gateway}"


def group_arrivals(
    evidence: Evidence, signal: Signal
) -> dict[str, list[tuple[Arrival, Asked]]]:
    """Return, by upstream, the arrivals answered with a signal, with their requests."""
    asked = {one.request: one for one in evidence.asked}
    found = collections.defaultdict(list)
    for one in sorted(evidence.arrivals, key=lambda one: one.at):
        if one.signal is signal and one.request in asked:
            found[one.upstream].append((one, asked[one.request]))
    return found


def find_notified(
    evidence: Evidence, arrivals: abc.Iterable[tuple[Arrival, Asked]]
) -> dict[str, float]:
    """Return when each gateway had certainly forwarded an answer with the signal."""
    notified_at: dict[str, float] = {}
    for _, asked in arrivals:
        if is_served(asked):
            notified_at[asked.gateway] = min(
                asked.ended, notified_at.get(asked.gateway, asked.ended)
            )
    return notified_at


def is_disturbed(evidence: Evidence, asked: Asked, start: float, end: float) -> bool:
    """Return whether a fault at its gateway excuses a request."""
    return any(
        asked.is_at(one.target) and one.overlaps(start, end)
        for one in evidence.disturbances
    )


@register_promise("an acknowledged version is never lost")
def check_versions(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each read of a version older than one acknowledged before."""
    for read in evidence.reads:
        known = [one.number for one in evidence.versions if one.at < read.at]
        if known and read.number < max(known):
            yield f"version {read.number} was read after {max(known)} at {read.at:.1f}"


@register_promise("a gateway never goes back to an older version")
def check_monotonic(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request handled under an older version than one before it."""
    versions = read_versions(evidence)
    newest: dict[str, tuple[float, int]] = {}
    for asked in sorted(evidence.asked, key=lambda one: one.ended):
        if asked.request not in versions:
            continue
        ended, number = newest.get(asked.gateway, (asked.at, 0))
        if asked.at > ended and versions[asked.request] < number:
            yield f"{asked.request}: {versions[asked.request]} after {number}"
        if versions[asked.request] > number:
            newest[asked.gateway] = asked.ended, versions[asked.request]


@register_promise("an acknowledged version is soon in force at calm gateways")
def check_applied(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request after the faults that was handled under an old version."""
    versions = read_versions(evidence)
    for asked in evidence.asked:
        if asked.request not in versions or asked.at < evidence.calm_at:
            continue
        known = [
            one.number
            for one in evidence.versions
            if max(one.at, evidence.calm_at) + APPLY_SECONDS < asked.at
        ]
        if known and versions[asked.request] < max(known):
            yield f"{asked.request}: {versions[asked.request]} in place of {max(known)}"


@register_promise("an answer is whole if its gateway and its upstreams are sound")
def check_sound(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that ran, and was lost where nothing was disturbed.

    Fatal ones end their upstreams, and the next promise covers those in the calm.
    """
    runs = group_runs(evidence)
    for asked in evidence.asked:
        is_lost = not asked.whole or asked.status in (0, 502)
        if asked.left or not is_lost or asked.request not in runs:
            continue
        if asked.body == FATAL or asked.at > evidence.calm_at:
            continue
        near = asked.at - BEFORE_SECONDS, asked.ended
        names = [run.upstream for run in runs[asked.request]]
        if not any(
            one.overlaps(*near)
            and (asked.is_at(one.target) or one.affects_upstream(names))
            for one in evidence.disturbances
        ):
            yield f"{asked.request} got {asked.status} at {asked.gateway}, {names}"


@register_promise("once faults are over, requests are served in their time")
def check_served(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request after the faults that was not served by an upstream."""
    for asked in evidence.asked:
        is_calm = asked.at > evidence.calm_at + APPLY_SECONDS
        if is_calm and not asked.left and not is_served(asked):
            yield f"{asked.request} at {asked.gateway} got {asked.status}"


@register_promise("a planned stop or reload cuts off nothing")
def check_planned(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that ran and was cut off during planned operations only."""
    ran = group_runs(evidence)
    planned = [one for one in evidence.disturbances if one.planned]
    faults = [one for one in evidence.disturbances if not one.planned]
    for asked in evidence.asked:
        if asked.left or asked.request not in ran or (asked.status and asked.whole):
            continue
        near = asked.at - BEFORE_SECONDS, asked.ended
        if any(one.overlaps(*near) for one in faults):
            continue
        if any(one.overlaps(*near) and asked.is_at(one.target) for one in planned):
            yield f"{asked.request} was cut off at {asked.gateway}"


@register_promise("a request that crashes upstreams is soon sent to none of them")
def check_fatal(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that still ran after it had crashed several upstreams."""
    runs = collections.defaultdict(list)
    for run in sorted(evidence.runs, key=lambda one: one.at):
        if run.body.startswith(FATAL):
            runs[run.path, run.body].append(run.at)
    for (path, _), moments in runs.items():
        if len(moments) < FATAL_ENDS:
            continue
        known_at = moments[FATAL_ENDS - 1] + FATAL_SECONDS
        late = [at for at in moments if at > known_at]
        if len(late) > FATAL_RUNS:
            yield f"{path} ran {len(late)} times more, {len(moments)} in all"


@register_promise(
    "one process at a time makes the calls of duties, and never two reports"
)
def check_duties(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each call that violates the guarantees given to the platform.

    A call received right after its sender was paused may have been sent before the
    pause, and is excused.
    """
    platform = checks.Platform(LEASE_SECONDS)
    for call in sorted(evidence.calls, key=lambda one: one.at):
        excused = any(
            one.target == call.holder and 0 <= call.at - one.end <= checks.THAW_SECONDS
            for one in evidence.disturbances
        )
        try:
            platform.take(dataclasses.replace(call, excused=excused))
        except checks.Breach as breach:
            yield str(breach)


@register_promise("a window of usage is reported once the deployment is calm")
def check_reported(evidence: Evidence) -> abc.Iterator[str]:
    """Yield a message if no report came after the faults."""
    reports = [call.at for call in evidence.calls if call.window > 0]
    if evidence.calls and max(reports, default=0.0) < evidence.calm_at:
        yield "no report after the last fault"


def is_served(asked: Asked) -> bool:
    """Return whether the request got a complete 200 response."""
    return asked.status == 200 and asked.whole


def read_versions(evidence: Evidence) -> dict[str, int]:
    """Return each request's configuration version, from its first run's workspace."""
    return {
        request: int(runs[0].workspace.removeprefix("version-"))
        for request, runs in group_runs(evidence).items()
        if runs[0].workspace.startswith("version-")
    }
