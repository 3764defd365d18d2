"""Check the modules of the packages for new import cycles.

Imports under ``TYPE_CHECKING`` count as well, since a reader has to follow them too.
``KNOWN`` lists the cycles that are still to be broken. A new cycle, a module that joins
a known one, and a known cycle that no longer exists are findings. Prints one line per
finding and exits 1 when there is any.
"""

import ast
import pathlib
import sys
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parent.parent
Graph = dict[str, set[str]]


def name_cycle(package: str, modules: str) -> frozenset[str]:
    """Return the modules of a package whose names the text lists."""
    return frozenset(f"{package}.{module}" for module in modules.split())


KNOWN = (
    name_cycle("trestlestall.daemon.control", "arrivals placing reports server"),
    name_cycle("trestlestall.daemon.directory", "arrivals server"),
    name_cycle(
        "trestlestall.daemon.router",
        "callers gatekeeping listeners operators overview peers platform process"
        " responses ticker upstream_endpoints",
    ),
    name_cycle("trestlestall.placement", "controller inputs rolling"),
)


def name_module(path: pathlib.Path, source: pathlib.Path) -> str:
    """Return the dotted name of a file below a folder of sources."""
    parts = path.relative_to(source).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def list_imports(tree: ast.AST) -> abc.Iterator[str]:
    """Yield the names that a module imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
        elif isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name


def read_graph(sources: abc.Iterable[pathlib.Path]) -> Graph:
    """Return which modules below the folders import which others of them."""
    trees = {
        name_module(path, source): ast.parse(path.read_text())
        for source in sources
        for path in source.rglob("*.py")
    }
    return {
        name: {one for one in list_imports(tree) if one in trees and one != name}
        for name, tree in trees.items()
    }


def find_reachable(graph: Graph, start: str) -> set[str]:
    """Return all modules that the module imports, directly or through others."""
    reached: set[str] = set()
    waiting = [start]
    while waiting:
        for name in graph[waiting.pop()] - reached:
            reached.add(name)
            waiting.append(name)
    return reached


def find_cycles(graph: Graph) -> set[frozenset[str]]:
    """Return the strongly connected components with a cycle."""
    reached = {name: find_reachable(graph, name) for name in graph}
    return {
        frozenset(other for other in reached[name] if name in reached[other])
        for name in graph
        if name in reached[name]
    }


def compare(
    found: abc.Set[frozenset[str]], known: abc.Iterable[frozenset[str]]
) -> list[str]:
    """Return a finding for each cycle that is new, larger than known, or broken up."""
    findings = [
        f"import cycle: {', '.join(sorted(cycle))}"
        for cycle in found
        if not any(cycle <= one for one in known)
    ]
    findings += [
        f"no longer a cycle, remove it from KNOWN: {', '.join(sorted(one))}"
        for one in known
        if not any(cycle <= one for cycle in found)
    ]
    return sorted(findings)


def main() -> int:
    """Check the sources of all packages; return the exit status."""
    graph = read_graph(sorted(ROOT.glob("packages/*/src")))
    findings = compare(find_cycles(graph), KNOWN)
    print("\n".join(findings) or f"imports: no cycles except {len(KNOWN)} known ones")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
