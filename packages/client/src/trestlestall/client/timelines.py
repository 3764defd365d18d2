"""The timeline of one request from the collected log files of any number of hosts.

It holds the lines with the request's id. It also holds lines in which the same process
changed its cached view of an upstream that the request was sent to, shortly before or
while it ran, and lines of any process about the request's digest, which all attempts
of one request share. Unreadable lines are counted and skipped: the log of a host that
crashed may end in the middle of a line.
"""

import dataclasses
import datetime
import json
import pathlib
import typing
from collections import abc

#: How long before the request's first line a change of the cached view is included.
LOOKBACK_SECONDS = 5.0
#: Upstream signals received with the answer to a request, mostly to another one.
ANSWER_SIGNALS = frozenset({"upstream_notice"})
#: Keys of a line that are shown by themselves, before the other fields.
HEAD_KEYS = frozenset({"event", "at", "level", "name", "process", "request"})


@dataclasses.dataclass(frozen=True)
class Line:
    """A log line; ``at`` is the Unix time in seconds."""

    at: float
    process: str
    name: str
    fields: abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Timeline:
    """The log lines about a request, ordered by time."""

    lines: tuple[Line, ...]
    unreadable: int


def read_files(paths: abc.Iterable[pathlib.Path]) -> tuple[list[Line], int]:
    """Return all log lines of the files, and how many could not be read."""
    lines, unreadable = [], 0
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as stream:
            for text in stream:
                found = read_line(text)
                if found is None:
                    unreadable += bool(text.strip())
                else:
                    lines.append(found)
    return lines, unreadable


def read_line(text: str) -> Line | None:
    """Return the log line in the text, which may follow a log collector's prefix."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        at = datetime.datetime.fromisoformat(fields["at"]).timestamp()
        return Line(at, fields["process"], fields["name"], fields)
    except (ValueError, TypeError, KeyError):
        return None


def build_timeline(request: str, paths: abc.Iterable[pathlib.Path]) -> Timeline:
    """Return the request's timeline, empty if no line holds its id."""
    lines, unreadable = read_files(paths)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return Timeline((), unreadable)
    related = [line for line in lines if is_related(line, own)]
    ordered = sorted([*own, *related], key=lambda line: line.at)
    return Timeline(tuple(ordered), unreadable)


def is_related(line: Line, own: abc.Sequence[Line]) -> bool:
    """Return whether the line is a change of view that may have affected the request.

    A request that was sent nowhere may be affected by any upstream signal that its
    process received.
    """
    if "request" in line.fields and line.name not in ANSWER_SIGNALS:
        return False
    if "digest" in line.fields:
        digests = {each.fields.get("digest") for each in own}
        return line.fields["digest"] in digests
    if "upstream" not in line.fields:
        return False
    upstreams = {each.fields.get("upstream") for each in own} - {None}
    processes = {each.process for each in own}
    if line.process not in processes:
        return False
    if line.fields["upstream"] not in upstreams and (
        upstreams or line.name not in ANSWER_SIGNALS
    ):
        return False
    start = min(each.at for each in own) - LOOKBACK_SECONDS
    return start <= line.at <= max(each.at for each in own)


def format_line(line: Line, first: float) -> str:
    """Return the line as text, with its time relative to the request's first line."""
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in HEAD_KEYS and value not in ("", None)
    )
    return f"{line.at - first:+9.3f} s  {line.process}  {line.name}  {rest}"
