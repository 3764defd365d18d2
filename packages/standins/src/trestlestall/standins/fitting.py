"""Linear regression of measured points, and its spread over repeats. Pure."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True)
class Line:
    """``y = base + slope * x``."""

    base: float
    slope: float


@dataclasses.dataclass(frozen=True)
class Spread:
    """The median, minimum and maximum of repeated measurements."""

    middle: float
    least: float
    greatest: float


def fit(points: abc.Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points with at least two different x.

    >>> fit([(0, 1.0), (10, 3.0)])
    Line(base=1.0, slope=0.2)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def find_spread(values: abc.Iterable[float]) -> Spread:
    """Return the median, minimum and maximum of the values."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    median = (ordered[middle] + ordered[-middle - 1]) / 2
    return Spread(median, ordered[0], ordered[-1])
