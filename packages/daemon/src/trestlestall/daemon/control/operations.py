"""The kinds of calls: operators' texts, status, routers' pulls and claims.

A reply to an operator is the document ``{"status", "body"}``: the HTTP status and the
JSON body, which routers and control processes forward unchanged.
"""

import dataclasses
import typing

import msgspec

from trestlestall.agreement import codes, events
from trestlestall.claims import claims as claim_machine, documents as claim_documents
from trestlestall.configuration import (
    commands,
    documents,
    exceptions,
    outcomes,
    state as states,
    strict,
)
from trestlestall.daemon.control import (
    calls,
    distribution,
    group,
    machine,
    replies,
    rows,
    voter as voters,
)
from trestlestall.daemon.http import errors
from trestlestall.language import (
    errors as language_errors,
    parser,
    queries,
    voters as voter_commands,
)

VOTER_CHANGE_TIMEOUT_SECONDS = 20.0
LOOKUP_TIMEOUT_SECONDS = 0.5
OUTCOME_UNKNOWN = (
    "No control leader confirmed it in time; send it again to learn the outcome."
)
UNAVAILABLE = "No control leader with a quorum can be reached."
ASK_A_ROUTER = "Control does not know this; ask a router."
VOTER_COMMANDS = (voter_commands.AddVoter, voter_commands.RemoveVoter)
ALREADY_IN_EFFECT = {codes.ALREADY_VOTER: "add", codes.NOT_VOTER: "remove"}

Document = calls.Document


@dataclasses.dataclass(frozen=True)
class OperatorRequest:
    """An operator's request; ``operator`` is set by the process that checks the key."""

    text: str
    request_id: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    operator: str
    number: int | None = None
    dry_run: bool = False


def read_request(document: Document, default_id: str) -> Document | calls.Reply:
    """Return the operator's request, validated, or the reply that rejects it.

    ``default_id`` is its identifier if the operator gave none.
    """
    if document.get("request_id") is None:
        document = {**document, "request_id": default_id}
    try:
        request = strict.convert(document, OperatorRequest)
    except exceptions.InvalidDocument as error:
        return replies.reply_failure(errors.Failure("invalid_request", str(error)))
    return dataclasses.asdict(request)


@calls.register
class Operate(calls.Kind):
    """An operator's text: a command, its dry run, a change of voters, or a query.

    The document is that of an ``OperatorRequest``.
    """

    name = "operate"

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        value = parser.parse(call.document["text"])
        call.state = value
        if isinstance(value, language_errors.LanguageError):
            return replies.reply_language_error(value)
        if isinstance(value, VOTER_COMMANDS):
            return self._begin_voter_change(call, value, context)
        if isinstance(value, queries.Explain):
            return replies.reply_failure(
                errors.Failure("unknown_request", ASK_A_ROUTER)
            )
        if isinstance(value, (queries.Show, queries.History)) or _is_dry_run(call):
            return events.Read(call.token)
        document = documents.encode_submission(_make_submission(call, context.wall))
        payload = machine.encode_entry(machine.SUBMISSION, context.wall, document)
        return events.Propose(call.token, payload)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if isinstance(call.state, VOTER_COMMANDS):
            return _proceed_with_voter_change(call, result, context)
        if isinstance(result, voters.Refused):
            return replies.reply_failure(errors.Failure("overloaded", result.code))
        if isinstance(result, voters.Applied):
            return replies.reply_outcome(result.document)
        if isinstance(call.state, (queries.Show, queries.History)):
            return _answer_query(call.state, context)
        submission = _make_submission(call, context.wall)
        state = context.voter.machine.configuration
        outcome = states.check_submission(state, submission)
        return replies.reply_outcome(documents.encode_outcome(outcome))

    def time_out(self, call: calls.Call) -> Document:
        if call.tried:
            failure = errors.Failure(
                "outcome_unknown", OUTCOME_UNKNOWN, errors.Run.UNKNOWN
            )
        else:
            failure = errors.Failure("control_unavailable", UNAVAILABLE)
        return replies.reply_failure(failure).document

    def _begin_voter_change(
        self, call: calls.Call, value: typing.Any, context: calls.CallContext
    ) -> calls.Step:
        """Record in the log which disk is meant, before the voters are changed."""
        call.deadline += VOTER_CHANGE_TIMEOUT_SECONDS - self.seconds
        adds = isinstance(value, voter_commands.AddVoter)
        known = context.voter.machine.voter_changes.get(call.document["request_id"])
        named = known["voter"] if known else _find_voter(value.name, adds, context)
        if named is None and adds:
            context.dial(value.name, value.address)
            return calls.Wait()
        if named is None:
            return replies.reply_rejected(
                codes.NOT_VOTER, f"{value.name!r} is no voter"
            )
        if _is_dry_run(call):
            return replies.reply_outcome(_build_accepted(context))
        document = {
            "request_id": call.document["request_id"],
            "operator": call.document["operator"],
            "change": "add" if adds else "remove",
            "voter": named,
            "address": value.address if adds else None,
        }
        payload = machine.encode_entry(machine.VOTERS, context.wall, document)
        return events.Propose(call.token, payload)


def _is_dry_run(call: calls.Call) -> bool:
    return bool(call.document.get("dry_run"))


def _make_submission(call: calls.Call, wall: float) -> commands.Submission:
    document = call.document
    return commands.Submission(
        document["request_id"],
        document["operator"],
        document.get("number"),
        call.state,
        wall,
    )


def _find_voter(name: str, adds: bool, context: calls.CallContext) -> str | None:
    """Return the voter of a process: a linked peer to add, a present one to remove."""
    if adds:
        return context.find_peer(name)
    present = context.voter.node.voters
    return next((one for one in present if group.get_process_name(one) == name), None)


def _build_accepted(context: calls.CallContext) -> Document:
    accepted = documents.encode_outcome(
        outcomes.Accepted(context.voter.machine.version)
    )
    return {**accepted, "voters": list(context.voter.node.voters)}


def _proceed_with_voter_change(
    call: calls.Call, result: voters.Result, context: calls.CallContext
) -> calls.Step:
    """Change the voters once the log has the disk; a repeat may be done already."""
    if isinstance(result, voters.Refused):
        if result.code == codes.CHANGE_IN_FLIGHT:
            return calls.Wait()
        if ALREADY_IN_EFFECT.get(result.code) == _get_change_name(call.state):
            return replies.reply_outcome(_build_accepted(context))
        return replies.reply_rejected(
            result.code, f"the voters were not changed: {result.code}"
        )
    document = result.document
    if not document:
        return replies.reply_outcome(_build_accepted(context))
    if document["change"] == "add":
        return events.ChangeVoters(call.token, add=document["voter"])
    return events.ChangeVoters(call.token, remove=document["voter"])


def _get_change_name(value: typing.Any) -> str:
    return "add" if isinstance(value, voter_commands.AddVoter) else "remove"


def _answer_query(
    query: queries.Show | queries.History, context: calls.CallContext
) -> calls.Reply:
    state = context.voter.machine.configuration
    if isinstance(query, queries.History):
        return replies.reply({"rows": rows.list_history(state, query.limit)})
    build = rows.SUBJECTS.get(query.subject)
    if build is None:
        return replies.reply_failure(errors.Failure("unknown_request", ASK_A_ROUTER))
    found = queries.select_rows(build(state, context.status()), query)
    return replies.reply({"rows": found})


@calls.register
class Status(calls.Kind):
    """The status document, current as confirmed by a quorum."""

    name = "status"

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        return events.Read(call.token)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        return replies.reply(context.status())

    def time_out(self, call: calls.Call) -> Document:
        failure = errors.Failure("control_unavailable", UNAVAILABLE)
        return replies.reply_failure(failure).document


@calls.register
class Pull(calls.Kind):
    """A router's pull of the configuration, current as confirmed by a quorum.

    The document has the router's ``version``; the reply has the fields of an update, or
    is empty if the configuration was not confirmed.
    """

    name = "pull"

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        return events.Read(call.token)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        state = context.voter.machine.configuration
        update = distribution.encode_update(state, call.document["version"])
        return calls.Reply(dataclasses.asdict(update))

    def time_out(self, call: calls.Call) -> Document:
        return {}


@calls.register
class Claim(calls.Kind):
    """A router's event on a claim.

    The document is the event's and the reply the outcome's. The reply is empty if the
    event was not confirmed; then the router must not send the request.
    """

    name = "claim"

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        event = {key: value for key, value in call.document.items() if key != "call"}
        try:
            claim_documents.decode_event(event)
        except exceptions.InvalidDocument:
            return calls.Reply({})
        payload = machine.encode_entry(machine.CLAIM, context.wall, event)
        return events.Propose(call.token, payload)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if isinstance(result, voters.Applied):
            return calls.Reply(result.document)
        return calls.Reply({})

    def time_out(self, call: calls.Call) -> Document:
        return {}


@calls.register
class Lookup(calls.Kind):
    """A router's lookup of the claim of a key, before it answers "not run".

    The answer comes from the committed state after a confirmed read, without a log
    entry. The document is the lookup's and the reply the outcome's. The reply is empty
    if no quorum confirmed the read in time, since the router has given up by then.
    """

    name = "look"
    seconds = LOOKUP_TIMEOUT_SECONDS

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        fields = {key: value for key, value in call.document.items() if key != "call"}
        try:
            call.state = claim_documents.decode_lookup(fields)
        except exceptions.InvalidDocument:
            return calls.Reply({})
        return events.Read(call.token)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if not isinstance(result, voters.Current):
            return calls.Reply({})
        lookup = call.state
        outcome = claim_machine.find(
            context.voter.machine.claims,
            lookup.workspace,
            lookup.key,
            lookup.fingerprint,
            context.wall,
        )
        return calls.Reply(claim_documents.encode_outcome(outcome))

    def time_out(self, call: calls.Call) -> Document:
        return {}
