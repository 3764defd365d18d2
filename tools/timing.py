"""How the measuring programs of pure packages time an action and print the figure."""

import statistics
import time
from collections import abc

ROUNDS = 5
MICROSECONDS = 1e6


def measure(label: str, action: abc.Callable[[], object], parts: int = 1) -> None:
    """Print the microseconds that one part of the action takes.

    The figure is the median of ROUNDS rounds, with the least and the greatest.
    """
    taken = []
    for _ in range(ROUNDS):
        start = time.perf_counter()
        action()
        taken.append((time.perf_counter() - start) / parts * MICROSECONDS)
    middle = statistics.median(taken)
    print(f"{label}: {middle:,.1f} us ({min(taken):,.1f} to {max(taken):,.1f})")
