"""Reports that processes exchange of parts of prompts that were present at crashes.

``harmful_parts`` merges these reports into a record.
"""

import dataclasses
from collections import abc

from trestlestall.forwarding import crash_reports

#: The longest context, part and workspace, in characters, and the most workspaces of a
#: presence and parts of a group that are read.
NAME_LENGTH = 300
NAMES_LIMIT = 64


@dataclasses.dataclass(frozen=True)
class Key:
    """A part of a prompt in a context: the service and the model that it runs on."""

    context: str
    part: str


@dataclasses.dataclass(frozen=True)
class Report:
    """Crashes, the parts present, answers and held parts; ages are in seconds.

    ``crashed`` holds incarnation and age. ``ends`` holds context, part, incarnation,
    workspaces, the age of the first request there, and the age of the crash.
    ``answers`` holds context, part and the age of a request that was answered whole.
    ``held`` holds the context and the parts of each group.
    """

    crashed: tuple[tuple[str, float], ...] = ()
    ends: tuple[tuple[str, str, str, tuple[str, ...], float, float], ...] = ()
    answers: tuple[tuple[str, str, float], ...] = ()
    held: tuple[tuple[str, tuple[str, ...]], ...] = ()

    def __bool__(self) -> bool:
        """Return whether the report holds anything."""
        return bool(self.crashed or self.ends or self.answers or self.held)

    def age(self, seconds: float) -> "Report":
        """Return the report as of some seconds later."""
        return Report(
            tuple((one, age + seconds) for one, age in self.crashed),
            tuple(
                (*rest, sent_age + seconds, age + seconds)
                for *rest, sent_age, age in self.ends
            ),
            tuple((*rest, age + seconds) for *rest, age in self.answers),
            self.held,
        )


def decode_report(
    crashed: abc.Iterable,
    ends: abc.Iterable,
    answers: abc.Iterable,
    held: abc.Iterable,
) -> Report:
    """Return the report of a message; raise ``ValueError`` if a field is invalid."""
    try:
        found = Report(
            tuple((incarnation, age) for incarnation, age in crashed),
            tuple(
                (context, part, incarnation, tuple(workspaces), sent_age, age)
                for context, part, incarnation, workspaces, sent_age, age in ends
            ),
            tuple((context, part, age) for context, part, age in answers),
            tuple((context, tuple(parts)) for context, parts in held),
        )
    except (TypeError, ValueError) as error:
        raise ValueError("no report of parts") from error
    check_report(found)
    return found


def check_report(report: Report) -> None:
    """Raise ``ValueError`` unless all fields are valid."""
    for incarnation, age in report.crashed:
        crash_reports.check_name(incarnation, crash_reports.INCARNATION_LENGTH)
        crash_reports.check_age(age)
    for context, part, incarnation, workspaces, sent_age, age in report.ends:
        check_names((context, part))
        check_names(workspaces, 0)
        crash_reports.check_name(incarnation, crash_reports.INCARNATION_LENGTH)
        crash_reports.check_age(sent_age)
        crash_reports.check_age(age)
    for context, part, age in report.answers:
        check_names((context, part))
        crash_reports.check_age(age)
    for context, parts in report.held:
        check_names((context, *parts))


def check_names(names: tuple, shortest: int = 1) -> None:
    """Raise ``ValueError`` unless these are a few texts of a bounded length."""
    if len(names) > NAMES_LIMIT:
        raise ValueError("too many names")
    for name in names:
        if not isinstance(name, str) or not shortest <= len(name) <= NAME_LENGTH:
            raise ValueError(f"invalid name: {name!r}")


def merge_reports(reports: abc.Iterable[Report]) -> Report:
    """Merge reports from a moment ago into one; their ages are not adjusted."""
    reports = tuple(reports)
    return Report(
        *(
            tuple(row for report in reports for row in getattr(report, field.name))
            for field in dataclasses.fields(Report)
        )
    )
