"""The configuration's replicated state machine: applies submissions, returns outcomes.

``State`` is immutable, and applying is deterministic: voters that apply the same
submissions with the same times have equal states. A voter starts with ``EMPTY``. A
router starts with ``make_replica_state(configuration)`` and applies only the accepted
submissions of a delta. It stores no answers, since only voters answer repeated
submissions.

Example:

    >>> command = commands.DeclareService(model.Service("slots"))
    >>> submission = commands.Submission("r1", "alice", 1, command)
    >>> after, outcome = apply_submission(EMPTY, submission, at=5.0)
    >>> outcome
    Accepted(version=1)
"""

import dataclasses
import hashlib
import re

import msgspec

from trestlestall.configuration import (
    checks,
    commands,
    effects,
    model,
    outcomes,
    persistent,
)

ANSWER_LIMIT = 10_000
HISTORY_LIMIT = 10_000
REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
REQUEST_ID_EXPECTED = "1 to 128 printable ASCII characters without spaces"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The outcome of a request identifier, and the digest of its submission."""

    request_id: str
    digest: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True)
class Answers:
    """The newest answers, at most ``limit``, by request and in order of arrival.

    ``requests`` maps sequence numbers to request identifiers, from ``oldest`` up to and
    excluding ``next``.
    """

    limit: int = ANSWER_LIMIT
    by_request: persistent.Map = persistent.EMPTY
    requests: persistent.Map = persistent.EMPTY
    oldest: int = 0
    next: int = 0

    def find(self, request_id: str) -> Answer | None:
        """Return the retained answer of a request, or ``None``."""
        return self.by_request.get(request_id)

    def list_answers(self) -> list[Answer]:
        """Return the retained answers, oldest first."""
        numbers = range(self.oldest, self.next)
        return [self.by_request[self.requests[number]] for number in numbers]

    def add(self, answer: Answer) -> "Answers":
        """Return the answers with one added; beyond the limit the oldest is evicted."""
        if self.limit == 0:
            return self
        by_request = self.by_request.set(answer.request_id, answer)
        requests = self.requests.set(self.next, answer.request_id)
        oldest = self.oldest
        if len(requests) > self.limit:
            by_request = by_request.remove(requests[oldest])
            requests = requests.remove(oldest)
            oldest += 1
        return Answers(self.limit, by_request, requests, oldest, self.next + 1)


def restore_answers(answers: list[Answer]) -> Answers:
    """Return the answers of a decoded state, given oldest first."""
    return Answers(
        by_request=persistent.Map.of({one.request_id: one for one in answers}),
        requests=persistent.Map.of(
            {number: one.request_id for number, one in enumerate(answers)}
        ),
        next=len(answers),
    )


@dataclasses.dataclass(frozen=True)
class State:
    """A configuration, the history that led to it, and the answers to submissions.

    ``history`` maps a version to its ``HistoryEntry``; the newest ``HISTORY_LIMIT`` are
    retained.
    """

    configuration: model.Configuration = model.EMPTY
    history: persistent.Map = persistent.EMPTY
    answers: Answers = Answers()


EMPTY = State()


def make_replica_state(configuration: model.Configuration) -> State:
    """Return the state to which a router applies accepted submissions."""
    return State(configuration, persistent.EMPTY, Answers(limit=0))


def apply_submission(
    state: State, submission: commands.Submission, at: float
) -> tuple[State, outcomes.Outcome]:
    """Return the state after the submission, and its outcome.

    ``at`` is the leader's time in seconds since the epoch; it goes into the history. A
    repeated submission gets its recorded outcome and changes nothing.
    """
    early = _find_early_outcome(state, submission)
    if early is not None:
        return state, early
    changed, outcome = _evaluate(state, submission)
    history = state.history
    if isinstance(outcome, outcomes.Accepted):
        history = _add_to_history(history, submission, outcome.version, at)
    answer = Answer(submission.request_id, digest_submission(submission), outcome)
    return State(changed, history, state.answers.add(answer)), outcome


def check_submission(state: State, submission: commands.Submission) -> outcomes.Outcome:
    """Return the outcome that the submission would have now; nothing changes."""
    early = _find_early_outcome(state, submission)
    return early or _evaluate(state, submission)[1]


def list_history(state: State, limit: int) -> list[outcomes.HistoryEntry]:
    """Return the newest entries of the history, newest first."""
    newest = state.configuration.version
    versions = range(newest, max(newest - limit, 0), -1)
    found = (state.history.get(version) for version in versions)
    return [entry for entry in found if entry is not None]


def digest_submission(submission: commands.Submission) -> str:
    """Return the digest of the operator and the command.

    The number is excluded: an operator who repeats a submission with a corrected number
    still submits the same command, and gets its recorded outcome.
    """
    command = submission.command
    plain = msgspec.to_builtins(command)
    # Converting back turns whole numbers in float fields into floats, so that the
    # digest is the same before and after a command was encoded and decoded.
    normal = msgspec.convert(plain, type(command))
    parts = [ascii(submission.operator), command.command_name, normal]
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()


def _find_early_outcome(
    state: State, submission: commands.Submission
) -> outcomes.Outcome | None:
    # A rejection of invalid values isn't recorded among the answers: the same values
    # are always rejected in the same way.
    request_id = submission.request_id
    if REQUEST_ID.fullmatch(request_id) is None:
        message = f"expected {REQUEST_ID_EXPECTED}"
        return outcomes.Rejected("invalid_request_id", message, "request_id")
    problem = checks.find_problem(submission.command)
    if problem is not None:
        return outcomes.Rejected(checks.INVALID_VALUE, problem.message, problem.field)
    answer = state.answers.find(request_id)
    if answer is None:
        return None
    if answer.digest != digest_submission(submission):
        message = f"request_id {request_id!r} was used for another command"
        return outcomes.Rejected("request_id_reused", message, "request_id")
    return answer.outcome


def _evaluate(
    state: State, submission: commands.Submission
) -> tuple[model.Configuration, outcomes.Outcome]:
    configuration = state.configuration
    rejected = _check_number(state, submission.number)
    if rejected is not None:
        return configuration, rejected
    changed = effects.change_configuration(configuration, submission.command)
    if isinstance(changed, outcomes.Rejected):
        return configuration, changed
    return changed, outcomes.Accepted(changed.version)


def _check_number(state: State, number: int | None) -> outcomes.Outcome | None:
    version = state.configuration.version
    if number is None or number == version + 1:
        return None
    winner = state.history.get(number)
    if winner is not None:
        return outcomes.Beaten(number, winner)
    message = f"the next number is {version + 1}, not {number}"
    return outcomes.Rejected("wrong_number", message, "number")


def _add_to_history(
    history: persistent.Map, submission: commands.Submission, version: int, at: float
) -> persistent.Map:
    entry = outcomes.HistoryEntry(
        version, submission.operator, at, submission.request_id, submission.command
    )
    history = history.set(version, entry)
    return history.remove(version - HISTORY_LIMIT)
