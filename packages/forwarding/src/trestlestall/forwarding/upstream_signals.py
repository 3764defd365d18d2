"""Signals of an upstream in the headers of its answers; pure.

Beside announcements, headers are the other way in which an upstream signals its state.
A signal concerns all further requests, not only the answered one. So it is parsed into
a type of its own, and cached with a source, an age and an expiry.

Values come from outside: an invalid one is reported by its name and otherwise ignored.
"""

import dataclasses
import re
from collections import abc

#: Statuses with which an upstream rejects a request without running it.
REJECTION_STATUSES = (429, 503)
#: Backoffs beyond this are invalid: an upstream seldom takes longer to start.
MAX_BACKOFF_SECONDS = 3600.0
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
FLAGS = {"0": False, "1": True}


@dataclasses.dataclass(frozen=True)
class Signal:
    """The signals of one answer.

    ``limit`` is the rate limit in requests a second over all gateways, None if none is
    advertised. ``leaves`` says that the upstream drains and accepts no new requests.
    ``rest_seconds`` is the backoff for the gateway that got the answer, 0 for none.
    ``brittle`` is how many rejections a second it survives, None if it states none.
    ``unreadable`` are the names of headers with invalid values.
    """

    limit: float | None = None
    leaves: bool = False
    rest_seconds: float = 0.0
    unreadable: tuple[str, ...] = ()
    brittle: float | None = None


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """The names of the headers in lower case."""

    limit: str
    leaves: str
    rest: str = "retry-after"
    brittle: str = "brittle"


def read(
    values: abc.Mapping[str, abc.Sequence[str]], status: int, names: HeaderNames
) -> Signal:
    """Return the signals of an answer; ``values`` are by lower-case header name.

    >>> names = HeaderNames("limit", "leaving")
    >>> read({"limit": ["1.5"], "retry-after": ["2"]}, 503, names)
    Signal(limit=1.5, leaves=False, rest_seconds=2.0, unreadable=(), brittle=None)
    >>> found = read({"limit": ["-1"], "brittle": ["4"]}, 200, names)
    >>> found.limit, found.unreadable, found.brittle
    (None, ('limit',), 4.0)
    """
    limit = read_decimal(values.get(names.limit))
    leaves = read_flag(values.get(names.leaves))
    backoff: float | None = None
    if status in REJECTION_STATUSES:
        backoff = read_decimal(values.get(names.rest))
    if backoff is not None and backoff > MAX_BACKOFF_SECONDS:
        backoff = None
    brittle = read_decimal(values.get(names.brittle))
    parsed = {names.limit: limit, names.leaves: leaves, names.brittle: brittle}
    if status in REJECTION_STATUSES:
        parsed[names.rest] = backoff
    unreadable = tuple(
        name for name, value in parsed.items() if name in values and value is None
    )
    return Signal(limit, bool(leaves), backoff or 0.0, unreadable, brittle)


def read_decimal(values: abc.Sequence[str] | None) -> float | None:
    """Return a decimal number from 0 up; None unless there is one unique value."""
    text = get_single_value(values)
    return float(text) if text is not None and DECIMAL.fullmatch(text) else None


def read_flag(values: abc.Sequence[str] | None) -> bool | None:
    """Return whether a flag is set; None unless there is one unique value."""
    text = get_single_value(values)
    return None if text is None else FLAGS.get(text)


def get_single_value(values: abc.Sequence[str] | None) -> str | None:
    """Return the value of a header; None if there is none, or several that differ."""
    found = {value.strip() for value in values or ()}
    return found.pop() if len(found) == 1 else None
