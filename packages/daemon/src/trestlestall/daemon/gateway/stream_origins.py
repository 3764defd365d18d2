"""Which software began a stream: reported to directories, and asked of them.

A caller may take up a stream at another gateway, after the one that began it is gone.
Each gateway reports the first event of a stream to several directories, before it
passes the event on, and keeps the record itself for directories that start later.
"""

import dataclasses
import hashlib
import itertools
import typing
from collections import abc

import eventlet
import eventlet.event

from trestlestall.forwarding import origins, stream_records
from trestlestall.wire import clocks, stream_messages

#: Directories that keep each record: two may be lost with the gateway itself.
COPIES = 3
#: Records that a gateway keeps, and sends to a newly linked directory.
OWN_LIMIT = 2_000
#: Seconds to wait for answers to one question; most come within milliseconds.
ANSWER_SECONDS = 0.25
#: Seconds for which a record is asked for that directories may yet be sent, and the
#: pause between two questions.
PATIENCE_SECONDS = 1.0
PAUSE_SECONDS = 0.1
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


class Question:
    """A question to several directories, and their answers so far."""

    def __init__(self, asked: int) -> None:
        self.asked = asked
        self.answers: list[stream_messages.StreamAnswer] = []
        self.found: Found | None = None
        self.done = eventlet.event.Event()

    def record(self, directory: str, answer: stream_messages.StreamAnswer) -> None:
        """Record an answer; the question is done with a record or with the last one."""
        self.answers.append(answer)
        if len(answer.origin) == 2:
            self.found = self.found or Found(origins.Origin(*answer.origin), directory)
        if not self.done.ready() and (
            self.found is not None or len(self.answers) == self.asked
        ):
            self.done.send(None)

    def has_majority(self) -> bool:
        """Return whether directories have answered that any majority intersects."""
        voters = max((one.voters for one in self.answers), default=0)
        return voters > 0 and len(self.answers) > voters // 2

    def is_final(self) -> bool:
        """Return whether later answers can't bring a record any more."""
        return self.has_majority() and all(
            one.kept_seconds > SETTLING_SECONDS for one in self.answers
        )

    def find_sole(self, service: str) -> Found:
        """Return the only version that may have begun any stream of the service.

        A version that is new to a service serves only once a majority of the
        directories knows it, so a majority that knows only one settles it.
        """
        versions = {one.sole for one in self.answers}
        if not self.has_majority() or len(versions) != 1 or None in versions:
            return UNKNOWN
        return Found(origins.Origin(service, versions.pop()), SOLE)


class StreamOrigins:
    """The records of one gateway; ``send`` and ``list_directories`` come with links."""

    def __init__(self) -> None:
        self.send: abc.Callable[[str, typing.Any], bool] = drop_message
        self.list_directories: abc.Callable[[], abc.Iterable[str]] = tuple
        self.records = stream_records.Records(OWN_LIMIT)
        self._tokens = itertools.count(1)
        self._questions: dict[int, Question] = {}

    def record(self, key: bytes, origin: origins.Origin, seconds: float) -> None:
        """Record a stream's first event, for as long as callers may take it up."""
        if origin.version is None:
            return
        self.records.record(key, origin, seconds, clocks.read())
        row = stream_records.encode_row(key, origin, seconds)
        message = stream_messages.StreamsBegan((row,))
        for directory in choose_holders(self.list_directories(), key):
            self.send(directory, message)

    def resend(self, directory: str) -> None:
        """Send the records to a newly linked directory."""
        rows = self.records.list_newest(OWN_LIMIT, clocks.read())
        if rows:
            self.send(directory, stream_messages.StreamsBegan(tuple(rows)))

    def handle_answer(
        self, directory: str, answer: stream_messages.StreamAnswer
    ) -> None:
        """Pass an answer to the question that it belongs to."""
        question = self._questions.get(answer.token)
        if question is not None:
            question.record(directory, answer)

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
            question = self._ask(keys[0] if keys else b"", service, seconds)
            found = question.found or question.find_sole(service)
            is_over = clocks.read() + PAUSE_SECONDS >= until or not is_wanted()
            if found.origin is not None or question.is_final() or is_over:
                return found
            eventlet.sleep(PAUSE_SECONDS)

    def _ask(self, key: bytes, service: str, seconds: float) -> Question:
        """Ask all linked directories; return once that is decided, or time is over."""
        token = next(self._tokens)
        call = stream_messages.StreamCall(token, key, service, seconds)
        linked = list(self.list_directories())
        question = self._questions[token] = Question(len(linked))
        try:
            for directory in linked:
                self.send(directory, call)
            if linked:
                with eventlet.Timeout(ANSWER_SECONDS, False):
                    question.done.wait()
        finally:
            del self._questions[token]
        return question


def choose_holders(directories: abc.Iterable[str], key: bytes) -> list[str]:
    """Return the directories that keep a record, spread by rendezvous hashing."""

    def rank(directory: str) -> bytes:
        return hashlib.blake2b(key + directory.encode(), digest_size=8).digest()

    return sorted(directories, key=rank)[:COPIES]


def drop_message(name: str, message: typing.Any) -> bool:
    """Drop a message because there are no links yet."""
    return False
