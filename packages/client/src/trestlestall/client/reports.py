"""Output of a call: text and tables for people, JSON lines for programs."""

import dataclasses
import json
import typing
from collections import abc

from trestlestall.client import answers, calls, tables, texts
from trestlestall.daemon import environment, printing

PROGRAM = "trestlestall"
KINDS = {
    answers.Accepted: "accepted",
    answers.Rejected: "rejected",
    answers.Beaten: "beaten",
}

RESEND = """\
    request id: {request_id}
    To learn the outcome, repeat the same call with --request-id {request_id}
    What was carried out gets its first answer and isn't carried out again.
"""

Found = answers.Answer | calls.Lost


@dataclasses.dataclass(frozen=True)
class StopReport:
    """Where a batch stopped: the last answer, the batch's id, the unsent commands."""

    found: Found
    request_id: str
    dry_run: bool
    left: tuple[texts.Source, ...]


class Report(typing.Protocol):
    """Shows the results of a call in one output format."""

    def show_command(
        self, source: texts.Source, order: calls.Order, found: Found
    ) -> None:
        """Show the result of one command."""

    def show_stop(self, stop: StopReport) -> None:
        """Show that sending has stopped and which commands were not sent."""

    def show_answer(self, text: str, found: Found) -> None:
        """Show the answer to a query or the status."""


REPORTS: dict[str, abc.Callable[[environment.Environment], Report]] = {}


def register_report(name: str) -> abc.Callable:
    """Return a decorator that registers the class as the report of a format."""

    def register(report: type) -> type:
        REPORTS[name] = report
        return report

    return register


@register_report("people")
class PeopleReport:
    """Writes answers to standard output and everything else to standard error."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env

    def show_command(
        self, source: texts.Source, order: calls.Order, found: Found
    ) -> None:
        """Write the result of one command."""
        place = f"line {source.line}: " if source.line else ""
        if isinstance(found, answers.Accepted):
            verb = "would be accepted as" if order.dry_run else "accepted:"
            self._env.stdout.write(f"{place}{verb} version {found.version}\n")
        elif isinstance(found, answers.Beaten):
            self._write_error(f"{place}{_explain_beaten(found)}")
        elif isinstance(found, calls.Lost):
            self._write_error(f"{place}{_explain_lost(found, order)}")
        else:
            self._write_error(f"{place}{_explain_rejected(order.text, found)}")

    def show_stop(self, stop: StopReport) -> None:
        """Write how to learn a lost outcome, and where sending stopped."""
        is_lost = isinstance(stop.found, calls.Lost) and not stop.dry_run
        if is_lost and stop.found.outcome_unknown:
            self._env.stderr.write(RESEND.format(request_id=stop.request_id))
        if stop.left:
            line = stop.left[0].line
            self._write_error(f"stopped: line {line} and what follows wasn't sent")

    def show_answer(self, text: str, found: Found) -> None:
        """Write the answer as tables, or the error."""
        if isinstance(found, answers.Document):
            self._env.stdout.write(format_answer(found.content))
        elif isinstance(found, calls.Lost):
            self._write_error(_join_reasons("no server answered", found))
        elif isinstance(found, answers.Rejected):
            self._write_error(_explain_rejected(text, found))
        else:
            self._write_error("the server handled the query as a command")

    def _write_error(self, message: str) -> None:
        """Write one message to standard error."""
        self._env.stderr.write(f"{PROGRAM}: {message}\n")


@register_report("json")
class JsonReport:
    """Writes every answer to standard output as one JSON object on a line."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env

    def show_command(
        self, source: texts.Source, order: calls.Order, found: Found
    ) -> None:
        """Write the outcome under its request id."""
        place = {"line": source.line} if source.line else {}
        self._write({**place, "request_id": order.request_id, **_encode(found)})

    def show_stop(self, stop: StopReport) -> None:
        """Write nothing: the objects already written show what was sent."""

    def show_answer(self, text: str, found: Found) -> None:
        """Write the document as received from the server."""
        is_document = isinstance(found, answers.Document)
        self._write(found.content if is_document else _encode(found))

    def _write(self, document: dict) -> None:
        """Write one line."""
        self._env.stdout.write(json.dumps(document) + "\n")


def _encode(found: Found) -> dict:
    """Return an outcome, or a lost answer, as a document."""
    fields = dataclasses.asdict(found)
    if isinstance(found, calls.Lost):
        return {"lost": fields}
    return {"outcome": {"kind": KINDS[type(found)], **fields}}


def format_answer(content: dict) -> str:
    """Return rows as one table, and any other document key by key."""
    rows = content.get("rows")
    if isinstance(rows, list) and all(isinstance(row, dict) for row in rows):
        return tables.format_rows(rows)
    return tables.format_document(content)


def _explain_rejected(text: str, found: answers.Rejected) -> str:
    """Return the rejection, with the word at fault marked if it is known."""
    message = texts.point_at_field(
        text, found.field, printing.escape_controls(found.message)
    )
    return f"rejected ({printing.escape_controls(found.code)}): {message}"


def _explain_beaten(found: answers.Beaten) -> str:
    """Return which command got the number, by whom, and what to do."""
    winner = found.winner
    operator = printing.escape_controls(winner.operator)
    at = tables.format_time(winner.at)
    return (
        f"beaten: version {found.number} was made by {operator} at {at}:\n"
        f"    {tables.format_command(winner.command)}\n"
        "    Nothing was changed. Look at what it did before you send yours again."
    )


def _explain_lost(found: calls.Lost, order: calls.Order) -> str:
    """Return why there is no answer, and if the command may have been executed."""
    message = "no server took the command; nothing was changed"
    if order.dry_run:
        message = "no answer to the dry run; nothing was changed"
    elif found.outcome_unknown:
        message = "the answer was lost; the command may have been carried out"
    return _join_reasons(message, found)


def _join_reasons(message: str, found: calls.Lost) -> str:
    """Return the message and a line for each server that was tried."""
    reasons = (printing.escape_controls(reason) for reason in found.reasons)
    return "\n    ".join([message, *reasons])
