"""The load tool: ``python -m trestlestall.standins.load --mix basu --seed 1``.

One run sends the same seeded arrivals through each way (the router and baselines) in
turn, against fresh engines, and prints the results side by side. ``--mode overhead``
measures instead the router's overhead for a request on otherwise idle engines.
"""

import collections
import contextlib
import dataclasses
import json
import pathlib
import secrets
import sys
import tempfile
from collections import abc

import fire
from fire import decorators

from trestlestall.standins import (
    batching,
    deployment,
    driving,
    exceptions,
    mixes,
    overhead,
    processes,
    programs,
    scoring,
    tables,
    ways,
)

PACE = batching.Pace(token_interval=0.02, interval_growth=0.002, prefill_rate=20_000)
SLOTS = 8
MAX_SECONDS = 120.0
MAX_ARRIVALS = 30_000
MAX_PROCESSES = 40
FAULT_TIMES = {"straggle": 0.3, "crash": 0.5}
FAULTS = {
    "straggle": ("engine-1", {"kind": "straggle", "factor": 10}),
    "crash": ("engine-2", {"kind": "crash_mid_stream", "after_tokens": 1}),
}


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The number of processes of a run."""

    data_centres: int = 1
    routers: int = 2
    engines: int = 4

    @property
    def capacity(self) -> float:
        """Tokens a second of all engines with full batches."""
        duration = PACE.token_interval + PACE.interval_growth * (SLOTS - 1)
        return self.engines * SLOTS / duration

    def write_plan(self, uses_daemons: bool) -> deployment.Plan:
        """Return the plan of a deployment, with daemons or with engines only."""
        names = tuple("abcdefgh"[: self.data_centres])
        options = {
            "slots": SLOTS,
            "token_interval": PACE.token_interval,
            "interval_growth": PACE.interval_growth,
            "prefill_rate": PACE.prefill_rate,
            "waiting_limit": 100_000,
        }
        pairs = tuple((name, str(value)) for name, value in options.items())
        engines = tuple(
            deployment.EnginePlan(
                f"engine-{number + 1}",
                names[number % len(names)],
                (mixes.MODEL,),
                pairs,
            )
            for number in range(self.engines)
        )
        return deployment.Plan(
            data_centres=names,
            controls=1 if uses_daemons else 0,
            routers_per_data_centre=self.routers if uses_daemons else 0,
            engines=engines,
        )


@dataclasses.dataclass(frozen=True)
class Options:
    """The parsed options of a run."""

    mix: mixes.Mix
    seed: int
    seconds: float
    overload: float
    ways: tuple[str, ...]
    faults: tuple[str, ...]
    fleet: Fleet


def declare(running: deployment.Deployment, mix: mixes.Mix) -> dict[str, str]:
    """Declare the mix's classes, workspaces and bindings; returns the bearer keys."""
    keys = {each.name: secrets.token_hex(16) for each in mix.workspaces}
    for class_mix in mix.classes:
        running.operate(write_class(class_mix))
    names = " or ".join(class_mix.name for class_mix in mix.classes)
    for name, key in keys.items():
        running.operate(
            f'declare workspace {name} key "{key}"',
            f"bind workspace {name} model {mixes.MODEL} to {names}",
        )
    for router in running.routers:
        for key in keys.values():
            deployment.wait_for_model(router, key, mixes.MODEL)
    return keys


def write_class(class_mix: mixes.ClassMix) -> str:
    """Return the command that declares a class."""
    first = class_mix.first_token_target
    first_token = f" first token {first * 1000:.0f}ms" if first else ""
    repeats = "idempotent" if class_mix.idempotent else "at most once"
    return (
        f"declare class {class_mix.name} tier {class_mix.tier} "
        f"target {class_mix.target * 1000:.0f}ms{first_token} {repeats} "
        f"floor {class_mix.floor * 100:.0f}%"
    )


def run_way(
    name: str, options: Options, arrivals: abc.Sequence[mixes.Arrival]
) -> tuple[scoring.Score, driving.Run]:
    """Send all arrivals one way to fresh processes."""
    way_class = ways.WAYS[name]
    plan = options.fleet.write_plan(way_class.uses_daemons)
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="load-"))
        running = stack.enter_context(deployment.start_deployment(folder, plan))
        keys = declare(running, options.mix) if way_class.uses_daemons else {}
        way = way_class(running, keys, options.seed)
        run = driving.drive(way, options.mix, arrivals, plan_faults(options))
    score = scoring.score_run(
        name,
        options.mix,
        run.results,
        run.made_tokens,
        run.runs,
        options.fleet.capacity,
        options.seconds,
    )
    return score, run


def plan_faults(options: Options) -> tuple[driving.FaultPlan, ...]:
    """Return the planned faults at their times of the run."""
    return tuple(
        driving.FaultPlan(FAULT_TIMES[name] * options.seconds, *FAULTS[name])
        for name in options.faults
    )


def print_scores(options: Options, scores: abc.Sequence[scoring.Score]) -> None:
    """Print the classes, then the whole run, with one column per way."""
    names = [score.way for score in scores]
    rows = []
    for number, class_mix in enumerate(options.mix.classes):
        found = [score.classes[number] for score in scores]
        title = f"{class_mix.name} (tier {class_mix.tier})"
        rows += write_class_rows(title, found)
    print(tables.write_table(["class", "measure", *names], rows), "\n")
    print(tables.write_table(["whole run", *names], write_whole_rows(scores)), "\n")


def write_class_rows(title: str, found: list[scoring.ClassScore]) -> list[list]:
    """Return the rows of one class, with one column per way."""
    return [
        [title, "arrivals", *(each.arrivals for each in found)],
        ["", "attainment", *(tables.write_share(each.attainment) for each in found)],
        [
            "",
            "on time of admitted",
            *(tables.write_share(each.on_time_of_admitted) for each in found),
        ],
        ["", "refused", *(each.refused for each in found)],
        ["", "hung up, failed", *(f"{e.gave_up}, {e.failed}" for e in found)],
        [
            "",
            "first token p50, p95 (s)",
            *(f"{each.first_p50:.2f}, {each.first_p95:.2f}" for each in found),
        ],
        [
            "",
            "share of tokens, floor",
            *(f"{each.token_share * 100:.1f}%, {each.floor:.0%}" for each in found),
        ],
    ]


def write_whole_rows(scores: abc.Sequence[scoring.Score]) -> list[list]:
    """Return the rows of the whole run, with one column per way."""
    return [
        ["goodput (tokens/s on time)", *(f"{s.goodput:.0f}" for s in scores)],
        ["goodput of the best", *(tables.write_share(s.goodput_share) for s in scores)],
        ["answers on time", *(s.answers_on_time for s in scores)],
        ["engine tokens", *(s.made_tokens for s in scores)],
        ["wasted work", *(tables.write_share(s.wasted_share) for s in scores)],
        ["wrong answers", *(s.broken.wrong_answers for s in scores)],
        ["at most once, ran twice", *(s.broken.ran_twice for s in scores)],
        ["not_run, though it ran", *(s.broken.ran_though_not_run for s in scores)],
    ]


def run_load(options: Options) -> list[scoring.Score]:
    """Run every way in turn and print the comparison."""
    arrivals = mixes.make_arrivals(
        options.mix,
        options.seed,
        options.seconds,
        options.fleet.capacity,
        options.overload,
    )
    if len(arrivals) > MAX_ARRIVALS:
        raise exceptions.SettingError(f"more than {MAX_ARRIVALS} arrivals")
    demand = sum(arrival.tokens for arrival in arrivals) / options.seconds
    faults = ", ".join(options.faults) or "none"
    print(
        f"{options.mix.name}, seed {options.seed}: {len(arrivals)} arrivals in "
        f"{options.seconds:.0f} s ask for {demand:.0f} tokens/s of "
        f"{options.fleet.capacity:.0f}; faults: {faults}\n",
        flush=True,
    )
    scores = []
    for name in options.ways:
        score, run = run_way(name, options, arrivals)
        codes = collections.Counter(r.code or r.status for r in run.results)
        print(f"{name}: sent at most {run.lateness * 1000:.0f} ms late; {dict(codes)}")
        scores.append(score)
    print()
    print_scores(options, scores)
    return scores


@decorators.SetParseFn(str)
def measure(
    mode: str = "burst",
    mix: str = "basu",
    seed: str = "1",
    seconds: str = "60",
    overload: str = "10",
    ways: str = "router,random,least",
    faults: str = "",
    data_centres: str = "1",
    routers: str = "2",
    engines: str = "4",
    json: str = "",
) -> None:
    """Measure a burst, or the router's overhead with ``mode`` overhead.

    ``faults`` may list straggle and crash; ``json`` is a file for the results.
    """
    programs.patch()
    if mode == "overhead":
        write_json(json, overhead.run_overhead())
        return
    options = Options(
        mix=mixes.MIXES[mix],
        seed=int(seed),
        seconds=min(float(seconds), MAX_SECONDS),
        overload=float(overload),
        ways=tuple(ways.split(",")),
        faults=tuple(part for part in faults.split(",") if part),
        fleet=Fleet(int(data_centres), int(routers), int(engines)),
    )
    check_options(options)
    write_json(json, [dataclasses.asdict(score) for score in run_load(options)])


def check_options(options: Options) -> None:
    """Raise ``SettingError`` for an invalid option."""
    unknown = [name for name in options.ways if name not in ways.WAYS]
    unknown += [name for name in options.faults if name not in FAULTS]
    if unknown:
        raise exceptions.SettingError(f"unknown: {', '.join(unknown)}")
    fleet = options.fleet
    if fleet.engines + fleet.routers * fleet.data_centres > MAX_PROCESSES:
        raise exceptions.SettingError(f"more than {MAX_PROCESSES} processes")


def write_json(path: str, document: object) -> None:
    """Write the results to a file if a path is given."""
    if path:
        pathlib.Path(path).write_text(json.dumps(document, indent=2))


def run() -> int:
    """Run the tool and return its exit status."""
    processes.exit_on_termination()
    try:
        fire.Fire(measure)
    except exceptions.StandinError as error:
        print(f"load: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run())
