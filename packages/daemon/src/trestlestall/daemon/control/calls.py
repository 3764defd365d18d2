"""Calls that need the voters' leader; each call gets exactly one reply.

The leader executes a call. Another process forwards the call over its link to the
leader; while there is no leader, the call waits. When the leader is lost the call is
retried. That is safe for every kind of call, since a submission is identified by its
request identifier and a claim by its attempt.

A call that is not answered in time gets the timeout reply of its kind. For a change it
says that the outcome is unknown, and that submitting it again returns the outcome.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.agreement import events
from trestlestall.daemon.control import voter as voters

# Shorter than the 5 s that a router waits for the answer to an operator's command.
CALL_TIMEOUT_SECONDS = 4.0
RETRY_INTERVAL_SECONDS = 0.2
FORWARD_RETRY_SECONDS = 2.0
OPEN_CALLS_LIMIT = 10_000

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class CallContext:
    """What executing a call may use: the voter, its peers, and the wall clock.

    ``wall`` is the time in seconds since the epoch, and ``status()`` returns the status
    document. ``find_peer(name)`` returns the voter name of a linked control process, or
    None; ``dial(name, address)`` opens a link to one.
    """

    voter: voters.Voter
    wall: float
    status: abc.Callable[[], Document]
    find_peer: abc.Callable[[str], str | None]
    dial: abc.Callable[[str, str], object]


@dataclasses.dataclass
class Call:
    """An open call.

    ``next_attempt_at`` is the time of the next attempt: infinite while the node of this
    process handles the call, since the node always answers. ``peer`` is the process
    that the call was forwarded to; ``forwarded`` says that another process forwarded it
    to this one. ``tried`` says whether the call may have had an effect. ``state`` is
    for the use of the call's kind.
    """

    token: int
    kind: "Kind"
    document: Document
    reply: abc.Callable[[Document], object]
    deadline: float
    forwarded: bool
    next_attempt_at: float = float("-inf")
    peer: str | None = None
    tried: bool = False
    state: typing.Any = None


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply that ends a call."""

    document: Document


@dataclasses.dataclass(frozen=True)
class Wait:
    """The call can't proceed yet and is begun again after the retry interval."""


Step: typing.TypeAlias = events.Event | Reply | Wait


class Kind:
    """How the leader executes calls of one kind; see ``operations``."""

    name = ""
    seconds = CALL_TIMEOUT_SECONDS

    def begin(self, call: Call, context: CallContext) -> Step:
        """Return the first step: an event with the call's token, a reply, or a wait."""
        raise NotImplementedError

    def proceed(self, call: Call, result: voters.Result, context: CallContext) -> Step:
        """Return the next step after a result: another event, a reply, or a wait."""
        raise NotImplementedError

    def time_out(self, call: Call) -> Document:
        """Return the reply of a call that no leader completed in time."""
        raise NotImplementedError


KINDS: dict[str, Kind] = {}


def register(kind: type[Kind]) -> type[Kind]:
    """Register a kind of call under its name; a class decorator."""
    KINDS[kind.name] = kind()
    return kind


class Calls:
    """The open calls by token.

    ``send_call(peer, token, document)`` forwards a call to the leader's process and
    returns whether there was a link.
    """

    def __init__(self, send_call: abc.Callable[[str, int, Document], bool]):
        self._send_call = send_call
        self._calls: dict[int, Call] = {}
        self._last_token = 0

    def __len__(self) -> int:
        return len(self._calls)

    def open(
        self,
        kind: str,
        document: Document,
        reply: abc.Callable[[Document], object],
        now: float,
        forwarded: bool = False,
    ) -> None:
        """Open a call; ``forwarded`` says that another process forwarded it."""
        self._last_token += 1
        operation = KINDS[kind]
        call = Call(
            self._last_token,
            operation,
            document,
            reply,
            now + operation.seconds,
            forwarded,
        )
        if len(self._calls) >= OPEN_CALLS_LIMIT:
            reply(operation.time_out(call))
            return
        self._calls[call.token] = call

    def advance(
        self, context: CallContext, leader: str | None, now: float
    ) -> list[events.Event]:
        """Time out calls, attempt those that are due, and return events for the node.

        ``leader`` is the process that leads, None if unknown.
        """
        self.expire(now)
        batch = []
        for call in list(self._calls.values()):
            if not _is_due(call, leader, now):
                continue
            if context.voter.leads:
                batch += self._apply_step(call, call.kind.begin(call, context), now)
            elif leader is not None and not call.forwarded:
                self._forward(call, leader, now)
            elif call.forwarded:
                self._finish(call, {"unsettled": True})
        return batch

    def handle_result(
        self, token: int, result: voters.Result, context: CallContext, now: float
    ) -> list[events.Event]:
        """Handle the node's result of a call's event; return the events that follow."""
        call = self._calls.get(token)
        if call is None:
            return []
        if isinstance(result, voters.Unresolved):
            self._wait(call, now)
            return []
        return self._apply_step(call, call.kind.proceed(call, result, context), now)

    def handle_reply(
        self, token: int, peer: str, document: Document, now: float
    ) -> None:
        """Handle the leader's reply to a call that was forwarded to it."""
        call = self._calls.get(token)
        if call is None or call.peer != peer:
            return
        if "unsettled" in document:
            self._wait(call, now)
        else:
            self._finish(call, document)

    def _apply_step(self, call: Call, step: Step, now: float) -> list[events.Event]:
        if isinstance(step, Reply):
            self._finish(call, step.document)
            return []
        if isinstance(step, Wait):
            self._wait(call, now)
            return []
        call.next_attempt_at = float("inf")
        call.peer = None
        call.tried = True
        return [step]

    def _forward(self, call: Call, leader: str, now: float) -> None:
        document = {**call.document, "call": call.kind.name}
        if self._send_call(leader, call.token, document):
            call.next_attempt_at = now + FORWARD_RETRY_SECONDS
            call.peer = leader
            call.tried = True

    def _wait(self, call: Call, now: float) -> None:
        """Schedule the next attempt of a call after the retry interval."""
        call.next_attempt_at = now + RETRY_INTERVAL_SECONDS
        call.peer = None

    def _finish(self, call: Call, document: Document) -> None:
        del self._calls[call.token]
        call.reply(document)

    def expire(self, now: float) -> None:
        """End the calls whose deadline has passed, with their timeout replies."""
        for call in list(self._calls.values()):
            if now >= call.deadline:
                self._finish(call, call.kind.time_out(call))


def _is_due(call: Call, leader: str | None, now: float) -> bool:
    """Return whether to attempt a call: it is due, or the leader has changed."""
    return now >= call.next_attempt_at or call.peer not in (None, leader)
