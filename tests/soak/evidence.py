"""What callers, operators and upstreams saw, and the promises checked against it.

Nothing here asks the system: a promise is broken if what came out of its sockets says
so.
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
#: Seconds after an acknowledgement from which on a calm gateway applies a version.
APPLY_SECONDS = 3.0
#: Seconds before a request in which a fault may still have an effect on it.
BEFORE_SECONDS = 2.0
#: What the body of a request that ends upstreams begins with.
FATAL = b"fatal"
#: What its path begins with: a public route, as the workspace of the others is renamed
#: with each version, and so is another caller.
FATAL_PREFIX = "/fatal/"
#: Ends of upstreams after which such a request is known, seconds until it is known
#: everywhere, and the runs that are accepted from then on.
FATAL_ENDS = 3
FATAL_SECONDS = 3.0
FATAL_RUNS = 3
#: Requests a second that an upstream states as its limit, and what is allowed in each
#: span of so many seconds, from a while after the first statement on.
LIMIT = 2.0
LIMIT_SPAN, LIMIT_FACTOR, LIMIT_EXTRA, LIMIT_KNOWN = 4.0, 1.5, 5, 3.0
#: Seconds after an answer from which its gateway counts as told of a limit.
TOLD_SECONDS = 0.5
#: Seconds of rest that an upstream asks for, from when on requests count, and how many
#: are allowed.
REST, REST_COUNTED, REST_ALLOWED = 2.0, 0.5, 2
#: Seconds for which a fault of a gateway excuses what it sends.
EXCUSED_SECONDS = 3.0
#: Events of a stream; the last one ends it.
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


class Wish(enum.Enum):
    """What an upstream says of itself in an answer."""

    NONE = ""
    LIMIT = "limit"
    REST = "rest"
    LEAVE = "leave"


@dataclasses.dataclass(frozen=True)
class Arrived:
    """A request that reached an upstream, run or not, and what its answer said."""

    request: str
    upstream: str
    at: float
    wish: Wish


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request as its caller sent it, and what came back.

    ``status`` 0 stands for no answer. ``whole`` tells that the body ended properly.
    ``gateway`` names the process and which of its starts.
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

    def is_at(self, process: str) -> bool:
        """Return whether the process, in any of its starts, took the request."""
        return self.gateway.startswith(f"{process}/")


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A version, or an upstream's leave, that a directory acknowledged."""

    what: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Read:
    """A version that a directory told; ``at`` is when it was asked."""

    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Disturbed:
    """A time in which a fault, or planned work, lasted at a process or relay."""

    target: str
    planned: bool
    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether some of the time lies in it."""
        return self.start < end and start < self.end


@dataclasses.dataclass(frozen=True)
class Broken:
    """A promise that did not hold."""

    promise: str
    detail: str


class Evidence:
    """All observations of one run; may be added to from any thread."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.arrived: list[Arrived] = []
        self.asked: list[Asked] = []
        self.versions: list[Acknowledged] = []
        self.leaves: list[Acknowledged] = []
        self.reads: list[Read] = []
        self.disturbed: list[Disturbed] = []
        self.calls: list[checks.Call] = []
        self.calm_at = float("inf")
        self.lock = threading.Lock()

    def add(self, observation: object) -> None:
        """Note one observation."""
        places = {
            Run: self.runs,
            Arrived: self.arrived,
            Asked: self.asked,
            Read: self.reads,
            Disturbed: self.disturbed,
            checks.Call: self.calls,
        }
        with self.lock:
            places[type(observation)].append(observation)


#: The lease of the duties' holder, as the soak sets it.
LEASE_SECONDS = 1.5
Check = abc.Callable[[Evidence], abc.Iterator[str]]
PROMISES: dict[str, Check] = {}


def promises(name: str) -> abc.Callable[[Check], Check]:
    """Return a decorator that enters the check of a promise."""

    def enter(check: Check) -> Check:
        PROMISES[name] = check
        return check

    return enter


def find_broken(evidence: Evidence) -> list[Broken]:
    """Return every promise that the evidence shows broken."""
    return [
        Broken(name, detail)
        for name, check in PROMISES.items()
        for detail in check(evidence)
    ]


def make_answer(request: str) -> bytes:
    """Return the one right answer to a request."""
    return hashlib.blake2b(request.encode(), digest_size=16).hexdigest().encode()


def make_event(request: str, number: int) -> bytes:
    """Return one event of the right stream for a request."""
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


def make_stream(request: str) -> bytes:
    """Return the right stream for a request."""
    return b"".join(make_event(request, number) for number in range(1, EVENTS + 1))


def group_runs(evidence: Evidence) -> dict[str, list[Run]]:
    """Return the runs by request."""
    found = collections.defaultdict(list)
    for run in evidence.runs:
        found[run.request].append(run)
    return found


@promises("a request that may not be repeated runs at most once")
def check_once(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each that ran more often."""
    for request, runs in group_runs(evidence).items():
        if runs[0].path.startswith("/once/") and len(runs) > 1:
            yield f"{request} ran {len(runs)} times"


@promises("what is refused as not run has not run")
def check_refused(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each that was answered 503 and ran."""
    runs = group_runs(evidence)
    for asked in evidence.asked:
        if asked.status == 503 and asked.request in runs:
            yield f"{asked.request} was refused by {asked.gateway} and ran"


@promises("an answer that looks whole is the request's own and whole")
def check_answers(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each success with another body."""
    for asked in evidence.asked:
        if asked.status != 200 or not asked.whole:
            continue
        streams = asked.path.startswith("/stream/")
        make = make_stream if streams else make_answer
        if asked.answer != make(asked.request):
            yield f"{asked.request} got {asked.answer[:80]!r}"


@promises("events come in order, without a gap and once")
def check_events(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each stream whose beginning is not that of the right one."""
    for asked in evidence.asked:
        if asked.path.startswith("/stream/") and asked.status == 200:
            if not make_stream(asked.request).startswith(asked.answer):
                yield f"{asked.request} got {asked.answer[-80:]!r}"


@promises("upstreams run what callers sent, unchanged and in their workspace's name")
def check_asked(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each run that nobody asked for so."""
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


@promises("an upstream whose leave was acknowledged gets no new requests")
def check_leaves(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that was sent and arrived too late."""
    left = {one.what: one.at for one in evidence.leaves}
    sent = {one.request: one.at for one in evidence.asked}
    for run in evidence.runs:
        until = left.get(run.upstream, float("inf")) + LEAVE_SECONDS
        if min(run.at, sent.get(run.request, run.at)) > until:
            yield f"{run.request} reached {run.upstream} {run.at - until:.1f} s late"


@promises("gateways together keep to the limit that an upstream states")
def check_limits(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each upstream that got too many requests of gateways that had been told."""
    for upstream, arrived in group_arrived(evidence, Wish.LIMIT).items():
        told = find_told(evidence, arrived)
        if not told:
            continue
        begin = min(told.values()) + LIMIT_KNOWN
        counted = [
            one.at
            for one, asked in arrived
            if one.at >= begin
            and one.at >= told.get(asked.gateway, one.at) + TOLD_SECONDS
            and not is_excused(evidence, asked, one.at - EXCUSED_SECONDS, one.at)
        ]
        spans = (sum(at <= one < at + LIMIT_SPAN for one in counted) for at in counted)
        most = max(spans, default=0)
        if most > LIMIT_FACTOR * LIMIT * LIMIT_SPAN + LIMIT_EXTRA:
            yield f"{upstream} got {most} in {LIMIT_SPAN} s"


@promises("an upstream that asked a gateway for rest gets none from it")
def check_rests(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each wish after which its gateway sent more than a few."""
    for upstream, arrived in group_arrived(evidence, Wish.REST).items():
        for wish, by in arrived:
            first, last = wish.at + REST_COUNTED, wish.at + REST
            if is_excused(evidence, by, wish.at, last):
                continue
            later = [
                one.request
                for one, asked in arrived
                if asked.gateway == by.gateway and first < one.at < last
            ]
            if len(later) > REST_ALLOWED:
                yield f"{upstream} got {len(later)} from {by.gateway} in its rest"


@promises("a gateway that an answer told of a leave sends nothing new there")
def check_said_leaves(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that was sent and arrived too late."""
    for upstream, arrived in group_arrived(evidence, Wish.LEAVE).items():
        told = find_told(evidence, arrived)
        for one, asked in arrived:
            known_at = told.get(asked.gateway, asked.at)
            if asked.at > known_at + LEAVE_SECONDS:
                if not is_excused(evidence, asked, known_at, one.at):
                    yield f"{one.request} reached {upstream} by {asked.gateway}"


def group_arrived(
    evidence: Evidence, wish: Wish
) -> dict[str, list[tuple[Arrived, Asked]]]:
    """Return what reached upstreams while they said so, with how it was asked for."""
    asked = {one.request: one for one in evidence.asked}
    found = collections.defaultdict(list)
    for one in sorted(evidence.arrived, key=lambda one: one.at):
        if one.wish is wish and one.request in asked:
            found[one.upstream].append((one, asked[one.request]))
    return found


def find_told(
    evidence: Evidence, arrived: abc.Iterable[tuple[Arrived, Asked]]
) -> dict[str, float]:
    """Return when each gateway had surely passed on an answer that said so."""
    told: dict[str, float] = {}
    for _, asked in arrived:
        if is_served(asked):
            told[asked.gateway] = min(asked.ended, told.get(asked.gateway, asked.ended))
    return told


def is_excused(evidence: Evidence, asked: Asked, start: float, end: float) -> bool:
    """Return whether a fault of its gateway excuses a request."""
    return any(
        asked.is_at(one.target) and one.overlaps(start, end)
        for one in evidence.disturbed
    )


@promises("an acknowledged version is never lost")
def check_versions(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each read that is older than what was acknowledged before it."""
    for read in evidence.reads:
        known = [one.number for one in evidence.versions if one.at < read.at]
        if known and read.number < max(known):
            yield f"version {read.number} was read after {max(known)} at {read.at:.1f}"


@promises("a gateway never goes back to an older version")
def check_monotonic(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that an older version governed than one before it did."""
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


@promises("an acknowledged version is soon in force at calm gateways")
def check_applied(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request in the calm that an overtaken version governed."""
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


@promises("once faults are over, requests are served in their time")
def check_served(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request in the calm that got no answer of an upstream."""
    for asked in evidence.asked:
        if asked.at > evidence.calm_at + APPLY_SECONDS and not is_served(asked):
            yield f"{asked.request} at {asked.gateway} got {asked.status}"


@promises("a planned stop or reload cuts off nothing")
def check_planned(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each request that ran and was cut off while only planned work went on."""
    ran = group_runs(evidence)
    planned = [one for one in evidence.disturbed if one.planned]
    faults = [one for one in evidence.disturbed if not one.planned]
    for asked in evidence.asked:
        if asked.request not in ran or (asked.status and asked.whole):
            continue
        near = asked.at - BEFORE_SECONDS, asked.ended
        if any(one.overlaps(*near) for one in faults):
            continue
        if any(one.overlaps(*near) and asked.is_at(one.target) for one in planned):
            yield f"{asked.request} was cut off at {asked.gateway}"


@promises("a request that ends upstreams is soon sent to none of them")
def check_fatal(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each that ran on after several upstreams had ended under it."""
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


@promises("one process at a time makes the calls of duties, and never two reports")
def check_duties(evidence: Evidence) -> abc.Iterator[str]:
    """Yield each call that breaks what the platform may rely on.

    One that comes right after its sender stood still may have left its hands before.
    """
    platform = checks.Platform(LEASE_SECONDS)
    for call in sorted(evidence.calls, key=lambda one: one.at):
        excused = any(
            one.target == call.holder and 0 <= call.at - one.end <= checks.THAW_SECONDS
            for one in evidence.disturbed
        )
        try:
            platform.take(dataclasses.replace(call, excused=excused))
        except checks.Breach as breach:
            yield str(breach)


@promises("a window of usage is reported once the deployment is calm")
def check_reported(evidence: Evidence) -> abc.Iterator[str]:
    """Yield if no report came in the calm."""
    reports = [call.at for call in evidence.calls if call.window > 0]
    if evidence.calls and max(reports, default=0.0) < evidence.calm_at:
        yield "no report after the last fault"


def is_served(asked: Asked) -> bool:
    """Return whether the request was answered whole and in time."""
    return asked.status == 200 and asked.whole


def read_versions(evidence: Evidence) -> dict[str, int]:
    """Return the version that governed each request, by its first run's workspace."""
    return {
        request: int(runs[0].workspace.removeprefix("version-"))
        for request, runs in group_runs(evidence).items()
        if runs[0].workspace.startswith("version-")
    }
