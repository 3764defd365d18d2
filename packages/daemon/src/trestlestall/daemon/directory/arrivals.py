"""Handlers of the messages from a directory's links, registered by message type."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.agreement import events as agreement_events
from trestlestall.daemon.control import calls, envelopes, group, machine as machines
from trestlestall.wire import (
    directory_messages,
    messages,
    stream_messages,
    tunnel_messages,
)

if typing.TYPE_CHECKING:
    from trestlestall.daemon.directory import server as servers

#: Messages after which the voter needs a turn.
VOTER_MESSAGES = (
    messages.Agreement,
    messages.Submit,
    messages.SubmitAnswer,
    directory_messages.Roster,
)

Document = dict[str, typing.Any]
Handler = abc.Callable[["servers.Server", str, typing.Any], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of one type of message."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


def handle(server: servers.Server, peer: str, message: typing.Any) -> bool:
    """Pass a message to its handler; return whether the voter needs a turn."""
    handler = HANDLERS.get(type(message))
    if handler is not None:
        handler(server, peer, message)
    return type(message) in VOTER_MESSAGES


@handles(messages.Agreement)
def handle_agreement(
    server: servers.Server, peer: str, message: messages.Agreement
) -> None:
    """Handle a group notice, or enqueue a message to this disk's voter.

    The sender of a message to a former disk is told that it is lost.
    """
    opened = envelopes.unwrap(peer, message)
    if opened is None:
        return
    if isinstance(opened.message, group.Notice):
        if opened.message.voter == opened.sender:
            server.members.record_notice(peer, opened.message)
    elif opened.to == server.own:
        server.enqueue_event(agreement_events.Receive(opened.sender, opened.message))
    else:
        server.report_lost_disk(opened)


@handles(messages.Submit)
def handle_call(server: servers.Server, peer: str, message: messages.Submit) -> None:
    """Open a call that another directory forwarded."""
    document = dict(message.document)
    kind = document.pop("call", None)
    if kind not in calls.KINDS:
        return

    def reply(answer: Document) -> None:
        server.links.send(peer, messages.SubmitAnswer(message.token, answer))

    server.open_call(kind, document, reply, forwarded=True)


@handles(messages.SubmitAnswer)
def handle_reply(
    server: servers.Server, peer: str, message: messages.SubmitAnswer
) -> None:
    """Handle the leader's reply to a forwarded call."""
    server.handle_reply(message.token, peer, dict(message.document))


@handles(directory_messages.Roster)
def handle_roster(
    server: servers.Server, peer: str, message: directory_messages.Roster
) -> None:
    """Add the directories that a peer lists."""
    server.add_directories(message.directories)


@handles(directory_messages.Announced)
def handle_announced(
    server: servers.Server, peer: str, message: directory_messages.Announced
) -> None:
    """Merge rows of upstreams from another directory."""
    server.registrations.handle_announced(peer, message)


@handles(directory_messages.UpstreamVersions)
def handle_versions(
    server: servers.Server, peer: str, message: directory_messages.UpstreamVersions
) -> None:
    """Merge versions of upstreams from another directory."""
    server.registrations.handle_versions(message)


@handles(directory_messages.VersionProposed)
def handle_proposed(
    server: servers.Server, peer: str, message: directory_messages.VersionProposed
) -> None:
    """Record a version that another directory is about to let serve."""
    server.registrations.handle_proposed(peer, message)


@handles(messages.NotUnderstood)
def handle_not_understood(
    server: servers.Server, peer: str, message: messages.NotUnderstood
) -> None:
    """Handle the answer of an earlier build to a message that it does not know."""
    if server.links.is_directory(peer):
        server.registrations.handle_not_understood(peer, message.name)
        server.retry_budget.handle_not_understood(peer, message.name)


@handles(stream_messages.StreamsBegan)
def handle_streams_began(
    server: servers.Server, peer: str, message: stream_messages.StreamsBegan
) -> None:
    """Keep which software began streams."""
    server.stream_registry.handle_began(message)


@handles(stream_messages.StreamCall)
def answer_stream_call(
    server: servers.Server, peer: str, message: stream_messages.StreamCall
) -> None:
    """Tell a gateway which software began a stream."""
    server.stream_registry.answer(peer, message)


@handles(stream_messages.HeardCall)
def answer_heard_call(
    server: servers.Server, peer: str, message: stream_messages.HeardCall
) -> None:
    """Tell a gateway when an upstream last announced itself."""
    server.registrations.answer_heard(peer, message)


@handles(directory_messages.AnnouncedAnswer)
def handle_announced_answer(
    server: servers.Server, peer: str, message: directory_messages.AnnouncedAnswer
) -> None:
    """Count another directory's confirmation of rows."""
    server.registrations.handle_answer(peer, message)


@handles(directory_messages.DeclarationPull)
def send_declaration(
    server: servers.Server, peer: str, message: directory_messages.DeclarationPull
) -> None:
    """Send the newest configuration to a gateway that asks."""
    newest = machines.NO_DECLARATION
    if server.voter is not None:
        newest = server.voter.machine.declaration
    if newest.version:
        answer = directory_messages.DeclarationDocument(newest.version, newest.packed)
        server.links.send(peer, answer)


@handles(directory_messages.PlaceCall)
def handle_place_call(
    server: servers.Server, peer: str, message: directory_messages.PlaceCall
) -> None:
    """Choose an upstream for a gateway's request."""
    server.scheduler.place(peer, message)


@handles(directory_messages.PlaceWithdrawn)
def handle_place_withdrawn(
    server: servers.Server, peer: str, message: directory_messages.PlaceWithdrawn
) -> None:
    """Record that a placed request was not sent to its upstream."""
    server.scheduler.handle_withdrawn(peer, message)


@handles(directory_messages.PlaceNote)
def handle_place_note(
    server: servers.Server, peer: str, message: directory_messages.PlaceNote
) -> None:
    """Record the progress or outcome of a placed request."""
    server.scheduler.handle_note(peer, message)
    server.duties.usage.handle_start(peer, message.start)


@handles(directory_messages.PlaceState)
def handle_place_state(
    server: servers.Server, peer: str, message: directory_messages.PlaceState
) -> None:
    """Replace what is known of a gateway's running requests."""
    server.scheduler.handle_state(peer, message)


@handles(directory_messages.RetryCounts)
def handle_retry_counts(
    server: servers.Server, peer: str, message: directory_messages.RetryCounts
) -> None:
    """Merge another directory's counts of requests and retries, and answer them."""
    server.retry_budget.handle_counts(peer, message)


@handles(directory_messages.RetryCountsAnswer)
def handle_retry_counts_answer(
    server: servers.Server, peer: str, message: directory_messages.RetryCountsAnswer
) -> None:
    """Record that another directory acknowledged the retries granted here."""
    server.retry_budget.handle_answer(peer, message)
    server.scheduler.place_pending()


@handles(directory_messages.Spent)
def handle_spent(
    server: servers.Server, peer: str, message: directory_messages.Spent
) -> None:
    """Merge the counts of a directory of an earlier build."""
    server.retry_budget.handle_spent(peer, message)


@handles(directory_messages.SpentCall)
def answer_spent_call(
    server: servers.Server, peer: str, message: directory_messages.SpentCall
) -> None:
    """Send a directory of an earlier build all counts of the retry window."""
    server.retry_budget.answer(peer, message)


@handles(directory_messages.SpentAnswer)
def handle_spent_answer(
    server: servers.Server, peer: str, message: directory_messages.SpentAnswer
) -> None:
    """Record what a directory of an earlier build has acknowledged."""
    server.retry_budget.ledger.record_acknowledgement(peer, message.granted)
    server.scheduler.place_pending()


@handles(directory_messages.Crashed)
def handle_crashed(
    server: servers.Server, peer: str, message: directory_messages.Crashed
) -> None:
    """Record upstreams that crashed while requests ran there."""
    server.quarantine.handle_crashes(peer, message)


@handles(directory_messages.PartsCrashed)
def handle_parts_crashed(
    server: servers.Server, peer: str, message: directory_messages.PartsCrashed
) -> None:
    """Record which parts of prompts were present where upstreams crashed."""
    server.part_quarantine.handle(peer, message)
    server.quarantine.record.record_explained(
        server.part_quarantine.record.list_attributed()
    )


@handles(directory_messages.RateLimits)
def handle_rate_limits(
    server: servers.Server, peer: str, message: directory_messages.RateLimits
) -> None:
    """Record advertised limits, and requests sent to upstreams that have one."""
    server.advertised_limits.handle_limits(peer, message)


@handles(directory_messages.BrittleUpstreams)
def handle_brittle_upstreams(
    server: servers.Server, peer: str, message: directory_messages.BrittleUpstreams
) -> None:
    """Record upstreams that survive few rejections, and what they rejected."""
    server.brittle_upstreams.handle(peer, message)


@handles(directory_messages.Speeds)
def handle_speeds(
    server: servers.Server, peer: str, message: directory_messages.Speeds
) -> None:
    """Accept learned prefill speeds from a directory that places or placed requests."""
    server.speed_exchange.handle_speeds(peer, message)


@handles(directory_messages.Replaced)
def handle_replaced(
    server: servers.Server, peer: str, message: directory_messages.Replaced
) -> None:
    """Handle a gateway's report that an upstream was replaced at its address."""
    server.registrations.handle_replaced(message)


@handles(directory_messages.Starts)
def handle_starts(
    server: servers.Server, peer: str, message: directory_messages.Starts
) -> None:
    """Merge counts of requests that started."""
    server.duties.usage.handle_starts(peer, message)


@handles(directory_messages.StartsCall)
def answer_starts_call(
    server: servers.Server, peer: str, message: directory_messages.StartsCall
) -> None:
    """Send another directory the counts of requests that started."""
    server.duties.usage.answer(peer, message)


@handles(directory_messages.Demand)
def handle_demand(
    server: servers.Server, peer: str, message: directory_messages.Demand
) -> None:
    """Record the load that another directory reports."""
    server.duties.demands.handle_demand(peer, message, server.now())


@handles(tunnel_messages.PeerOffer)
def handle_peer_offer(
    server: servers.Server, peer: str, message: tunnel_messages.PeerOffer
) -> None:
    """Record where a gateway opens tunnels for others."""
    server.peer_registry.record_offer(peer, message)


@handles(tunnel_messages.PeersCall)
def answer_peers_call(
    server: servers.Server, peer: str, message: tunnel_messages.PeersCall
) -> None:
    """Name peers to a gateway that can't reach some upstreams."""
    server.peer_registry.answer(peer, message)
