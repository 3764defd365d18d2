"""Measure the replicated state: disk, recovery, and changes on real processes.

Three parts, each with its own table:

``disk``: time of one synced append, compared with alternatives.
``recovery``: time from opening the folder until N changes are applied, with and without
a snapshot, on one voter.
``changes``: three control processes and six routers on loopback; time from the accepted
answer until every router reports the version as in force (an upper bound, by polling),
bytes that the control processes send per change and when idle, and processor time.

Example: ``python tools/measure_agreed_state.py recovery --changes 1000 10000``
"""

import argparse
import contextlib
import functools
import os
import pathlib
import sys
import tempfile
import time
from collections import abc
from concurrent import futures

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
sys.path[:0] = [str(ROOT), *SOURCES]
os.environ["PYTHONPATH"] = os.pathsep.join(SOURCES)

from trestlestall.agreement import events  # noqa: E402
from trestlestall.configuration import commands, documents  # noqa: E402
from trestlestall.daemon.control import journal, machine, voter  # noqa: E402
from trestlestall.standins import calls, deployment  # noqa: E402
from trestlestall.storage import files, folder  # noqa: E402

RECORD = os.urandom(300)
APPENDS = 500
BATCH = 64
REST_SECONDS = 10.0
POLL_SECONDS = 0.001
TICKS = os.sysconf("SC_CLK_TCK")
Row = dict[str, object]
PARTS: dict[str, abc.Callable] = {}


def register(function: abc.Callable) -> abc.Callable:
    """Register a part under its function's name without ``measure_``."""
    PARTS[function.__name__.removeprefix("measure_")] = function
    return function


def find_percentile(values: list[float], share: float) -> float:
    """Return the percentile of the values; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def time_calls(call: abc.Callable[[], object], count: int) -> list[float]:
    """Return the duration of each of ``count`` calls, in milliseconds."""
    times = []
    for _ in range(count):
        started = time.perf_counter()
        call()
        times.append((time.perf_counter() - started) * 1000)
    return times


def make_time_row(way: str, times: list[float]) -> Row:
    """Return a table row with percentiles of times in milliseconds."""
    shown = {"p50 ms": 0.5, "p99 ms": 0.99}
    found = {name: find_percentile(times, share) for name, share in shown.items()}
    return {"way": way, **{name: round(value, 3) for name, value in found.items()}}


class WholeSyncFiles(files.SystemFiles):
    """Syncs data and all metadata, as ``fsync`` does."""

    def sync(self, name: str) -> None:
        os.fsync(self._open_file(name))


class SyncedMarkFiles(files.SystemFiles):
    """Syncs the mark file as well on each write to it."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        super().write(name, offset, data)
        if name == folder.MARK:
            self.sync(name)


@register
def measure_disk(options: argparse.Namespace) -> list[Row]:
    """Time appends of one record and of a batch, and of the alternatives."""
    ways = (
        ("one record", files.SystemFiles, 1),
        (f"{BATCH} records in one sync", files.SystemFiles, BATCH),
        ("one record, fsync", WholeSyncFiles, 1),
        ("one record, mark synced as well", SyncedMarkFiles, 1),
    )
    rows = []
    for way, kind, count in ways:
        with tempfile.TemporaryDirectory(dir=options.folder) as path:
            with folder.open_folder(path, kind(path)) as data:
                append = functools.partial(data.append, [RECORD] * count)
                times = time_calls(append, APPENDS)
        rows.append(make_time_row(way, times))
    return rows


class Single:
    """The only voter of its group, which elects itself and commits immediately."""

    def __init__(self, data: folder.Folder):
        self.results: list[object] = []
        kept = journal.Journal(data)
        name = f"control-1#{data.identity}"
        if kept.group is None:
            kept.save_group((name,))
        effects = voter.Effects(
            lambda to, message: None,
            lambda token, result: self.results.append(result),
            lambda action: None,
        )
        self.voter = voter.Voter(name, (name,), kept, 1, effects)
        self.now = 0.0
        while not self.voter.leads:
            self.now += 1.0
            self.voter.turn([], self.now)

    def submit(self, first: int, count: int) -> None:
        """Commit ``count`` changes as one batch."""
        batch = []
        for number in range(first, first + count):
            command = commands.Drain(f"u{number % 600}")
            submission = commands.Submission(f"request-{number}", "a", None, command)
            document = documents.encode_submission(submission)
            payload = machine.encode_entry(machine.SUBMISSION, 1.0, document)
            batch.append(events.Propose(number, payload))
        self.voter.turn(batch, self.now)


@register
def measure_recovery(options: argparse.Namespace) -> list[Row]:
    """Time the start of a voter after N changes."""
    rows = []
    for count in options.changes:
        for every in (None, voter.SNAPSHOT_ENTRIES):
            with tempfile.TemporaryDirectory(dir=options.folder) as path:
                rows.append(measure_start(path, count, every))
    return rows


def measure_start(path: str, count: int, every: int | None) -> Row:
    """Return the row of one start; without snapshots if ``every`` is None."""
    kept, voter.SNAPSHOT_ENTRIES = voter.SNAPSHOT_ENTRIES, every or count * 2
    try:
        with folder.open_folder(path) as data:
            single = Single(data)
            for first in range(0, count, BATCH):
                single.submit(first, min(BATCH, count - first))
        started = time.perf_counter()
        with folder.open_folder(path) as data:
            opened = time.perf_counter()
            single = Single(data)
            ended = time.perf_counter()
            version = single.voter.machine.version
            records = len(data.load().records)
    finally:
        voter.SNAPSHOT_ENTRIES = kept
    assert version == count, (version, count)
    return {
        "changes": count,
        "snapshot every": every or "never",
        "records replayed": records,
        "file KiB": os.path.getsize(os.path.join(path, folder.LOG)) // 1024,
        "read ms": round((opened - started) * 1000, 1),
        "applied ms": round((ended - started) * 1000, 1),
    }


@register
def measure_changes(options: argparse.Namespace) -> list[Row]:
    """Measure the latency and the cost of changes on real processes."""
    plan = deployment.Plan(("a", "b", "c"), controls=3, routers_per_data_centre=2)
    with contextlib.ExitStack() as stack:
        path = stack.enter_context(tempfile.TemporaryDirectory(dir=options.folder))
        started = stack.enter_context(deployment.start_deployment(path, plan))
        started.operate("drain upstream first")
        pool = stack.enter_context(futures.ThreadPoolExecutor(len(started.routers)))
        rest = measure_cost(started, lambda: time.sleep(REST_SECONDS))
        times: list[list[float]] = []

        def change() -> None:
            for number in range(options.count):
                times.append(make_change(started, pool, number))

        busy = measure_cost(started, change)
    answered = [pair[0] for pair in times]
    in_force = [pair[1] for pair in times]
    return [
        make_time_row("operator's call to accepted", answered),
        make_time_row("accepted to in force on all 6 routers", in_force),
        *make_cost_rows(rest, busy, options.count),
    ]


def make_change(started: deployment.Deployment, pool, number: int) -> list[float]:
    """Return milliseconds until accepted, and from then until in force everywhere."""
    begun = time.perf_counter()
    answer = started.query(f"drain upstream u{number}", started.controls[number % 3])
    accepted = time.perf_counter()
    version = answer.document["outcome"]["version"]

    def wait(router: deployment.Daemon) -> float:
        while read_version(started, router) < version:
            time.sleep(POLL_SECONDS)
        return time.perf_counter()

    last = max(pool.map(wait, started.routers))
    return [(accepted - begun) * 1000, (last - accepted) * 1000]


def read_version(started: deployment.Deployment, router: deployment.Daemon) -> int:
    """Return the version that is in force on a router."""
    key = started.secrets.operator
    answer = calls.call("GET", router.operators, "/v1/status", key=key)
    return answer.document["version"]


def measure_cost(started: deployment.Deployment, run: abc.Callable) -> Row:
    """Run ``run``; return its seconds, and the controls' bytes and CPU seconds."""
    before = read_cost(started)
    begun = time.perf_counter()
    run()
    seconds = time.perf_counter() - begun
    after = read_cost(started)
    spent = {name: after[name] - before[name] for name in before}
    return {"seconds": seconds, **spent}


def read_cost(started: deployment.Deployment) -> dict[str, float]:
    """Return total bytes sent and CPU seconds of the control processes."""
    cost = {"bytes": 0.0, "processor": 0.0}
    for control in started.controls:
        text = calls.call("GET", control.platform, "/metrics").data.decode()
        cost["bytes"] += read_metric(text, "trestlestall_control_sent_bytes_total")
        fields = pathlib.Path(f"/proc/{control.process.pid}/stat").read_text()
        cost["processor"] += sum(map(int, fields.split()[13:15])) / TICKS
    return cost


def read_metric(text: str, name: str) -> float:
    """Return a metric's value from the exposition text."""
    lines = [line for line in text.splitlines() if line.startswith(f"{name} ")]
    return float(lines[0].split()[1])


def make_cost_rows(rest: Row, busy: Row, count: int) -> list[Row]:
    """Return rows with the idle cost, and the added cost of a change."""
    at_rest = rest["bytes"] / rest["seconds"]
    added = busy["bytes"] - at_rest * busy["seconds"]
    idle = rest["processor"] / rest["seconds"]
    worked = busy["processor"] - idle * busy["seconds"]
    return [
        {"way": "bytes/s sent by 3 controls at rest", "value": round(at_rest)},
        {"way": "bytes sent by 3 controls per change", "value": round(added / count)},
        {"way": "% of a core per control at rest", "value": round(idle / 3 * 100, 2)},
        {
            "way": "processor ms per change, 3 controls",
            "value": round(worked / count * 1000, 2),
        },
    ]


def print_rows(rows: list[Row]) -> None:
    """Print the rows as one table, with all but the first column right-aligned."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names] + [[str(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(line[place]) for line in cells) for place in range(len(names))]
    for line in cells:
        first, *others = zip(line, widths, strict=True)
        rest = [cell.rjust(width) for cell, width in others]
        print("  ".join([first[0].ljust(first[1]), *rest]))


def main() -> int:
    """Measure the given parts, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS)}")
    parser.add_argument("--changes", nargs="*", type=int, default=[500, 1000, 10_000])
    parser.add_argument("--count", type=int, default=200, help="changes to time")
    parser.add_argument("--folder", help="where the temporary folders are made")
    options = parser.parse_args()
    for part in options.parts or PARTS:
        print(f"\n{part}")
        print_rows(PARTS[part](options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
