"""Questions that a gateway asks of all linked directories at once."""

import itertools
import typing
from collections import abc

import eventlet
import eventlet.event

from trestlestall.daemon import call_tokens

#: Seconds to wait for answers to one question; most come within milliseconds.
ANSWER_SECONDS = 0.25


class Question:
    """A question to several directories, and their answers so far by directory."""

    def __init__(
        self, asked: int, is_decided: abc.Callable[[typing.Any], bool]
    ) -> None:
        self.answers: dict[str, typing.Any] = {}
        self.done = eventlet.event.Event()
        self._asked = asked
        self._is_decided = is_decided

    def record(self, directory: str, answer: typing.Any) -> None:
        """Record an answer; the question is done with a decisive or the last one."""
        self.answers[directory] = answer
        is_last = len(self.answers) == self._asked
        if not self.done.ready() and (is_last or self._is_decided(answer)):
            self.done.send(None)


class Questions:
    """The open questions; what it needs of the links is set with them."""

    def __init__(self) -> None:
        self.send: abc.Callable[[str, typing.Any], bool] = drop_message
        self.list_directories: abc.Callable[[], abc.Iterable[str]] = tuple
        self.wait_written: abc.Callable[[abc.Iterable[str], float], object] = skip_wait
        self._tokens = itertools.count(call_tokens.draw_first())
        self._open: dict[int, Question] = {}

    def ask(
        self,
        make_call: abc.Callable[[int], typing.Any],
        is_decided: abc.Callable[[typing.Any], bool],
    ) -> dict[str, typing.Any]:
        """Ask all linked directories; return the answers by directory.

        ``make_call`` returns the message for a token. The first answer for which
        ``is_decided`` ends the wait, as does the last one.
        """
        token = next(self._tokens)
        call = make_call(token)
        linked = list(self.list_directories())
        question = self._open[token] = Question(len(linked), is_decided)
        try:
            for directory in linked:
                self.send(directory, call)
            if linked:
                with eventlet.Timeout(ANSWER_SECONDS, False):
                    question.done.wait()
        finally:
            del self._open[token]
        return question.answers

    def handle_answer(self, directory: str, answer: typing.Any) -> None:
        """Pass an answer to the question that it belongs to."""
        question = self._open.get(answer.token)
        if question is not None:
            question.record(directory, answer)


def skip_wait(names: abc.Iterable[str], seconds: float) -> None:
    """Wait for nothing because there are no links yet."""


def drop_message(name: str, message: typing.Any) -> bool:
    """Drop a message because there are no links yet."""
    return False
