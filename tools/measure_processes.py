"""Measure the processor time of gateways and directories at start and when idle.

Processor time is read from the kernel, by role: from the start until the process has
the configuration and all upstreams, then per second while upstreams announce themselves
once a second and there are no callers. ``--profile`` samples the idle processes, each
by its own timer, and prints the functions that take most of the time.

Example: ``python tools/measure_processes.py --directories 4 --gateways 20``
"""

import argparse
import collections
import json
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
sys.path[:0] = [str(ROOT), *SOURCES]

from tests import gateways  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
ROLES = ("gateway", "directory")
#: Seconds after the first announcements until all processes have received them.
SETTLING_SECONDS = 3.0
#: Written as ``sitecustomize.py``, which each process imports at its start.
SAMPLER = """
import collections, json, os, signal, sys

counts = collections.Counter()

def name(code):
    return code.co_filename.rsplit("/src/")[-1].rsplit("site-packages/")[-1]

def take(number, frame):
    counts[f"{name(frame.f_code)}:{frame.f_code.co_name}"] += 1

def write(number, frame):
    with open(f"{os.environ['SAMPLES']}/{os.getpid()}", "w") as file:
        json.dump(counts.most_common(), file)
    counts.clear()

signal.signal(signal.SIGPROF, take)
signal.signal(signal.SIGUSR2, write)
signal.setitimer(signal.ITIMER_PROF, 0.002, 0.002)
"""


def read_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def announce(deployed: gateways.Deployment, upstreams: int, sequence: int) -> None:
    """Announce each upstream to one of the directories."""
    for number in range(upstreams):
        name = deployed.names[number % len(deployed.names)]
        row = gateways.make_row(f"127.0.0.1:{20_000 + number}", sequence)
        gateways.announce(deployed.ports[name], f"up-{number}", row)


def list_pids(deployed: gateways.Deployment, role: str) -> list[int]:
    """Return the process ids of a role."""
    running = deployed.running.items()
    return [process.pid for name, process in running if name.startswith(role)]


def idle(deployed: gateways.Deployment, upstreams: int, seconds: float) -> float:
    """Announce all upstreams every second; return the elapsed time in seconds."""
    started = time.monotonic()
    sequence = 2
    while time.monotonic() - started < seconds:
        due = time.monotonic() + 1.0
        announce(deployed, upstreams, sequence)
        sequence += 1
        time.sleep(max(0.0, due - time.monotonic()))
    return time.monotonic() - started


def write_samples(deployed: gateways.Deployment, folder: pathlib.Path) -> None:
    """Make each process write its samples since the last time to a file."""
    for role in ROLES:
        for pid in list_pids(deployed, role):
            os.kill(pid, signal.SIGUSR2)
    time.sleep(1.0)


def print_samples(pids: list[int], folder: pathlib.Path) -> None:
    """Print the functions that took most of the time."""
    counts = collections.Counter()
    for pid in pids:
        counts.update(dict(json.loads((folder / str(pid)).read_text())))
    for function, count in counts.most_common(12):
        print(f"    {100 * count / counts.total():5.1f}%  {function}")


def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Run one deployment and print its figures."""
    deployed = gateways.Deployment(folder, options.directories, options.gateways)
    try:
        deployed.start_all()
        deployed.declare(gateways.make_document(1))
        announce(deployed, options.upstreams, 1)
        time.sleep(SETTLING_SECONDS)
        if options.profile:
            write_samples(deployed, folder)
        before = {
            pid: read_seconds(pid)
            for role in ROLES
            for pid in list_pids(deployed, role)
        }
        passed = idle(deployed, options.upstreams, options.seconds)
        after = {pid: read_seconds(pid) for pid in before}
        if options.profile:
            write_samples(deployed, folder)
        for role in ROLES:
            pids = list_pids(deployed, role)
            start = statistics.fmean(before[pid] for pid in pids)
            rest = [(after[pid] - before[pid]) / passed for pid in pids]
            print(
                f"{role:9}  start {start:.2f} s, idle {statistics.fmean(rest):.4f} of a"
                f" core, {max(rest):.4f} at most"
            )
            if options.profile:
                print_samples(pids, folder)
    finally:
        deployed.stop_all()


def main() -> None:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--directories", type=int, default=4)
    parser.add_argument("--gateways", type=int, default=20)
    parser.add_argument("--upstreams", type=int, default=56)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        paths = list(SOURCES)
        if options.profile:
            (folder / "sitecustomize.py").write_text(SAMPLER)
            os.environ["SAMPLES"] = name
            sys.path.insert(0, name)
            paths.insert(0, name)
        os.environ["PYTHONPATH"] = os.pathsep.join(paths)
        measure(options, folder)


if __name__ == "__main__":
    main()
