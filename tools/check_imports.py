"""Check the rule that modules are imported, not names.

Reports each ``from package import name`` whose name is not a module. ``__future__`` is
exempt. Prints one line per finding and exits 1 when there is any.
"""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def is_module(package: str, name: str) -> bool:
    """Return whether the name is a module of the package."""
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Return a finding for each imported name of the file that is not a module."""
    findings = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module == "__future__":
            continue
        for alias in node.names:
            if node.level or not is_module(node.module, alias.name):
                place = f"{path.relative_to(ROOT)}:{node.lineno}"
                findings.append(f"{place}: import the module, not {alias.name}")
    return findings


def main() -> int:
    """Check every Python file of the workspace; return the exit status."""
    sources = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    sys.path[:0] = [str(ROOT), str(ROOT / "platform"), *sources]
    findings = []
    for folder in ("packages", "platform", "tests", "tools"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            findings += find_name_imports(path)
    print("\n".join(findings) or "imports: modules only")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
