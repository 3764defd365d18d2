"""Handlers of the messages from a control process's links, registered by type."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from trestlestall.agreement import events
from trestlestall.daemon.control import calls, envelopes, group, operations
from trestlestall.wire import messages

if typing.TYPE_CHECKING:
    from trestlestall.daemon.control import server as servers

NOT_LEADER = "not_leader"

Document = dict[str, typing.Any]
Reply = abc.Callable[[Document], object]


@dataclasses.dataclass(frozen=True)
class Pull:
    """A router's request for the newest configuration; the router has ``version``."""

    version: int
    reply: Reply


Handler = abc.Callable[["servers.Server", str, typing.Any], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of one type of message."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


def handle(server: servers.Server, peer: str, message: typing.Any) -> bool:
    """Pass a message to its handler; return whether there is one."""
    handler = HANDLERS.get(type(message))
    if handler is None:
        return False
    handler(server, peer, message)
    return True


@handles(messages.Agreement)
def handle_agreement(
    server: servers.Server, peer: str, message: messages.Agreement
) -> None:
    """Record a group notice, or enqueue a message to this disk's voter.

    The sender of a message to a former disk is told that it is lost.
    """
    received = envelopes.unwrap(peer, message)
    if received is None:
        return
    if isinstance(received.message, group.Notice):
        if received.message.voter == received.sender:
            server.record_notice(peer, received.message)
    elif received.to == server.own:
        server.enqueue_event(events.Receive(received.sender, received.message))
    else:
        server.report_lost_disk(received)


@handles(messages.Submit)
def handle_submit(server: servers.Server, peer: str, message: messages.Submit) -> None:
    """Open a call for an operator's request from a router, or a forwarded call."""
    document = dict(message.document)
    kind = document.pop("call", None)

    def reply(answer: Document) -> None:
        server.links.send(peer, messages.SubmitAnswer(message.token, answer))

    def reply_body(answer: Document) -> None:
        reply(answer["body"])

    if kind in calls.KINDS:
        server.open_call(kind, document, reply, forwarded=True)
        return
    # A router may send the request to several control processes; the default identifier
    # is the same at all of them.
    request = operations.read_request(document, f"{peer}-{message.token}")
    if isinstance(request, calls.Reply):
        reply_body(request.document)
    else:
        server.open_call(operations.Operate.name, request, reply_body)


@handles(messages.SubmitAnswer)
def handle_submit_answer(
    server: servers.Server, peer: str, message: messages.SubmitAnswer
) -> None:
    """Handle the leader's reply to a forwarded call."""
    server.handle_reply(message.token, peer, dict(message.document))


@handles(messages.StatusCall)
def handle_status_call(
    server: servers.Server, peer: str, message: messages.StatusCall
) -> None:
    """Answer a router with the status, or with the failure of confirming it."""

    def reply(answer: Document) -> None:
        server.links.send(peer, messages.StatusAnswer(message.token, answer["body"]))

    server.open_call(operations.Status.name, {}, reply)


@handles(messages.ClaimCall)
def handle_claim_call(
    server: servers.Server, peer: str, message: messages.ClaimCall
) -> None:
    """Open a call for a router's claim event or lookup; on a timeout it gets no answer.

    A process that doesn't lead redirects the router to the leader. If the router has no
    link to the leader, it repeats the call here, and only then the call is forwarded.
    """
    if server.should_redirect(peer, message):
        redirect = {"leader": server.leader}
        answered = messages.ClaimAnswer(message.token, NOT_LEADER, redirect)
        server.links.send(peer, answered)
        return

    def reply(answer: Document) -> None:
        kind = answer.pop("kind", None)
        if kind is not None:
            answered = messages.ClaimAnswer(message.token, kind, answer)
            server.links.send(peer, answered)

    if message.kind == operations.Lookup.name:
        server.open_call(operations.Lookup.name, dict(message.fields), reply)
        return
    document = {**message.fields, "kind": message.kind}
    server.open_call(operations.Claim.name, document, reply)


@handles(messages.ConfigurationPull)
def handle_pull(
    server: servers.Server, peer: str, message: messages.ConfigurationPull
) -> None:
    """Answer a router with the configuration that a quorum confirms.

    Routers with a version pull repeatedly to confirm that it is still the newest; they
    are answered together, so that they share one quorum round. A process that doesn't
    lead also redirects the router to the leader for its next pulls.
    """

    def reply(answer: Document) -> None:
        if "document" in answer:
            server.links.send(peer, messages.ConfigurationFull(**answer))
        elif answer:
            server.links.send(peer, messages.ConfigurationDelta(**answer))

    server.queue_pull(Pull(message.version, reply))
    if server.leader not in (None, server.settings.name):
        redirect = {"leader": server.leader}
        server.links.send(peer, messages.ClaimAnswer(0, NOT_LEADER, redirect))


@handles(messages.ConfigurationAck)
def handle_acknowledgement(
    server: servers.Server, peer: str, message: messages.ConfigurationAck
) -> None:
    """Record the version that is in force on a router."""
    server.distributor.record_acknowledgement(peer, message.version)
