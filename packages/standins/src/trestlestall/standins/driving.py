"""Send seeded arrivals to a deployment, open loop, and collect the results.

Runs in a process patched by eventlet: each request is a greenlet that starts when it is
due, whether or not earlier ones were answered. A caller closes its connection after
``TIMEOUT_FACTOR`` times its class's target.
"""

import dataclasses
import time
from collections import abc

import eventlet

from trestlestall.standins import calls, deployment, mixes, prompts, scoring, ways

TIMEOUT_FACTOR = 1.5
SAMPLE_INTERVAL_SECONDS = 0.5
MAX_TOKENS = prompts.LONG_LENGTHS[1]
MAX_OPEN_REQUESTS = 8000


@dataclasses.dataclass(frozen=True)
class FaultPlan:
    """A fault to inject into one engine, ``at`` seconds after the start."""

    at: float
    engine: str
    fault: dict


@dataclasses.dataclass
class Tokens:
    """The last known token count of each engine, which survives its crash."""

    made: dict[str, int] = dataclasses.field(default_factory=dict)

    def sample(self, engines: abc.Iterable[deployment.Standin]) -> None:
        """Read the engines' counts; one that does not answer keeps its last value."""
        for engine in engines:
            answer = calls.call("GET", engine.address, "/v1/counts?names=no")
            if answer.status == 200:
                self.made[engine.name] = answer.document["tokens"]

    def sample_often(self, engines: abc.Iterable[deployment.Standin]) -> None:
        """Sample until killed."""
        while True:
            self.sample(engines)
            eventlet.sleep(SAMPLE_INTERVAL_SECONDS)


@dataclasses.dataclass(frozen=True)
class Run:
    """The outcome of a run: results, engine tokens, and runs of each prompt."""

    results: list[scoring.Result]
    made_tokens: int
    runs: dict[str, int]
    lateness: float


def drive(
    way: ways.Way,
    mix: mixes.Mix,
    arrivals: abc.Sequence[mixes.Arrival],
    fault_plans: abc.Sequence[FaultPlan] = (),
) -> Run:
    """Send all arrivals, and wait until each was answered or timed out.

    ``lateness`` is the maximum delay in seconds between an arrival's due time and its
    sending. If it is large, the load tool was the bottleneck and the run is invalid.
    """
    engines = way.running.engines
    tokens = Tokens()
    sampler = eventlet.spawn(tokens.sample_often, engines)
    pool = eventlet.GreenPool(MAX_OPEN_REQUESTS)
    start = time.perf_counter()
    for plan in fault_plans:
        eventlet.spawn_after(plan.at, set_fault, way.running, plan)
    threads = []
    lateness = 0.0
    for arrival in arrivals:
        due = start + arrival.at
        eventlet.sleep(max(0.0, due - time.perf_counter()))
        lateness = max(lateness, time.perf_counter() - due)
        threads.append(pool.spawn(send, way, mix, arrival, due))
    results = [thread.wait() for thread in threads]
    sampler.kill()
    tokens.sample(engines)
    return Run(results, sum(tokens.made.values()), read_runs(engines), lateness)


def set_fault(running: deployment.Deployment, plan: FaultPlan) -> None:
    """Inject a planned fault."""
    engine = next(each for each in running.engines if each.name == plan.engine)
    calls.call("POST", engine.address, "/v1/faults", plan.fault)


def read_runs(engines: abc.Iterable[deployment.Standin]) -> dict[str, int]:
    """Return how often each prompt ran, on the engines that still answer."""
    runs: dict[str, int] = {}
    for engine in engines:
        answer = calls.call("GET", engine.address, "/v1/counts")
        found = answer.document["prompts"] if answer.status == 200 else {}
        for prompt, times in found.items():
            runs[prompt] = runs.get(prompt, 0) + times
    return runs


def send(
    way: ways.Way, mix: mixes.Mix, arrival: mixes.Arrival, due: float
) -> scoring.Result:
    """Send one arrival and return its result."""
    destination = way.choose(arrival)
    timeout = mix.find_class(arrival.class_name).target * TIMEOUT_FACTOR
    firsts: list[float] = []

    def record_first(text: str) -> None:
        if not firsts and text:
            firsts.append(time.perf_counter() - due)

    body = calls.make_chat(mixes.MODEL, arrival.text, max_tokens=MAX_TOKENS)
    answer = None
    left = due + timeout - time.perf_counter()
    with eventlet.Timeout(left, False):
        answer = calls.stream(
            destination.address,
            body,
            destination.key,
            record_first,
            **dict(destination.headers),
        )
    way.finish(destination, answer is not None and answer.status == calls.NO_ANSWER)
    total = time.perf_counter() - due
    first = firsts[0] if firsts else None
    if answer is None:
        return scoring.Result(arrival, 0, first=first, total=total, gave_up=True)
    return evaluate(arrival, answer, first, total)


def evaluate(
    arrival: mixes.Arrival, answer: calls.Answer, first: float | None, total: float
) -> scoring.Result:
    """Return the result of an answered arrival."""
    whole = answer.status == 200 and answer.whole and not answer.error_code
    right = answer.text == arrival.expected
    return scoring.Result(
        arrival,
        answer.status,
        code=answer.error_code,
        run=answer.run,
        first=first,
        total=total,
        whole=whole and right,
        wrong=not arrival.expected.startswith(answer.text) or (whole and not right),
        retry_after=read_retry_after(answer),
    )


def read_retry_after(answer: calls.Answer) -> float | None:
    """Return the seconds of the Retry-After header, or None without a valid one."""
    try:
        return float(answer.headers["retry-after"])
    except (KeyError, ValueError):
        return None
