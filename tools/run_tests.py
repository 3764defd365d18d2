"""Run the workspace's unittest suites and print one closing line.

Finds ``packages/*/tests/test_*.py`` and ``tests/test_*.py``, runs them in name order
and ends with ``N passed, N failed``. Arguments narrow the run to the test files whose
path contains one of them, for instance ``python tools/run_tests.py policy storage``.

A test named in KNOWN-RED.txt (one line each: ``test, cause, issue``) may fail: it is
run and printed, and does not count. One that passes again fails the run, so that the
list never outlives its faults.
"""

import os
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


def find_modules(wanted: list[str]) -> list[str]:
    """Return the dotted names of the test modules whose path holds a wanted text."""
    files = sorted(ROOT.glob("packages/*/tests/test_*.py"))
    files += sorted(ROOT.glob("tests/test_*.py"))
    paths = [file.relative_to(ROOT).with_suffix("") for file in files]
    if wanted:
        paths = [path for path in paths if any(text in str(path) for text in wanted)]
    return [".".join(path.parts) for path in paths]


def read_known_red() -> dict[str, str]:
    """Return the cause of each test that is known to fail, by test name."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_LIMIT:
        raise SystemExit(f"KNOWN-RED.txt holds more than {KNOWN_RED_LIMIT} lines")
    pairs = (line.split(",", 1) for line in lines)
    return {name.strip(): cause.strip() for name, cause in pairs}


def set_import_paths() -> None:
    """Put this tree's packages before any installed ones, here and in children."""
    sources = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    sys.path[:0] = [str(ROOT), *sources]
    inherited = os.environ.get("PYTHONPATH")
    parts = sources + ([inherited] if inherited else [])
    os.environ["PYTHONPATH"] = os.pathsep.join(parts)


def list_broken(result: unittest.TestResult) -> set[str]:
    """Return the names of the tests that failed, one for all subtests of a test."""
    cases = [case for case, _ in result.failures + result.errors]
    cases += result.unexpectedSuccesses
    return {getattr(case, "test_case", case).id() for case in cases}


def find_unexpected(broken: set[str], known: dict[str, str]) -> set[str]:
    """Return the tests that count as failed, and print those known to fail."""
    for name in sorted(broken & set(known)):
        print(f"known red: {name}: {known[name]}")
    healed = set() if sys.argv[1:] else set(known) - broken
    for name in sorted(healed):
        print(f"known red passes again, take it off KNOWN-RED.txt: {name}")
    return (broken - set(known)) | healed


def main() -> int:
    """Run the suites and return the process's exit status."""
    set_import_paths()
    known = read_known_red()
    suite = unittest.TestSuite()
    loader = unittest.TestLoader()
    for name in find_modules(sys.argv[1:]):
        suite.addTests(loader.loadTestsFromName(name))
    for error in loader.errors:
        print(error)
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    broken = list_broken(result)
    failed = len(find_unexpected(broken, known))
    passed = result.testsRun - len(broken) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or loader.errors or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
