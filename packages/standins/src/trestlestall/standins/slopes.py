"""The slope tool: ``python -m trestlestall.standins.slopes`` or ``make slopes``.

It measures what a router and a control voter use against the number of routers, voters,
upstreams, workspaces, classes, open streams and configuration changes, and prints one
Markdown table: for each measure the cost of one more, as the slope of a straight line
through the points, and the cost at none. Every sweep is repeated in fresh processes;
each cell is the median, with the least and greatest of the repeats in brackets.
"""

import dataclasses
import json as json_format
import pathlib
import sys

import eventlet
import fire
from fire import decorators

from trestlestall.standins import (
    exceptions,
    fitting,
    programs,
    readings,
    sweeps,
    tables,
)

SETTLE_SECONDS = 2.0
WINDOW_SECONDS = 4.0
ROLES = ("router", "control")
UNITS = {
    "memory": ("KiB", 1 / 1024),
    "disk": ("bytes", 1.0),
    "cpu": ("ms CPU", 1000.0),
    "sent": ("bytes sent", 1.0),
    "received": ("bytes received", 1.0),
}
RATE_MEASURES = ("cpu", "sent", "received")


@dataclasses.dataclass(frozen=True)
class Sample:
    """What one daemon of a role used on average at a count."""

    count: int
    role: str
    reading: readings.Reading


@dataclasses.dataclass(frozen=True)
class Slope:
    """A row of the table: one measure of one role in one sweep."""

    sweep: str
    counts: tuple[int, ...]
    role: str
    measure: str
    unit: str
    base: fitting.Spread
    slope: fitting.Spread


def measure_point(point: sweeps.Point, by_total: bool) -> list[Sample]:
    """Return a sample of each role at a point."""
    eventlet.sleep(SETTLE_SECONDS)
    groups = {"router": point.running.routers, "control": point.running.controls}
    early = {role: [readings.read(each) for each in groups[role]] for role in ROLES}
    if not by_total:
        eventlet.sleep(WINDOW_SECONDS)
    samples = []
    for role in ROLES:
        found = early[role]
        if not by_total:
            late = [readings.read(each) for each in groups[role]]
            found = [
                readings.compute_rate(*pair) for pair in zip(found, late, strict=True)
            ]
        samples.append(Sample(point.count, role, readings.average(found)))
    return samples


def run_sweep(sweep: sweeps.Sweep) -> list[Sample]:
    """Run one sweep once and return its samples."""
    samples = []
    for point in sweep.run(sweep.counts):
        samples += measure_point(point, sweep.by_total)
    return samples


def repeat_sweep(sweep: sweeps.Sweep, repeats: int) -> list[list[Sample]]:
    """Run one sweep again and again, each time in fresh processes."""
    found = []
    for number in range(repeats):
        print(f"{sweep.name}: {number + 1} of {repeats}", file=sys.stderr, flush=True)
        found.append(run_sweep(sweep))
    return found


def fit_sweep(sweep: sweeps.Sweep, repeats: list[list[Sample]]) -> list[Slope]:
    """Return a slope for each role and measure over the repeats."""
    return [
        fit_measure(sweep, repeats, role, measure)
        for role in ROLES
        for measure in readings.MEASURES
        if not (role == "router" and measure == "disk")
    ]


def fit_measure(
    sweep: sweeps.Sweep, repeats: list[list[Sample]], role: str, measure: str
) -> Slope:
    """Return the slope of one measure, in the unit of the table."""
    unit, factor = UNITS[measure]
    lines = []
    for samples in repeats:
        points = [
            (sample.count, getattr(sample.reading, measure) * factor)
            for sample in samples
            if sample.role == role
        ]
        lines.append(fitting.fit(points))
    is_rate = measure in RATE_MEASURES and not sweep.by_total
    return Slope(
        sweep=sweep.name,
        counts=sweep.counts,
        role=role,
        measure=measure,
        unit=f"{unit}/s" if is_rate else unit,
        base=fitting.find_spread(line.base for line in lines),
        slope=fitting.find_spread(line.slope for line in lines),
    )


def write_slopes(slopes: list[Slope]) -> str:
    """Return the Markdown table."""
    rows = [
        [
            slope.sweep,
            f"{slope.counts[0]} to {slope.counts[-1]}",
            slope.role,
            slope.unit,
            write_spread(slope.base),
            write_spread(slope.slope),
        ]
        for slope in slopes
    ]
    headings = ["number of", "range", "process", "unit", "at none", "for one more"]
    return tables.write_table(headings, rows)


def write_spread(spread: fitting.Spread) -> str:
    """Return a median with its least and greatest, to three digits."""
    return f"{spread.middle:.3g} ({spread.least:.3g} to {spread.greatest:.3g})"


@decorators.SetParseFn(str)
def measure(only: str = "", repeats: str = "3", json: str = "") -> None:
    """Measure all sweeps, or those whose names hold ``only``.

    ``repeats`` is how often each sweep runs; ``json`` names a file for the figures.
    """
    programs.patch()
    slopes: list[Slope] = []
    failures: list[str] = []
    for sweep in sweeps.SWEEPS.values():
        if only in sweep.name:
            try:
                slopes += fit_sweep(sweep, repeat_sweep(sweep, int(repeats)))
            except exceptions.StandinError as error:
                failures.append(f"{sweep.name}: {error}")
    print(write_slopes(slopes))
    if json:
        document = [dataclasses.asdict(slope) for slope in slopes]
        pathlib.Path(json).write_text(json_format.dumps(document, indent=2))
    if failures:
        raise exceptions.DeploymentError("; ".join(failures))


def run() -> int:
    """Run the tool and return its exit status."""
    try:
        fire.Fire(measure)
    except exceptions.StandinError as error:
        print(f"slopes: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run())
