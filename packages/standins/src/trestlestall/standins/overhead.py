"""The router's overhead for a request: latency, processor time and memory.

The same request is sent in turn directly to an engine and through a router, with no
other load. Processor time is the router's own, from ``/proc``, so that requests a
second on one core are ``requests / cpu seconds``, independent of the client's speed.
"""

import contextlib
import dataclasses
import secrets
import tempfile
import time
from collections import abc

import eventlet

from trestlestall.standins import (
    addresses,
    calls,
    deployment,
    exceptions,
    mixes,
    processes,
    scoring,
    tables,
    usage,
)

PAIRS = 150
TOKENS = 40
SHORT_REQUESTS = 1000
LONG_REQUESTS = 48
LONG_TOKENS = 500
CONCURRENT = 16
OPEN_STREAMS = 200
SETTLE_SECONDS = 1.0
SLOW_FACTOR = 100
ENGINE_OPTIONS = (
    ("slots", "256"),
    ("token_interval", "0.002"),
    ("interval_growth", "0"),
    ("prefill_rate", "10000000"),
)
PLAN = deployment.Plan(
    data_centres=("a",),
    engines=(deployment.EnginePlan("engine-1", options=ENGINE_OPTIONS),),
)


@dataclasses.dataclass(frozen=True)
class Timing:
    """One stream's time to first token and inter-token gaps, in seconds.

    ``failure`` is empty if the answer was complete.
    """

    first: float
    gaps: tuple[float, ...]
    failure: str = ""


@dataclasses.dataclass(frozen=True)
class Path:
    """Where a request is sent: directly to the engine or to the router."""

    name: str
    address: addresses.Address
    key: str = ""


@dataclasses.dataclass(frozen=True)
class Latency:
    """Latency quantiles of one path, in seconds."""

    path: str
    first_p50: float
    first_p99: float
    gap_p50: float
    gap_p99: float


@dataclasses.dataclass(frozen=True)
class Overhead:
    """All results of one run; memory is in bytes, rates are for one core."""

    direct: Latency
    routed: Latency
    requests_per_core: float
    tokens_per_core: float
    engine_requests_per_core: float
    engine_tokens_per_core: float
    memory_at_rest: int
    memory_per_stream: float


def time_stream(path: Path, text: str) -> Timing:
    """Stream one answer and return the timing of its tokens."""
    start = time.perf_counter()
    times: list[float] = []

    def record(part: str) -> None:
        if part:
            times.append(time.perf_counter())

    answer = calls.stream(
        path.address, calls.make_chat(mixes.MODEL, text), path.key, record
    )
    if not answer.whole or answer.status != 200:
        return Timing(0.0, (), f"status {answer.status} {answer.data.decode()}")
    gaps = (late - early for early, late in zip(times, times[1:], strict=False))
    return Timing(times[0] - start, tuple(gaps))


def check_whole(path: Path, timings: abc.Sequence[Timing]) -> None:
    """Raise ``DeploymentError`` if an answer was incomplete: results are invalid."""
    failures = [timing.failure for timing in timings if timing.failure]
    if failures:
        raise exceptions.DeploymentError(
            f"{path.name}: {len(failures)} of {len(timings)} failed: {failures[0]}"
        )


def measure_latency(paths: abc.Sequence[Path]) -> list[Latency]:
    """Alternate between the paths, so that both see the same machine load."""
    timings: dict[str, list[Timing]] = {path.name: [] for path in paths}
    for number in range(PAIRS):
        for path in paths:
            text = f"pair {number} [length {TOKENS}]"
            timings[path.name].append(time_stream(path, text))
    for path in paths:
        check_whole(path, timings[path.name])
    return [summarise(path.name, timings[path.name]) for path in paths]


def summarise(name: str, timings: list[Timing]) -> Latency:
    """Return the quantiles of one path."""
    firsts = [timing.first for timing in timings]
    gaps = [gap for timing in timings for gap in timing.gaps]
    quantiles = (
        scoring.compute_quantile(values, share)
        for values in (firsts, gaps)
        for share in (0.5, 0.99)
    )
    return Latency(name, *quantiles)


def measure_processor_time(
    path: Path, count: int, tokens: int, pids: abc.Sequence[int]
) -> list[float]:
    """Stream ``count`` answers concurrently; return each process's CPU seconds."""
    before = [usage.read(pid).cpu for pid in pids]
    pool = eventlet.GreenPool(CONCURRENT)
    streams = [
        pool.spawn(time_stream, path, f"spend {number} [length {tokens}]")
        for number in range(count)
    ]
    check_whole(path, [stream.wait() for stream in streams])
    after = [usage.read(pid).cpu for pid in pids]
    return [late - early for early, late in zip(before, after, strict=True)]


def measure_memory(path: Path, engine: deployment.Standin, pid: int) -> float:
    """Return the router's memory per open stream, in bytes.

    The engine is slowed down, so that the streams stay open.
    """
    before = usage.read(pid).memory
    fault = {"kind": "straggle", "factor": SLOW_FACTOR}
    calls.call("POST", engine.address, "/v1/faults", fault)
    streams = [
        eventlet.spawn(time_stream, path, f"open {number} [length {TOKENS}]")
        for number in range(OPEN_STREAMS)
    ]

    def are_open() -> bool:
        load = calls.call("GET", engine.address, "/v1/state").document["load"]
        return load["running"] + load["waiting"] >= OPEN_STREAMS

    processes.wait_until(are_open, f"{OPEN_STREAMS} open streams")
    eventlet.sleep(SETTLE_SECONDS)
    after = usage.read(pid).memory
    calls.call("POST", engine.address, "/v1/faults", {"kind": "none"})
    check_whole(path, [stream.wait() for stream in streams])
    return (after - before) / OPEN_STREAMS


def measure(running: deployment.Deployment, key: str) -> Overhead:
    """Return all results for a running deployment."""
    engine, router = running.engines[0], running.routers[0]
    direct = Path("straight to the engine", engine.address)
    routed = Path("through the router", router.callers, key)
    pids = (router.process.pid, engine.process.pid)
    at_rest = usage.read(pids[0]).memory
    latencies = measure_latency((direct, routed))
    short = measure_processor_time(routed, SHORT_REQUESTS, 1, pids)
    long = measure_processor_time(routed, LONG_REQUESTS, LONG_TOKENS, pids)
    return Overhead(
        *latencies,
        requests_per_core=SHORT_REQUESTS / short[0],
        tokens_per_core=LONG_REQUESTS * LONG_TOKENS / long[0],
        engine_requests_per_core=SHORT_REQUESTS / short[1],
        engine_tokens_per_core=LONG_REQUESTS * LONG_TOKENS / long[1],
        memory_at_rest=at_rest,
        memory_per_stream=measure_memory(routed, engine, pids[0]),
    )


def declare(running: deployment.Deployment) -> str:
    """Declare one workspace and a class with a long target; return the bearer key."""
    key = secrets.token_hex(16)
    running.operate(
        "declare class bulk tier 0 target 60s idempotent floor 5%",
        f'declare workspace bench key "{key}"',
        f"bind workspace bench model {mixes.MODEL} to bulk",
    )
    deployment.wait_for_model(running.routers[0], key, mixes.MODEL)
    return key


def run_overhead() -> dict:
    """Measure, print the tables and return the results."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="load-"))
        running = stack.enter_context(deployment.start_deployment(folder, PLAN))
        found = measure(running, declare(running))
    print(write_latencies(found), "\n")
    print(write_costs(found))
    return dataclasses.asdict(found)


def write_latencies(found: Overhead) -> str:
    """Return the table of latencies, with the added time and the ratio."""
    rows = []
    for title, field in (
        ("first token p50 (ms)", "first_p50"),
        ("first token p99 (ms)", "first_p99"),
        ("between tokens p50 (ms)", "gap_p50"),
        ("between tokens p99 (ms)", "gap_p99"),
    ):
        direct, routed = getattr(found.direct, field), getattr(found.routed, field)
        added = tables.write_milliseconds(routed - direct)
        times = [tables.write_milliseconds(each) for each in (direct, routed)]
        rows.append([title, *times, added, f"{routed / direct:.2f}"])
    headings = ["measure", found.direct.path, found.routed.path, "added", "ratio"]
    return tables.write_table(headings, rows)


def write_costs(found: Overhead) -> str:
    """Return the table of rates per core and of memory."""
    requests = (found.requests_per_core, found.engine_requests_per_core)
    tokens = (found.tokens_per_core, found.engine_tokens_per_core)
    rows = [
        ["requests/s on one core", *(f"{each:.0f}" for each in requests)],
        ["tokens/s on one core", *(f"{each:.0f}" for each in tokens)],
        ["memory at rest (MiB)", f"{found.memory_at_rest / 2**20:.1f}", ""],
        ["memory per open stream (KiB)", f"{found.memory_per_stream / 2**10:.1f}", ""],
    ]
    return tables.write_table(["cost", "router", "stand-in engine"], rows)
