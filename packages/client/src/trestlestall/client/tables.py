"""Formatting of documents as tables for people."""

import datetime
import json
import typing
from collections import abc

from trestlestall.daemon import printing

GAP = "  "
TIME_FIELDS = frozenset({"at", "sent_at"})
NO_ROWS = "no rows\n"


def format_rows(rows: abc.Sequence[abc.Mapping[str, object]]) -> str:
    """Return a table with a column for each key, in the order of first appearance."""
    if not rows:
        return NO_ROWS
    keys = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[format_cell(key, row.get(key, "")) for key in keys] for row in rows]
    lines = [[key.upper() for key in keys], *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "".join(_join_cells(line, widths) for line in lines)


def format_document(document: abc.Mapping[str, object]) -> str:
    """Return scalar values as lines, and each list of objects as a titled table."""
    lines = [
        f"{key}: {format_cell(key, value) or '-'}\n"
        for key, value in document.items()
        if not _is_table(value)
    ]
    titled = [
        f"{key}:\n{format_rows(typing.cast(list, value))}"
        for key, value in document.items()
        if _is_table(value)
    ]
    return "".join(lines + titled)


def format_cell(key: str, value: object) -> str:
    """Return one value as short text, with control characters escaped."""
    if key in TIME_FIELDS and isinstance(value, int | float):
        return format_time(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list) and not any(isinstance(v, list | dict) for v in value):
        return ", ".join(format_cell("", item) for item in value)
    if isinstance(value, list | dict):
        return json.dumps(value)
    return printing.escape_controls(str(value))


def format_time(seconds: float) -> str:
    """Return Unix time as UTC to the second."""
    try:
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return str(seconds)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def format_command(command: abc.Mapping[str, object]) -> str:
    """Return a command's document as one line: its kind and its fields."""
    fields = dict(command)
    kind = str(fields.pop("kind", "command")).replace("_", " ")
    return GAP.join(
        [printing.escape_controls(kind), *(_format_field(f) for f in fields.items())]
    )


def _format_field(pair: tuple[str, object]) -> str:
    """Return ``key=value``, or the fields of an object without its key."""
    key, value = pair
    if isinstance(value, dict):
        return " ".join(_format_field(inner) for inner in value.items())
    return f"{key}={format_cell(key, value)}"


def _is_table(value: object) -> bool:
    """Return whether the value is a list of objects."""
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(item, dict) for item in value)


def _join_cells(cells: abc.Sequence[str], widths: abc.Sequence[int]) -> str:
    """Return one line of a table without trailing blanks."""
    pairs = zip(cells, widths, strict=True)
    return GAP.join(cell.ljust(width) for cell, width in pairs).rstrip() + "\n"
