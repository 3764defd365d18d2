"""Run fault schedules: ``python -m tests.soak --seeds 1-50 --seconds 25 --jobs 3``.

The data and logs of each seed stay in the output folder. For a seed that breaks a
promise, the fault schedule is printed; ``--shorten`` searches for a shorter schedule
that still breaks one.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import sys
from collections import abc

from tests.soak import evidence as evidences, schedules, worlds

FAILED = 1
#: Runs of each candidate schedule while a schedule is shortened.
SHORTEN_PLAYS = 3


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of one run."""

    seed: int
    steps: tuple[schedules.Step, ...]
    broken: tuple[evidences.Broken, ...]
    asked: int
    served: int


def play(
    seed: int,
    steps: abc.Sequence[schedules.Step],
    seconds: float,
    folder: pathlib.Path,
) -> Report:
    """Run a schedule in a folder of its own, and check the evidence."""
    # Data of an earlier run name voters at other ports, so no quorum would form.
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    world = worlds.World(folder)
    with world.open():
        world.play(steps, seconds)
        world.end_traffic()
    found = world.evidence
    served = sum(map(evidences.is_served, found.asked))
    broken = tuple(evidences.find_broken(found))
    return Report(seed, tuple(steps), broken, len(found.asked), served)


def play_seed(seed: int, seconds: float, folder: pathlib.Path) -> Report:
    """Run the schedule of a seed."""
    steps = schedules.draw(seed, seconds, worlds.list_targets())
    return play(seed, steps, seconds, folder / f"seed-{seed}")


def shorten(report: Report, seconds: float, folder: pathlib.Path) -> Report:
    """Shorten a failing schedule; return the report of the last run that failed."""
    latest = [report]

    def fails(steps: abc.Sequence[schedules.Step]) -> bool:
        for number in range(SHORTEN_PLAYS):
            place = folder / f"seed-{report.seed}-steps-{len(steps)}-{number}"
            found = play(report.seed, steps, seconds, place)
            if found.broken:
                latest.append(found)
                return True
        return False

    schedules.shorten(report.steps, fails)
    return latest[-1]


def describe(report: Report) -> str:
    """Return a report as text; the steps only if a promise was broken."""
    lines = [
        f"seed {report.seed}: {len(report.steps)} faults, {report.asked} requests,"
        f" {report.served} served, {len(report.broken)} broken"
    ]
    if report.broken:
        lines += [f"  {one.promise}: {one.detail}" for one in report.broken[:20]]
        lines += [
            f"  {step.at:6.2f} s {step.kind.name} {step.target} for {step.seconds} s"
            for step in report.steps
        ]
    return "\n".join(lines)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of ``3`` or ``1-50``."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main(arguments: abc.Sequence[str]) -> int:
    """Run the given seeds; return 1 if any broke a promise, else 0."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--folder", type=pathlib.Path, default=pathlib.Path("soak-out"))
    parser.add_argument("--shorten", action="store_true")
    given = parser.parse_args(arguments)
    folder = given.folder.resolve()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        plays = [
            pool.submit(play_seed, seed, given.seconds, folder) for seed in given.seeds
        ]
        for done in concurrent.futures.as_completed(plays):
            report = done.result()
            if report.broken and given.shorten:
                report = shorten(report, given.seconds, folder)
            print(describe(report), flush=True)
            failed += bool(report.broken)
    print(json.dumps({"seeds": len(given.seeds), "failed": failed}))
    return FAILED if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
