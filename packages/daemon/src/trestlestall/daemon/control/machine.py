"""The replicated state machine of the control voters; pure.

Every voter applies the same committed entries in the same order, so all have equal
states. An entry is CBOR ``[kind, at, document]``; ``at`` is the wall clock of the
leader that proposed it, in seconds since the epoch. There are six kinds of entries:
operators' submissions, routers' claim events, changes of voters, placement events,
complete configurations that an operator declares, and duty events.

    payload = machine.encode_entry(machine.SUBMISSION, 12.5, document)
    state, outcome = machine.apply(state, payload)
"""

import dataclasses
import typing
from collections import abc

import cbor2

from trestlestall.claims import claims as claim_machine, documents as claim_documents
from trestlestall.configuration import documents, state as states
from trestlestall.duties import state as duty_states
from trestlestall.placement import documents as order_documents, orders

FORMAT = 1
SUBMISSION = "submission"
CLAIM = "claim"
VOTERS = "voters"
PLACEMENT = "placement"
DECLARATION = "declaration"
DUTY = "duty"
VOTER_ANSWERS = 1000

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Declaration:
    """A complete configuration with the operator's own version, compressed by zlib."""

    version: int = 0
    packed: bytes = b""


NO_DECLARATION = Declaration()


@dataclasses.dataclass(frozen=True)
class Machine:
    """The state after all entries so far.

    ``voter_changes`` maps the request identifiers of the newest ``VOTER_ANSWERS``
    changes of voters to the documents of their entries.
    """

    configuration: states.State = states.EMPTY
    claims: claim_machine.Claims = claim_machine.EMPTY
    voter_changes: abc.Mapping[str, Document] = dataclasses.field(default_factory=dict)
    placement: orders.Orders = orders.EMPTY
    declaration: Declaration = NO_DECLARATION
    duties: duty_states.State = duty_states.EMPTY

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration.configuration.version


EMPTY = Machine()
Apply = abc.Callable[[Machine, float, Document], tuple[Machine, Document]]
KINDS: dict[str, Apply] = {}


def register(kind: str) -> abc.Callable[[Apply], Apply]:
    """Return a decorator that registers the function to apply entries of a kind."""

    def decorate(function: Apply) -> Apply:
        KINDS[kind] = function
        return function

    return decorate


def encode_entry(kind: str, at: float, document: Document) -> bytes:
    """Return an entry's payload."""
    return cbor2.dumps([kind, at, document])


def apply(machine: Machine, payload: bytes) -> tuple[Machine, Document]:
    """Return the state machine after the entry, and the document of its outcome."""
    kind, at, document = cbor2.loads(payload)
    return KINDS[kind](machine, at, document)


@register(SUBMISSION)
def apply_submission(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Apply an operator's submission; a repeated one gets its recorded outcome."""
    submission = documents.decode_submission(document)
    after, outcome = states.apply_submission(machine.configuration, submission, at)
    changed = dataclasses.replace(machine, configuration=after)
    return changed, documents.encode_outcome(outcome)


@register(CLAIM)
def apply_claim(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Apply a router's event on a claim."""
    event = claim_documents.decode_event(document)
    after, outcome = claim_machine.apply(machine.claims, event, at)
    changed = dataclasses.replace(machine, claims=after)
    return changed, claim_documents.encode_outcome(outcome)


@register(VOTERS)
def apply_voter_change(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Record which disk a change of voters refers to; a repeat refers to the same one.

    Otherwise a ``remove voter control-3`` that arrives twice could remove the disk that
    meanwhile replaced the lost one.
    """
    request_id = document["request_id"]
    known = machine.voter_changes.get(request_id)
    if known is not None:
        return machine, known
    changes = {**machine.voter_changes, request_id: document}
    newest = dict(list(changes.items())[-VOTER_ANSWERS:])
    return dataclasses.replace(machine, voter_changes=newest), document


@register(PLACEMENT)
def apply_placement(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Apply a placement event; one of an older term changes nothing."""
    event = order_documents.decode_event(document)
    after, outcome = orders.apply(machine.placement, event, at)
    changed = dataclasses.replace(machine, placement=after)
    return changed, order_documents.encode_outcome(outcome)


@register(DECLARATION)
def apply_declaration(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Accept a complete configuration if its version is the highest so far.

    One with a lower or the same version changes nothing, whatever its content.
    """
    newest = machine.declaration
    if document["version"] > newest.version:
        newest = Declaration(document["version"], document["packed"])
        machine = dataclasses.replace(machine, declaration=newest)
    return machine, {"newest": newest.version}


@register(DUTY)
def apply_duty(
    machine: Machine, at: float, document: Document
) -> tuple[Machine, Document]:
    """Apply a duty event: of the lease, fixed usage windows, or orders."""
    after, outcome = duty_states.apply(machine.duties, document)
    return dataclasses.replace(machine, duties=after), outcome


def encode(machine: Machine) -> bytes:
    """Return the state machine encoded for a snapshot.

    The fields of placement, declaration and duties are omitted while they are empty.
    Then the snapshot equals those of releases without these fields, which can read it.
    """
    document = {
        "format": FORMAT,
        "configuration": documents.encode_state(machine.configuration),
        "claims": claim_documents.encode(machine.claims),
        "voter_changes": dict(machine.voter_changes),
    }
    if machine.placement != orders.EMPTY:
        document[PLACEMENT] = order_documents.encode(machine.placement)
    if machine.declaration != NO_DECLARATION:
        document[DECLARATION] = dataclasses.asdict(machine.declaration)
    if machine.duties != duty_states.EMPTY:
        document[DUTY] = duty_states.encode(machine.duties)
    return cbor2.dumps(document)


def decode(data: bytes) -> Machine:
    """Return the state machine of a snapshot; raises ``InvalidDocument``."""
    document = cbor2.loads(data)
    placed = document.get(PLACEMENT)
    duties = document.get(DUTY)
    return Machine(
        documents.decode_state(document["configuration"]),
        claim_documents.decode(document["claims"]),
        document["voter_changes"],
        orders.EMPTY if placed is None else order_documents.decode(placed),
        Declaration(**document.get(DECLARATION, {})),
        duty_states.EMPTY if duties is None else duty_states.decode(duties),
    )
