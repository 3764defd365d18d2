"""Times an action and prints the result, for benchmarks of pure packages."""

import statistics
import time
from collections import abc

ROUNDS = 5
MICROSECONDS = 1e6


def measure(label: str, action: abc.Callable[[], object], parts: int = 1) -> None:
    """Print the microseconds per part of the action.

    Prints the median of ROUNDS rounds, with the minimum and the maximum.
    """
    taken = []
    for _ in range(ROUNDS):
        start = time.perf_counter()
        action()
        taken.append((time.perf_counter() - start) / parts * MICROSECONDS)
    middle = statistics.median(taken)
    print(f"{label}: {middle:,.1f} us ({min(taken):,.1f} to {max(taken):,.1f})")
