"""The slope tool: ``python -m trestlestall.standins.slopes`` or ``make slopes``.

It measures the resources of a router and a control voter as functions of the number of
routers, voters, upstreams, workspaces, classes, open streams and configuration changes,
and prints one Markdown table: for each measure the cost of one more, as the slope of a
linear regression, and the cost at none. Every sweep is repeated in fresh processes;
each cell is the median, with the minimum and maximum of the repeats in brackets.

Memory and disk are current sizes. Processor time and the bytes on links between the
daemons are per second. For configuration changes, which cost once, they are per change,
and "at none" is the cost of the process's start.
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
    processes,
    programs,
    readings,
    sweeps,
    tables,
)

SETTLE_SECONDS = 2.0
WINDOW_SECONDS = 4.0
ROLES = ("router", "control")


@dataclasses.dataclass(frozen=True)
class Unit:
    """A measure's unit in the table, and the conversion factor."""

    name: str
    factor: float


UNITS = {
    "memory": Unit("KiB", 1 / 1024),
    "disk": Unit("bytes", 1.0),
    "cpu": Unit("ms", 1000.0),
    "sent": Unit("bytes", 1.0),
    "received": Unit("bytes", 1.0),
}


@dataclasses.dataclass(frozen=True)
class Sample:
    """The average resource usage of a role's daemons at a count."""

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
    """Run one sweep ``repeats`` times, each time in fresh processes."""
    found = []
    for number in range(repeats):
        print(f"{sweep.name}: {number + 1} of {repeats}", file=sys.stderr, flush=True)
        found.append(run_sweep(sweep))
    return found


def fit_sweep(sweep: sweeps.Sweep, repeats: list[list[Sample]]) -> list[Slope]:
    """Return a slope for each role and measure, over all repeats."""
    return [
        fit_measure(sweep, repeats, role, measure)
        for role in ROLES
        for measure in readings.MEASURES
        if not (role == "router" and measure == "disk")
    ]


def fit_measure(
    sweep: sweeps.Sweep, repeats: list[list[Sample]], role: str, measure: str
) -> Slope:
    """Return the slope of one measure, in the table's unit."""
    factor = UNITS[measure].factor
    lines = []
    for samples in repeats:
        points = [
            (sample.count, getattr(sample.reading, measure) * factor)
            for sample in samples
            if sample.role == role
        ]
        lines.append(fitting.fit(points))
    return Slope(
        sweep=sweep.name,
        counts=sweep.counts,
        role=role,
        measure=measure,
        base=fitting.find_spread(line.base for line in lines),
        slope=fitting.find_spread(line.slope for line in lines),
    )


def write_slopes(slopes: list[Slope]) -> str:
    """Return the Markdown table: two rows for each sweep and role."""
    groups: dict[tuple[str, str], dict[str, Slope]] = {}
    for slope in slopes:
        groups.setdefault((slope.sweep, slope.role), {})[slope.measure] = slope
    rows = []
    for (sweep, role), found in groups.items():
        first, *_, last = next(iter(found.values())).counts
        title = [sweep, f"{first} to {last}", role]
        rows.append([*title, "at none", *write_cells(found, "base")])
        rows.append(["", "", "", "for one more", *write_cells(found, "slope")])
    columns = [f"{name} ({UNITS[name].name})" for name in readings.MEASURES]
    headings = ["number of", "range", "process", "cost", *columns]
    return tables.write_table(headings, rows)


def write_cells(found: dict[str, Slope], part: str) -> list[str]:
    """Return the cells of one row, in the order of the measures."""
    return [
        write_spread(getattr(found[name], part)) if name in found else ""
        for name in readings.MEASURES
    ]


def write_spread(spread: fitting.Spread) -> str:
    """Return a median, with the minimum and maximum if they differ."""
    middle = write_number(spread.middle)
    if spread.least == spread.greatest:
        return middle
    least, greatest = write_number(spread.least), write_number(spread.greatest)
    return f"{middle} ({least} to {greatest})"


def write_number(value: float) -> str:
    """Return a number with about three digits, without an exponent."""
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.1f}" if abs(value) >= 10 else f"{value:.2f}"


@decorators.SetParseFn(str)
def measure(only: str = "", repeats: str = "2", json: str = "") -> None:
    """Measure all sweeps, or those whose names contain ``only``.

    ``repeats`` is how often each sweep runs; ``json`` is a file for the results.
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
    processes.exit_on_termination()
    try:
        fire.Fire(measure)
    except exceptions.StandinError as error:
        print(f"slopes: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run())
