"""Commands and queries as operators write them: files, comments, marked errors."""

import dataclasses
import typing
from collections import abc

from trestlestall.language import errors, parser, queries

COMMENT = "#"
QUOTE = '"'


@dataclasses.dataclass(frozen=True)
class Source:
    """One text and its line number in a file; 0 for a text from the command line."""

    text: str
    line: int = 0


@dataclasses.dataclass(frozen=True)
class Fault:
    """Why a source can't be sent: a message with the word at fault marked."""

    source: Source
    message: str


def read_sources(stream: typing.TextIO) -> list[Source]:
    """Return a source for each line that isn't blank or only a comment."""
    lines = (strip_comment(line) for line in stream)
    numbered = enumerate(lines, start=1)
    return [Source(text, number) for number, text in numbered if text]


def strip_comment(line: str) -> str:
    """Return the line without its comment and surrounding blanks.

    A comment begins with a ``#`` at the line's start or after a blank, outside quotes:
    ``remove voter control-1#9f3a  # lost its disk`` keeps the voter's name.
    """
    quoted = False
    before = " "
    for position, character in enumerate(line):
        if character == QUOTE and before != "\\":
            quoted = not quoted
        if character == COMMENT and before.isspace() and not quoted:
            return line[:position].strip()
        before = character
    return line.strip()


def find_faults(sources: abc.Iterable[Source], kind: str) -> list[Fault]:
    """Return the faults of texts that should all be of the kind, in order."""
    return [fault for source in sources if (fault := find_fault(source, kind))]


def find_fault(source: Source, kind: str) -> Fault | None:
    """Return why the text isn't valid as the kind, ``"command"`` or ``"query"``."""
    found = parser.parse(source.text)
    if isinstance(found, errors.LanguageError):
        return Fault(source, point_at_word(source.text, found))
    found_kind = "query" if isinstance(found, queries.Query) else "command"
    if found_kind != kind:
        message = f"{source.text!r} is a {found_kind}; use trestlestall {found_kind}"
        return Fault(source, message)
    return None


def point_at_field(text: str, field: str, message: str) -> str:
    """Return the message, with the word for the field marked if there is one."""
    error = parser.point_at(text, field, message)
    return point_at_word(text, error) if error.length else message


def point_at_word(text: str, error: errors.LanguageError) -> str:
    """Return the message, the line with the error and carets under the word."""
    lines = text.splitlines() or [""]
    line = lines[min(error.line, len(lines)) - 1]
    blanks = "".join("\t" if c == "\t" else " " for c in line[: error.column - 1])
    carets = "^" * max(1, error.length)
    return f"{error.message}\n    {line}\n    {blanks}{carets}"
