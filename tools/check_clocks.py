"""Check that the product reads only the clock that counts suspensions of the host.

Reports each use of another clock of ``time`` outside ``ALLOWED``. Prints one line per
finding and exits 1 when there is any. Stand-ins only measure, and may use any clock.
"""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("packages/*/src", "platform/adapter")
#: Files that may read other clocks: the module of the permitted clock, and the time of
#: day for timestamps that people or other hosts read.
ALLOWED = {
    "packages/wire/src/trestlestall/wire/clocks.py": {"monotonic", "clock_gettime"},
    "packages/daemon/src/trestlestall/daemon/environment.py": {"time"},
}
CLOCKS = {
    "clock_gettime",
    "clock_gettime_ns",
    "monotonic",
    "monotonic_ns",
    "perf_counter",
    "perf_counter_ns",
    "time",
    "time_ns",
}


def find_clocks(path: pathlib.Path) -> list[str]:
    """Return a finding for each clock that the file may not read."""
    place = str(path.relative_to(ROOT))
    return [
        f"{place}:{node.lineno}: read trestlestall.wire.clocks, not time.{node.attr}"
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "time"
        and node.attr in CLOCKS - ALLOWED.get(place, set())
    ]


def main() -> int:
    """Check every file of the product; return the exit status."""
    files = [
        path
        for folder in FOLDERS
        for path in sorted(ROOT.glob(f"{folder}/**/*.py"))
        if "standins" not in path.parts
    ]
    findings = [finding for path in files for finding in find_clocks(path)]
    for finding in findings:
        print(finding)
    if not findings:
        print("clocks: only the permitted one")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
