"""Files in which a directory stores what is quarantined.

All directories and gateways hold the quarantine in memory, which a power failure of
the whole deployment would erase. Each directory stores a copy of its own, so that it
also survives the loss of a disk. A file is replaced as a whole, and only when the
quarantine changes: a few times on a day with harmful requests.
"""

import dataclasses
import pathlib
import typing
from collections import abc

import cbor2

from trestlestall.daemon import events, logs
from trestlestall.daemon.directory import atomic_files
from trestlestall.forwarding import crash_reports, part_reports

VERSION = 1
Report = typing.TypeVar("Report", crash_reports.Report, part_reports.Report)


@dataclasses.dataclass(frozen=True)
class Format(typing.Generic[Report]):
    """The name of a file and the form of its report.

    ``encode`` returns the stored fields, ``decode`` their report some seconds later,
    and ``identify`` what must differ for the file to be written again. ``decode``
    raises ``ValueError`` or ``TypeError``.
    """

    name: str
    empty: Report
    encode: abc.Callable[[Report], tuple]
    decode: abc.Callable[[list, float], Report]
    identify: abc.Callable[[Report], object]


def decode_requests(fields: list, elapsed: float) -> crash_reports.Report:
    """Return the stored report of requests; raise ``ValueError`` if it is invalid."""
    ends, answers = fields
    return crash_reports.decode_report(
        [(digest, start, age + elapsed) for digest, start, age in ends],
        [(digest, age + elapsed) for digest, age in answers],
        (),
    )


def decode_parts(fields: list, elapsed: float) -> part_reports.Report:
    """Return the stored report of parts; raise ``ValueError`` if it is invalid."""
    ends, held = fields
    return part_reports.decode_report((), ends, (), held).age(elapsed)


def identify_parts(report: part_reports.Report) -> object:
    """Return the crashes and the held parts of a report, without ages."""
    return {end[:4] for end in report.ends}, set(report.held)


REQUESTS = Format(
    "held",
    crash_reports.Report(),
    lambda report: (report.ends, report.answers),
    decode_requests,
    lambda report: {end[:2] for end in report.ends},
)
PARTS = Format(
    "held_parts",
    part_reports.Report(),
    lambda report: (report.ends, report.held),
    decode_parts,
    identify_parts,
)


class QuarantineFile(typing.Generic[Report]):
    """A file of one data folder; ``wall`` returns the Unix time.

    Ages are stored relative to the wall clock, as no other clock survives a restart.
    If it was set back in the meantime, the entries count as recorded just now.
    """

    def __init__(
        self,
        folder: str,
        log: logs.Log,
        wall: abc.Callable[[], float],
        form: Format[Report] = REQUESTS,
    ) -> None:
        self._path = pathlib.Path(folder) / form.name
        self._log = log
        self._wall = wall
        self._format = form
        self._saved = form.empty

    def load(self) -> Report:
        """Return the stored quarantine; an empty report if there is no usable file."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return self._format.empty
        except OSError as error:
            return self._refuse(str(error))
        try:
            version, written_at, *fields = cbor2.loads(data)
            elapsed = max(0.0, self._wall() - written_at)
            if version != VERSION:
                return self._refuse(f"version {version}")
            return self._format.decode(fields, elapsed)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
            return self._refuse(str(error))

    def save(self, report: Report) -> None:
        """Store a report if its crashes differ from those stored last."""
        identify = self._format.identify
        if identify(report) == identify(self._saved):
            return
        document = VERSION, self._wall(), *self._format.encode(report)
        try:
            atomic_files.replace(
                self._path.parent, self._path.name, cbor2.dumps(document)
            )
        except OSError as error:
            self._refuse(str(error))
        else:
            self._saved = report

    def _refuse(self, reason: str) -> Report:
        self._log.write(
            events.directory.QUARANTINE_FILE_REFUSED,
            folder=str(self._path),
            reason=reason,
        )
        return self._format.empty
