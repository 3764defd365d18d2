"""Queries, and the filtering of rows by a query's conditions."""

import dataclasses
import operator
import typing
from collections import abc

DEFAULT_HISTORY = 20

Value: typing.TypeAlias = str | float | bool
Row: typing.TypeAlias = abc.Mapping[str, object]

OPERATORS: dict[str, abc.Callable[[typing.Any, typing.Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


@dataclasses.dataclass(frozen=True)
class Condition:
    """A comparison that a shown row must satisfy."""

    field: str
    operator: str
    value: Value


@dataclasses.dataclass(frozen=True)
class Show:
    """List the rows of a subject that satisfy all conditions."""

    subject: str
    conditions: tuple[Condition, ...] = ()


@dataclasses.dataclass(frozen=True)
class Explain:
    """Tell how a request was routed."""

    request: str


@dataclasses.dataclass(frozen=True)
class History:
    """List the newest accepted commands."""

    limit: int = DEFAULT_HISTORY


Query: typing.TypeAlias = Show | Explain | History


def select_rows(rows: abc.Iterable[Row], show: Show) -> list[Row]:
    """Return the rows that satisfy all conditions, in their order.

    A row that lacks a condition's field, or holds a value of another type there, is
    left out.
    """
    return [row for row in rows if all(_holds(row, part) for part in show.conditions)]


def find_unknown_field(rows: abc.Sequence[Row], show: Show) -> str | None:
    """Return the first field of the conditions that no row has, or ``None``.

    Without rows nothing is unknown. A misspelt field would otherwise look like an
    answer without rows.
    """
    known = {field for row in rows for field in row}
    fields = [condition.field for condition in show.conditions]
    unknown = [field for field in fields if rows and field not in known]
    return unknown[0] if unknown else None


def _holds(row: Row, condition: Condition) -> bool:
    value = row.get(condition.field)
    if not _is_comparable(value, condition.value):
        return False
    return OPERATORS[condition.operator](value, condition.value)


def _is_comparable(value: object, wanted: Value) -> bool:
    return _name_kind(value) == _name_kind(wanted) != ""


def _name_kind(value: object) -> str:
    # A truth value is an int to isinstance, but is never compared with a number here.
    if isinstance(value, bool):
        return "truth"
    if isinstance(value, int | float):
        return "number"
    return "text" if isinstance(value, str) else ""
