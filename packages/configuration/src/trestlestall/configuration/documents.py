"""Codec between configuration, state, submissions, outcomes and plain documents.

The documents consist of dictionaries with text keys, lists, text, numbers, booleans and
``None``, which both JSON and CBOR can represent. Decoding checks types and rejects
unknown keys: ``exceptions.InvalidDocument`` has the path of the invalid part. Equal
values have equal documents, whichever process encodes them.
"""

import dataclasses
import typing

import msgspec

from trestlestall.configuration import (
    commands,
    exceptions,
    kinds,
    model,
    outcomes,
    persistent,
    state as states,
    strict,
)

FORMAT = 1


@dataclasses.dataclass(frozen=True)
class ConfigurationDocument:
    """The schema of a configuration's document."""

    version: int
    classes: tuple[model.RequestClass, ...]
    workspaces: tuple[model.Workspace, ...]
    bindings: tuple[model.Binding, ...]
    services: tuple[model.Service, ...]
    drained: tuple[str, ...]
    copies: tuple[model.ModelCopies, ...]


@dataclasses.dataclass(frozen=True)
class EntryDocument:
    """The schema of a history entry's document."""

    version: int
    operator: str
    at: float
    request_id: str
    command: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class AnswerDocument:
    """The schema of a retained answer's document."""

    request_id: str
    digest: str
    outcome: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class StateDocument:
    """The schema of a state's document; history and answers are oldest first."""

    format: int
    configuration: dict[str, typing.Any]
    history: tuple[EntryDocument, ...]
    answers: tuple[AnswerDocument, ...]


@dataclasses.dataclass(frozen=True)
class SubmissionDocument:
    """The schema of a submission's document."""

    request_id: str
    operator: str
    number: int | None
    command: dict[str, typing.Any]
    sent_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class BeatenDocument:
    """The schema of the document of ``Beaten``."""

    number: int
    winner: EntryDocument


def encode_configuration(configuration: model.Configuration) -> dict:
    """Return the configuration's document, each part sorted by name."""
    parts = ("classes", "workspaces", "bindings", "services", "copies")
    document: dict = {"version": configuration.version}
    for name in parts:
        values = getattr(configuration, name).values()
        document[name] = msgspec.to_builtins(list(values))
    document["drained"] = sorted(configuration.drained)
    return document


def decode_configuration(document: object, path: str = "$") -> model.Configuration:
    """Return the configuration of a document."""
    made = strict.convert(document, ConfigurationDocument, path)
    return model.Configuration(
        version=made.version,
        classes={part.name: part for part in made.classes},
        workspaces={part.name: part for part in made.workspaces},
        bindings={(part.workspace, part.target): part for part in made.bindings},
        services={part.name: part for part in made.services},
        drained=frozenset(made.drained),
        copies={part.model: part for part in made.copies},
    )


def encode_command(command: commands.Command) -> dict:
    """Return the command's document: its kind and its fields."""
    return {kinds.KIND: command.command_name, **msgspec.to_builtins(command)}


def decode_command(document: object, path: str = "$") -> commands.Command:
    """Return the command of a document."""
    kind, fields = _split_kind(document, path)
    if kind not in commands.REGISTRY:
        raise exceptions.InvalidDocument(
            f"{path}.{kinds.KIND}", f"unknown command {kind!r}"
        )
    return strict.convert(fields, commands.REGISTRY[kind], path)


def encode_submission(submission: commands.Submission) -> dict:
    """Return the submission's document."""
    return {
        "request_id": submission.request_id,
        "operator": submission.operator,
        "number": submission.number,
        "command": encode_command(submission.command),
        "sent_at": submission.sent_at,
    }


def decode_submission(document: object, path: str = "$") -> commands.Submission:
    """Return the submission of a document."""
    made = strict.convert(document, SubmissionDocument, path)
    command = decode_command(made.command, f"{path}.command")
    return commands.Submission(
        made.request_id, made.operator, made.number, command, made.sent_at
    )


def encode_entry(entry: outcomes.HistoryEntry) -> dict:
    """Return the history entry's document."""
    return {
        "version": entry.version,
        "operator": entry.operator,
        "at": entry.at,
        "request_id": entry.request_id,
        "command": encode_command(entry.command),
    }


def decode_entry(document: object, path: str = "$") -> outcomes.HistoryEntry:
    """Return the history entry of a document."""
    return _build_entry(strict.convert(document, EntryDocument, path), path)


def encode_outcome(outcome: outcomes.Outcome) -> dict:
    """Return the outcome's document: its kind and its fields."""
    if isinstance(outcome, outcomes.Beaten):
        winner = encode_entry(outcome.winner)
        return {kinds.KIND: "beaten", "number": outcome.number, "winner": winner}
    kind = "accepted" if isinstance(outcome, outcomes.Accepted) else "rejected"
    return {kinds.KIND: kind, **msgspec.to_builtins(outcome)}


def decode_outcome(document: object, path: str = "$") -> outcomes.Outcome:
    """Return the outcome of a document."""
    kind, fields = _split_kind(document, path)
    if kind == "accepted":
        return strict.convert(fields, outcomes.Accepted, path)
    if kind == "rejected":
        return strict.convert(fields, outcomes.Rejected, path)
    if kind == "beaten":
        made = strict.convert(fields, BeatenDocument, path)
        winner = _build_entry(made.winner, f"{path}.winner")
        return outcomes.Beaten(made.number, winner)
    raise exceptions.InvalidDocument(
        f"{path}.{kinds.KIND}", f"unknown outcome {kind!r}"
    )


def encode_state(state: states.State) -> dict:
    """Return the state's document, the complete state that a voter resumes from."""
    answers = state.answers.list_answers()
    return {
        "format": FORMAT,
        "configuration": encode_configuration(state.configuration),
        "history": [encode_entry(entry) for entry in state.history.values()],
        "answers": [_encode_answer(answer) for answer in answers],
    }


def decode_state(document: object, path: str = "$") -> states.State:
    """Return the state of a document."""
    made = strict.convert(document, StateDocument, path)
    if made.format != FORMAT:
        message = f"format {made.format} is not {FORMAT}, the one known here"
        raise exceptions.InvalidDocument(f"{path}.format", message)
    history = {
        entry.version: _build_entry(entry, f"{path}.history[{index}]")
        for index, entry in enumerate(made.history)
    }
    answers = [
        _build_answer(answer, f"{path}.answers[{index}]")
        for index, answer in enumerate(made.answers)
    ]
    return states.State(
        decode_configuration(made.configuration, f"{path}.configuration"),
        persistent.Map.of(history),
        states.restore_answers(answers),
    )


def _split_kind(document: object, path: str) -> tuple[str, dict]:
    if not isinstance(document, dict):
        raise exceptions.InvalidDocument(path, "expected an object")
    fields = dict(document)
    kind = fields.pop(kinds.KIND, None)
    if not isinstance(kind, str):
        raise exceptions.InvalidDocument(f"{path}.{kinds.KIND}", "expected text")
    return kind, fields


def _build_entry(document: EntryDocument, path: str) -> outcomes.HistoryEntry:
    command = decode_command(document.command, f"{path}.command")
    return outcomes.HistoryEntry(
        document.version, document.operator, document.at, document.request_id, command
    )


def _encode_answer(answer: states.Answer) -> dict:
    return {
        "request_id": answer.request_id,
        "digest": answer.digest,
        "outcome": encode_outcome(answer.outcome),
    }


def _build_answer(document: AnswerDocument, path: str) -> states.Answer:
    outcome = decode_outcome(document.outcome, f"{path}.outcome")
    return states.Answer(document.request_id, document.digest, outcome)
