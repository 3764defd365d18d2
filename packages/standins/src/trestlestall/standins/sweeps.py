"""The sweeps of the slope tool: each increases one count in running deployments.

A sweep is a generator registered by name. It yields a ``Point`` for each count, with a
deployment that has that many of the swept items; the tool measures it before the sweep
continues. Upstreams are announced by greenlets of this process, without processes of
their own.
"""

import contextlib
import dataclasses
import secrets
import tempfile
import time
from collections import abc

import eventlet

from trestlestall.standins import announcing, calls, deployment, mixes, processes

STREAM_TOKENS = 100_000
SLOW_ENGINE = (
    ("slots", "2000"),
    ("token_interval", "1"),
    ("interval_growth", "0"),
    ("prefill_rate", "10000000"),
)
DISCARD_PORT = "127.0.0.1:9"


@dataclasses.dataclass(frozen=True)
class Point:
    """A deployment with ``count`` of the swept items."""

    count: int
    running: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class Sweep:
    """A registered sweep.

    ``by_total`` marks items with a one-time cost, such as a configuration change; for
    others, costs are per second.
    """

    name: str
    counts: tuple[int, ...]
    by_total: bool
    run: abc.Callable[[tuple[int, ...]], abc.Iterator[Point]]


SWEEPS: dict[str, Sweep] = {}


def register(
    name: str, *counts: int, by_total: bool = False
) -> abc.Callable[[abc.Callable], abc.Callable]:
    """Return a decorator that registers a sweep over the counts."""

    def add(run: abc.Callable) -> abc.Callable:
        SWEEPS[name] = Sweep(name, counts, by_total, run)
        return run

    return add


@contextlib.contextmanager
def start(plan: deployment.Plan) -> abc.Iterator[deployment.Deployment]:
    """Start a plan in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        with deployment.start_deployment(folder, plan) as running:
            running.operate(
                "declare class bulk tier 0 target 3600s idempotent floor 5%"
            )
            yield running


def plan_small(**changes) -> deployment.Plan:
    """Return a plan of one data centre with one voter and two routers."""
    plan = deployment.Plan(data_centres=("a",), routers_per_data_centre=2)
    return dataclasses.replace(plan, **changes)


@register("routers", 1, 4, 8, 16)
def sweep_routers(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the routers of one data centre, in a new deployment per count."""
    for count in counts:
        with start(plan_small(routers_per_data_centre=count)) as running:
            yield Point(count, running)


@register("voters", 1, 3, 5)
def sweep_voters(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the control voters, in a new deployment per count."""
    for count in counts:
        with start(plan_small(controls=count)) as running:
            yield Point(count, running)


@register("upstreams", 0, 100, 300)
def sweep_upstreams(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the announced upstreams, spread over the routers, with renewals."""
    with start(plan_small()) as running, contextlib.ExitStack() as stack:
        known = 0
        for count in counts:
            for number in range(known, count):
                stack.enter_context(announce_upstream(running, number))
            known = count
            yield Point(count, running)


@contextlib.contextmanager
def announce_upstream(
    running: deployment.Deployment, number: int
) -> abc.Iterator[None]:
    """Keep one upstream announced that serves no requests."""
    upstream = announcing.Upstream(
        name=f"engine-{number}",
        incarnation=int(time.time() * 1000),
        data_centre="a",
        address=DISCARD_PORT,
        kind="engine",
        slots=8,
        capabilities=dict.fromkeys(announcing.CAPABILITIES, True),
    )
    host = running.routers[number % len(running.routers)].upstreams
    announcer = announcing.Announcer(
        upstream, (host,), running.secrets.upstreams, describe_idle, log=ignore
    )
    greenlet = eventlet.spawn(announcer.run)
    try:
        yield
    finally:
        greenlet.kill()


def describe_idle() -> dict:
    """Return the announcement of an idle engine."""
    report = {
        "at": time.time(),
        "running": 0,
        "waiting": 0,
        "tokens_per_second": 0.0,
        "kv_used": 0.0,
    }
    return {"models": [mixes.MODEL], "adapters": [], "report": report}


def ignore(**fields: object) -> None:
    """Discard an event."""


@register("workspaces", 0, 200, 800)
def sweep_workspaces(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the workspaces, each with a key and one binding."""
    with start(plan_small()) as running:
        known = 0
        for count in counts:
            for number in range(known, count):
                declare_workspace(running, f"w{number}")
            known = count
            yield Point(count, running)


def declare_workspace(running: deployment.Deployment, name: str) -> str:
    """Declare a workspace with a binding, and return its key."""
    key = secrets.token_hex(16)
    running.operate(
        f'declare workspace {name} key "{key}"',
        f"bind workspace {name} model {mixes.MODEL} to bulk",
    )
    return key


@register("classes", 0, 100, 400)
def sweep_classes(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the request classes."""
    with start(plan_small()) as running:
        known = 0
        for count in counts:
            for number in range(known, count):
                command = (
                    f"declare class c{number} tier 1 target 9s idempotent floor 0%"
                )
                running.operate(command)
            known = count
            yield Point(count, running)


@register("open streams at 1 token/s", 0, 100, 300)
def sweep_streams(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Increase the open streams of one router, each with a token a second."""
    engine = deployment.EnginePlan("engine-1", options=SLOW_ENGINE)
    plan = plan_small(routers_per_data_centre=1, engines=(engine,))
    with start(plan) as running:
        key = declare_workspace(running, "bench")
        deployment.wait_for_model(running.routers[0], key, mixes.MODEL)
        streams: list[eventlet.greenthread.GreenThread] = []
        try:
            for count in counts:
                streams += [
                    eventlet.spawn(hold_stream, running, key, number)
                    for number in range(len(streams), count)
                ]
                wait_for_streams(running, count)
                yield Point(count, running)
        finally:
            for stream in streams:
                stream.kill()


def hold_stream(running: deployment.Deployment, key: str, number: int) -> None:
    """Keep one stream open."""
    text = f"stream {number} [length {STREAM_TOKENS}]"
    body = calls.make_chat(mixes.MODEL, text)
    calls.stream(running.routers[0].callers, body, key)


def wait_for_streams(running: deployment.Deployment, count: int) -> None:
    """Wait until the engine runs ``count`` streams."""

    def are_open() -> bool:
        state = calls.call("GET", running.engines[0].address, "/v1/state").document
        return state["load"]["running"] >= count

    processes.wait_until(are_open, f"{count} open streams")


@register("configuration changes", 0, 200, 800, by_total=True)
def sweep_changes(counts: tuple[int, ...]) -> abc.Iterator[Point]:
    """Change one class repeatedly; the size of the configuration is constant."""
    with start(plan_small()) as running:
        known = 0
        for count in counts:
            for number in range(known, count):
                running.operate(write_change(number))
            known = count
            yield Point(count, running)


def write_change(number: int) -> str:
    """Return a command that differs from the one before it."""
    target = 10 + number % 50
    return f"declare class turning tier 1 target {target}s idempotent floor 0%"
