"""Markdown tables that are also readable on a terminal."""

from collections import abc


def write_table(headings: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> str:
    """Return a table with aligned columns.

    >>> print(write_table(["a", "b"], [[1, "two"]]))
    | a | b   |
    |---|-----|
    | 1 | two |
    """
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[at]) for row in cells) for at in range(len(headings))]
    rule = "|" + "|".join("-" * (width + 2) for width in widths) + "|"
    lines = [write_row(row, widths) for row in cells]
    return "\n".join([lines[0], rule, *lines[1:]])


def write_row(cells: list[str], widths: list[int]) -> str:
    """Return one line of a table."""
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "| " + " | ".join(padded) + " |"


def write_share(share: float) -> str:
    """Return a share as a percentage with one decimal."""
    return f"{share * 100:.1f}%"


def write_milliseconds(seconds: float) -> str:
    """Return a number of seconds as milliseconds with two decimals."""
    return f"{seconds * 1000:.2f}"
