"""Handlers of messages from other processes, registered by the message's type."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.daemon.router import agreed, overview
from trestlestall.wire import messages

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

HANDLERS: dict[type, abc.Callable] = {}
# The kind of an answer from a control process that is not the leader.
REDIRECT = "not_leader"


def register_handler(message_type: type) -> abc.Callable:
    """Return a decorator that registers the handler of a message."""

    def register(function: abc.Callable) -> abc.Callable:
        HANDLERS[message_type] = function
        return function

    return register


def handle(router: process.Router, sender: str, message: object) -> None:
    """Handle one message; messages without a handler are dropped."""
    handler = HANDLERS.get(type(message))
    if handler is not None:
        handler(router, sender, message)


@register_handler(messages.ConfigurationFull)
def handle_full(
    router: process.Router, sender: str, message: messages.ConfigurationFull
) -> None:
    """Install a full configuration, and acknowledge it."""
    result = router.agreed.apply_full(message.version, message.document)
    router.acknowledge_configuration(sender, message.version, result)


@register_handler(messages.ConfigurationDelta)
def handle_delta(
    router: process.Router, sender: str, message: messages.ConfigurationDelta
) -> None:
    """Apply a delta of the configuration; request a full one if it doesn't fit."""
    result = router.agreed.apply_delta(
        message.since, message.version, message.submissions
    )
    if isinstance(result, agreed.Gap):
        router.mesh.send(sender, messages.ConfigurationPull(0))
    router.acknowledge_configuration(sender, message.version, result)


@register_handler(messages.ConfigurationPull)
def answer_pull(
    router: process.Router, sender: str, message: messages.ConfigurationPull
) -> None:
    """Send a peer router the configuration in force here, if it is newer."""
    if router.agreed.version > message.version:
        document = router.agreed.encode()
        answer = messages.ConfigurationFull(router.agreed.version, document)
        router.mesh.send(sender, answer)


@register_handler(messages.ClaimAnswer)
def handle_claim_answer(
    router: process.Router, sender: str, message: messages.ClaimAnswer
) -> None:
    """Handle control's answer to a claim, a finish, a release or a lookup."""
    if sender not in router.controls.names:
        return
    if message.kind == REDIRECT:
        # While no leader is known nothing is sent; the claim client retries by itself.
        if router.controls.record_redirect(message.fields.get("leader")):
            router.claim_client.redirect(message.token)
            router.lookups.redirect(message.token)
        return
    router.controls.record_leader(sender)
    fields = dict(message.fields)
    if not router.lookups.handle_answer(message.token, message.kind, fields):
        router.claim_client.handle_answer(message.token, message.kind, fields)


@register_handler(messages.SubmitAnswer)
def handle_submit_answer(
    router: process.Router, sender: str, message: messages.SubmitAnswer
) -> None:
    """Handle control's answer to an operator's text."""
    if sender in router.controls.names:
        router.submissions.handle_answer(message.token, dict(message.document))


@register_handler(messages.UpstreamRows)
def handle_rows(
    router: process.Router, sender: str, message: messages.UpstreamRows
) -> None:
    """Merge a peer router's rows of upstreams."""
    if sender in router.list_neighbours():
        router.members.merge(sender, message)


@register_handler(messages.UpstreamPull)
def answer_rows(
    router: process.Router, sender: str, message: messages.UpstreamPull
) -> None:
    """Send a peer router the rows that it lacks."""
    router.members.answer_pull(sender, message)


@register_handler(messages.Pressure)
def handle_pressure(
    router: process.Router, sender: str, message: messages.Pressure
) -> None:
    """Record which tiers a peer router reports as under pressure."""
    if sender in router.list_neighbours():
        now = router.env.clock.monotonic()
        router.board.note(sender, message.sequence, message.levels, now)
        router.views.invalidate()


@register_handler(messages.StatusCall)
def answer_status(
    router: process.Router, sender: str, message: messages.StatusCall
) -> None:
    """Send a peer the state of this router."""
    answer = messages.StatusAnswer(message.token, overview.describe(router))
    router.mesh.send(sender, answer)
