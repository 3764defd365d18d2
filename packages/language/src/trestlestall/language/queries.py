"""Queries, and the selection of rows by their conditions."""

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
    """Show how a request was routed."""

    request: str


@dataclasses.dataclass(frozen=True)
class History:
    """List the newest accepted commands."""

    limit: int = DEFAULT_HISTORY


Query: typing.TypeAlias = Show | Explain | History


def select_rows(rows: abc.Iterable[Row], show: Show) -> list[Row]:
    """Return the rows that satisfy all conditions, in their original order.

    A row that lacks a condition's field, or has a value of another type there, is
    excluded.
    """
    return [
        row
        for row in rows
        if all(_matches(row, condition) for condition in show.conditions)
    ]


def find_unknown_field(rows: abc.Sequence[Row], show: Show) -> str | None:
    """Return the first field of the conditions that no row has, or ``None``.

    Without rows no field is unknown. Without this check a misspelt field would look
    like a query without results.
    """
    known = {field for row in rows for field in row}
    fields = [condition.field for condition in show.conditions]
    unknown = [field for field in fields if rows and field not in known]
    return unknown[0] if unknown else None


def _matches(row: Row, condition: Condition) -> bool:
    value = row.get(condition.field)
    if not _is_comparable(value, condition.value):
        return False
    return OPERATORS[condition.operator](value, condition.value)


def _is_comparable(value: object, wanted: Value) -> bool:
    return _get_kind(value) == _get_kind(wanted) != ""


def _get_kind(value: object) -> str:
    # bool is a subclass of int, but a boolean is never compared with a number here.
    if isinstance(value, bool):
        return "truth"
    if isinstance(value, int | float):
        return "number"
    return "text" if isinstance(value, str) else ""
