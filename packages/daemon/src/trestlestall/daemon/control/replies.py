"""Replies to operators' calls, with an HTTP status and a JSON body."""

import dataclasses
import typing

import msgspec

from trestlestall.configuration import documents, outcomes
from trestlestall.daemon.control import calls
from trestlestall.daemon.http import errors
from trestlestall.language import errors as language_errors

OK = 200

Document = calls.Document


def reply(body: Document, status: int = OK) -> calls.Reply:
    """Return the reply with that body."""
    return calls.Reply({"status": status, "body": body})


def reply_failure(failure: errors.Failure) -> calls.Reply:
    """Return the reply of a failure, in the error format of all HTTP endpoints."""
    body = msgspec.json.decode(errors.encode_failure(failure))
    return reply(body, errors.CODES[failure.code].status)


def reply_outcome(outcome: Document, **more: typing.Any) -> calls.Reply:
    """Return the reply with the outcome of a command."""
    return reply({"outcome": {**outcome, **more}})


def reply_rejected(code: str, message: str) -> calls.Reply:
    """Return the reply that the command was rejected."""
    return reply_outcome(documents.encode_outcome(outcomes.Rejected(code, message)))


def reply_language_error(error: language_errors.LanguageError) -> calls.Reply:
    """Return the reply to a text that isn't a valid statement of the language.

    The position of the invalid word is added to the fields that every error has.
    """
    rejected = reply_failure(errors.Failure("invalid_request", error.message))
    rejected.document["body"]["error"].update(dataclasses.asdict(error))
    return rejected
