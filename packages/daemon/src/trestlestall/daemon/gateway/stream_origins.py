"""Which software began a stream: reported to directories, and asked of them.

A caller may take up a stream at another gateway, after the one that began it is gone.
Each gateway reports the first event of a stream to several directories, before it
passes the event on, so that the report outlives the gateway's process. It keeps the
record itself for directories that start later.
"""

import dataclasses
import hashlib
from collections import abc

import eventlet

from trestlestall.daemon.gateway import questions
from trestlestall.forwarding import origins, stream_records
from trestlestall.wire import clocks, stream_messages

#: Directories that keep each record: two may be lost with the gateway itself.
COPIES = 3
#: Records that a gateway keeps, and sends to a newly linked directory.
OWN_LIMIT = 2_000
#: Seconds for which a record is asked for that directories may yet be sent, and the
#: pause between two questions.
PATIENCE_SECONDS = 1.0
PAUSE_SECONDS = 0.1
#: Seconds for which an event waits at most until its report is written.
WRITE_SECONDS = 0.05
#: Seconds after its start in which a directory may lack records of living gateways.
SETTLING_SECONDS = 5.0
#: Where an origin was found, besides a directory's name.
OWN = "own"
SOLE = "the only version"


@dataclasses.dataclass(frozen=True)
class Found:
    """The origin of a stream, None if it is unknown, and who knew it."""

    origin: origins.Origin | None
    source: str = ""


UNKNOWN = Found(None)


class Answers:
    """The answers of directories about one stream."""

    def __init__(self, by_directory: dict[str, stream_messages.StreamAnswer]) -> None:
        self._by_directory = by_directory
        self._answers = list(by_directory.values())

    def find_record(self) -> Found:
        """Return the origin that a directory has a record of."""
        for directory, answer in self._by_directory.items():
            if has_record(answer):
                return Found(origins.Origin(*answer.origin), directory)
        return UNKNOWN

    def is_final(self) -> bool:
        """Return whether later answers can't bring a record any more."""
        return self._is_majority(self._list_settled(SETTLING_SECONDS))

    def find_sole(self, service: str, seconds: float) -> Found:
        """Return the only version that may have begun any stream of the service.

        A version that is new to a service serves only once a majority of the
        directories knows it, so a majority that knows only one of the last seconds
        settles it. A directory that started since then does not count.
        """
        vouching = self._list_settled(seconds)
        versions = {one.sole for one in vouching}
        if not self._is_majority(vouching) or len(versions) != 1 or None in versions:
            return UNKNOWN
        return Found(origins.Origin(service, versions.pop()), SOLE)

    def _list_settled(self, seconds: float) -> list[stream_messages.StreamAnswer]:
        """Return the answers of directories that have kept records for that long."""
        return [one for one in self._answers if one.kept_seconds > seconds]

    def _is_majority(self, answers: list[stream_messages.StreamAnswer]) -> bool:
        """Return whether any majority of the directories has one of these answers."""
        voters = max((one.voters for one in self._answers), default=0)
        return voters > 0 and len(answers) > voters // 2


class StreamOrigins:
    """The records of one gateway, and its questions about others."""

    def __init__(self, asking: questions.Questions) -> None:
        self.records = stream_records.Records(OWN_LIMIT)
        self._questions = asking

    def record(self, key: bytes, origin: origins.Origin, seconds: float) -> None:
        """Record a stream's first event, for as long as callers may take it up.

        Returns once the report is written to the links, which takes no answer.
        """
        if origin.version is None:
            return
        self.records.record(key, origin, seconds, clocks.read())
        row = stream_records.encode_row(key, origin, seconds)
        message = stream_messages.StreamsBegan((row,))
        holders = choose_holders(self._questions.list_directories(), key)
        for directory in holders:
            self._questions.send(directory, message)
        self._questions.wait_written(holders, WRITE_SECONDS)

    def resend(self, directory: str) -> None:
        """Send the records to a newly linked directory."""
        rows = self.records.list_newest(OWN_LIMIT, clocks.read())
        if rows:
            message = stream_messages.StreamsBegan(tuple(rows))
            self._questions.send(directory, message)

    def find(
        self,
        keys: abc.Sequence[bytes],
        service: str,
        seconds: float,
        until: float,
        is_wanted: abc.Callable[[], bool],
    ) -> Found:
        """Return the origin of the stream with one of the keys; at most one is given.

        Without a record it is the only version of the last seconds, if the stream can
        be of one service alone. A record that may yet come is waited for, up to the
        clock reading ``until`` and while ``is_wanted``.
        """
        for key in keys:
            own = self.records.find(key, clocks.read())
            if own is not None:
                return Found(own, OWN)
        until = min(until, clocks.read() + PATIENCE_SECONDS)
        while True:
            answers = self._ask(keys[0] if keys else b"", service, seconds)
            found = answers.find_record()
            if found.origin is None:
                found = answers.find_sole(service, seconds)
            is_over = clocks.read() + PAUSE_SECONDS >= until or not is_wanted()
            if found.origin is not None or answers.is_final() or is_over:
                return found
            eventlet.sleep(PAUSE_SECONDS)

    def _ask(self, key: bytes, service: str, seconds: float) -> Answers:
        return Answers(
            self._questions.ask(
                lambda token: stream_messages.StreamCall(token, key, service, seconds),
                has_record,
            )
        )


def has_record(answer: stream_messages.StreamAnswer) -> bool:
    """Return whether a directory has a record of the stream."""
    return len(answer.origin) == 2


def choose_holders(directories: abc.Iterable[str], key: bytes) -> list[str]:
    """Return the directories that keep a record, spread by rendezvous hashing."""

    def rank(directory: str) -> bytes:
        return hashlib.blake2b(key + directory.encode(), digest_size=8).digest()

    return sorted(directories, key=rank)[:COPIES]
