"""One request's story out of collected log files, of however many hosts.

The lines that carry the request's id come first. Beside them stand those in which the
same process changed what it believed of an upstream that the request was sent to,
shortly before or while it ran, and what any process found of requests with its digest,
which all attempts of one request share. Lines that can't be read are counted and passed
over: logs end in the middle of a line when a host does.
"""

import dataclasses
import datetime
import json
import pathlib
import typing
from collections import abc

#: Seconds before the request's first line in which a change of belief may bear on it.
BEFORE_SECONDS = 5.0
#: Beliefs that came with the answer to a request: to another one mostly.
HEARD_IN_ANSWERS = frozenset({"upstream_notice"})
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
class Story:
    """What the files tell of a request, in the order of time."""

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
    """Return the log line in the text, which may follow a collector's own prefix."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        at = datetime.datetime.fromisoformat(fields["at"]).timestamp()
        return Line(at, fields["process"], fields["name"], fields)
    except (ValueError, TypeError, KeyError):
        return None


def tell(request: str, paths: abc.Iterable[pathlib.Path]) -> Story:
    """Return the story of a request."""
    lines, unreadable = read_files(paths)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return Story((), unreadable)
    beliefs = [line for line in lines if bears_on(line, own)]
    ordered = sorted([*own, *beliefs], key=lambda line: line.at)
    return Story(tuple(ordered), unreadable)


def bears_on(line: Line, own: abc.Sequence[Line]) -> bool:
    """Return whether the line is a change of belief that the request met.

    One that was sent nowhere met all that its process believed of upstreams.
    """
    if "request" in line.fields and line.name not in HEARD_IN_ANSWERS:
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
        upstreams or line.name not in HEARD_IN_ANSWERS
    ):
        return False
    start = min(each.at for each in own) - BEFORE_SECONDS
    return start <= line.at <= max(each.at for each in own)


def write_line(line: Line, first: float) -> str:
    """Return the line for people; the time counts from the request's first line."""
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in HEAD_KEYS and value not in ("", None)
    )
    return f"{line.at - first:+9.3f} s  {line.process}  {line.name}  {rest}"
