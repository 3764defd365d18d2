"""A file in which a directory stores the quarantined requests.

All directories and gateways hold the quarantine in memory, which a power failure of
the whole deployment would erase. Each directory stores a copy of its own, so that it
also survives the loss of a disk. The file is replaced as a whole, and only when the
quarantine changes: a few times on a day with harmful requests.
"""

import pathlib
from collections import abc

import cbor2

from trestlestall.daemon import events, logs
from trestlestall.daemon.directory import atomic_files
from trestlestall.forwarding import crash_reports

NAME = "held"
VERSION = 1


class QuarantineFile:
    """The file of one data folder; ``wall`` returns the Unix time.

    Ages are stored relative to the wall clock, as no other clock survives a restart.
    If it was set back in the meantime, the entries count as recorded just now.
    """

    def __init__(
        self, folder: str, log: logs.Log, wall: abc.Callable[[], float]
    ) -> None:
        self._folder = pathlib.Path(folder)
        self._log = log
        self._wall = wall
        self._saved: crash_reports.Report | None = None

    def load(self) -> crash_reports.Report:
        """Return the stored quarantine; an empty report if there is no usable file."""
        try:
            data = (self._folder / NAME).read_bytes()
        except FileNotFoundError:
            return crash_reports.Report()
        except OSError as error:
            return self._refuse(str(error))
        try:
            version, written_at, ends, answers = cbor2.loads(data)
            elapsed = max(0.0, self._wall() - written_at)
            if version != VERSION:
                return self._refuse(f"version {version}")
            return crash_reports.decode_report(
                [(digest, start, age + elapsed) for digest, start, age in ends],
                [(digest, age + elapsed) for digest, age in answers],
                (),
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
            return self._refuse(str(error))

    def save(self, report: crash_reports.Report) -> None:
        """Store a report if its crashes differ from those stored last."""
        if not self._has_changed(report):
            return
        document = VERSION, self._wall(), report.ends, report.answers
        try:
            atomic_files.replace(self._folder, NAME, cbor2.dumps(document))
        except OSError as error:
            self._refuse(str(error))
        else:
            self._saved = report

    def _has_changed(self, report: crash_reports.Report) -> bool:
        before = () if self._saved is None else self._saved.ends
        return {end[:2] for end in report.ends} != {end[:2] for end in before}

    def _refuse(self, reason: str) -> crash_reports.Report:
        path = str(self._folder / NAME)
        self._log.write(
            events.directory.QUARANTINE_FILE_REFUSED, folder=path, reason=reason
        )
        return crash_reports.Report()
