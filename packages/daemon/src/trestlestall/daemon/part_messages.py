"""Converts reports of parts that were present at crashes to messages and back."""

from trestlestall.forwarding import part_reports
from trestlestall.wire import directory_messages


def encode(report: part_reports.Report) -> directory_messages.PartsCrashed:
    """Return the message that carries a report."""
    return directory_messages.PartsCrashed(
        report.crashed, report.ends, report.answers, report.held
    )


def decode(message: directory_messages.PartsCrashed) -> part_reports.Report:
    """Return the report in a message; raises ``ValueError`` if it is malformed."""
    return part_reports.decode_report(
        message.crashed, message.ends, message.answers, message.held
    )
