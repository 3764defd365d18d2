"""The sessions of a call with the servers: commands, a query, the status."""

import dataclasses
import random
import uuid

from trestlestall.client import answers, calls, reports, status, texts

STATUSES = {
    answers.Accepted: status.ExitStatus.OK,
    answers.Document: status.ExitStatus.OK,
    answers.Rejected: status.ExitStatus.REJECTED,
    answers.Beaten: status.ExitStatus.BEATEN,
    calls.Lost: status.ExitStatus.UNREACHABLE,
}


@dataclasses.dataclass(frozen=True)
class Batch:
    """Commands to send in order, each with an id derived from the batch's id.

    The id of a command in a file is the batch's id and its line number. The whole file
    can therefore be sent again with the same id: executed commands get their first
    answer.
    """

    sources: tuple[texts.Source, ...]
    request_id: str
    number: int | None = None
    dry_run: bool = False

    def make_order(self, index: int) -> calls.Order:
        """Return the order for one command; numbers count up from the first."""
        source = self.sources[index]
        line = f"-{source.line}" if source.line else ""
        number = None if self.number is None else self.number + index
        return calls.Order(
            source.text, f"{self.request_id}{line}", number, self.dry_run
        )


def make_request_id(generator: random.Random) -> str:
    """Return a new random id, a version 4 UUID."""
    return str(uuid.UUID(int=generator.getrandbits(128), version=4))


def send_commands(
    batch: Batch, client: calls.Client, report: reports.Report
) -> status.ExitStatus:
    """Send the commands until one isn't accepted; a dry run goes on to the end."""
    worst = status.ExitStatus.OK
    for index, source in enumerate(batch.sources):
        order = batch.make_order(index)
        found = send_order(order, client)
        report.show_command(source, order, found)
        if not isinstance(found, answers.Accepted):
            worst = worst or STATUSES[type(found)]
            if not batch.dry_run or isinstance(found, calls.Lost):
                left = batch.sources[index + 1 :]
                stop = reports.StopReport(found, batch.request_id, batch.dry_run, left)
                report.show_stop(stop)
                return worst
    return worst


def send_order(order: calls.Order, client: calls.Client) -> answers.Answer | calls.Lost:
    """Send one order; an interrupt makes its outcome unknown, as a lost answer does."""
    try:
        found = client.send(order)
    except KeyboardInterrupt:
        return calls.Lost(True, ("interrupted while waiting for the answer",))
    if isinstance(found, answers.Document):
        return calls.Lost(True, ("the answer holds no outcome",))
    return found


def ask_query(
    text: str, request_id: str, client: calls.Client, report: reports.Report
) -> status.ExitStatus:
    """Send one query and show its rows."""
    found = client.send(calls.Order(text, request_id))
    report.show_answer(text, found)
    return STATUSES[type(found)]


def show_status(client: calls.Client, report: reports.Report) -> status.ExitStatus:
    """Show the status document of the first server that answers."""
    found = client.read_status()
    report.show_answer("", found)
    return STATUSES[type(found)]
