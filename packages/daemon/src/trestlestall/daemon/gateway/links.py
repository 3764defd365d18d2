"""A gateway's links to the directories, and the handlers of their messages."""

import contextlib
import random
import typing
from collections import abc

import eventlet

from trestlestall.daemon import events, logs, settings as process_settings
from trestlestall.daemon.gateway import (
    cached_view,
    crash_detection,
    peers as gateway_peers,
    placing as placings,
    questions,
    signal_tracker,
    stream_origins,
    usage as gateway_usage,
)
from trestlestall.wire import (
    clocks,
    directory_messages,
    links as wire_links,
    stream_messages,
    tunnel_messages,
)

GATEWAY = "router"
DIRECTORY = "control"
#: Interval at which a newer configuration is requested again, from any directory that
#: offers it.
PULL_RETRY_SECONDS = 0.3
#: Age that a link must reach before its directory is chosen as scheduler: a directory
#: that has just started must first receive which requests run where.
SETTLING_SECONDS = 1.0

Handler = abc.Callable[["Links", str, typing.Any], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of one type of message."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


class Links:
    """The mesh of links of one gateway."""

    def __init__(
        self,
        settings: process_settings.GatewaySettings,
        view: cached_view.CachedView,
        log: logs.Log,
        placing: placings.Placing,
        crash_detector: crash_detection.CrashDetector,
        signals: signal_tracker.UpstreamSignals,
        usage: gateway_usage.Usage,
        peers: gateway_peers.Peers,
        origins: stream_origins.StreamOrigins,
        asking: questions.Questions,
    ) -> None:
        self.peers = peers
        self.origins = origins
        self.questions = asking
        self.view = view
        self.placing = placing
        self.crash_detector = crash_detector
        self.signals = signals
        self.usage = usage
        self._log = log
        self._settings = settings
        self._offers: dict[str, int] = {}
        self._linked_at: dict[str, float] = {}
        self.mesh = wire_links.Mesh(
            settings.name,
            GATEWAY,
            settings.data_centre,
            settings.secrets.peers,
            str(settings.listen.peers),
            (),
            self._handle,
            self._on_link_change,
        )

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Maintain the links during the block; raises ``ListenError``."""
        self.placing.scheduler_client.send = self.mesh.send
        self.placing.scheduler_client.on_scheduler_changed = self.usage.send_all
        self.placing.scheduler_client.choose_scheduler = self._choose_scheduler
        self.usage.send = self.placing.scheduler_client.send_message
        self.usage.copy = self._send_copies
        self.crash_detector.broadcast = self.signals.broadcast = self._broadcast
        self.peers.broadcast = self._broadcast
        self.peers.send_one = self._send_one
        self.questions.send = self.mesh.send
        self.questions.list_directories = self.mesh.linked
        self.questions.wait_written = self.mesh.wait_written
        self.mesh.start()
        self.add_directories(map(str, self._settings.directories))
        pulling = eventlet.spawn(self._pull_periodically)
        try:
            yield
        finally:
            pulling.kill()
            self.mesh.stop()

    def add_directories(self, addresses: abc.Iterable[str]) -> None:
        """Link to these directories as well; a directory's name is its address."""
        for address in addresses:
            peer = wire_links.Peer(address, DIRECTORY, "", address)
            self.mesh.add_peer(peer)

    def record_offer(self, directory: str, version: int) -> None:
        """Record the version that a directory holds, and request it if it is newer."""
        self._offers[directory] = version
        if version > self.view.version:
            self.mesh.send(directory, directory_messages.DeclarationPull())

    def _pull_periodically(self) -> None:
        while True:
            eventlet.sleep(PULL_RETRY_SECONDS)
            self._choose_scheduler()
            newer = [
                directory
                for directory, version in self._offers.items()
                if version > self.view.version
            ]
            if newer:
                self.mesh.send(
                    random.choice(newer), directory_messages.DeclarationPull()
                )

    def _choose_scheduler(self) -> None:
        """Choose the settled directory with the lowest name, as all gateways do."""
        latest = clocks.read() - SETTLING_SECONDS
        settled = [
            name
            for name, since in self._linked_at.items()
            if since <= latest and not self.placing.scheduler_client.is_avoided(name)
        ]
        found = settled or list(self._linked_at)
        if found:
            self.placing.scheduler_client.set_scheduler(min(found))

    def _broadcast(self, message: typing.Any, excluded: str = "") -> None:
        for directory in self.mesh.linked():
            if directory != excluded:
                self.mesh.send(directory, message)

    def _send_one(self, message: typing.Any) -> None:
        """Send to any of the linked directories."""
        linked = sorted(self.mesh.linked())
        if linked:
            self.mesh.send(random.choice(linked), message)

    def _send_copies(self, message: typing.Any) -> None:
        """Send to some directories besides the scheduler.

        These are as many as may lose their disks without loss of the replicated log.
        """
        others = sorted(
            set(self._linked_at) - {self.placing.scheduler_client.scheduler}
        )
        for directory in others[: (len(self._linked_at) - 1) // 2]:
            self.mesh.send(directory, message)

    def _handle(self, directory: str, message: typing.Any) -> None:
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, directory, message)

    def _on_link_change(self, peer: str, linked: bool) -> None:
        if linked:
            self._linked_at.setdefault(peer, clocks.read())
            self.placing.scheduler_client.resend_state(peer)
            for message in (
                *self.crash_detector.report(),
                *self.signals.report(),
                *self.peers.report(),
            ):
                self.mesh.send(peer, message)
            self.origins.resend(peer)
        else:
            self._linked_at.pop(peer, None)
            self._offers.pop(peer, None)
        self._choose_scheduler()
        event = events.links.UP if linked else events.links.DOWN
        self._log.write(event, peer=peer)


@handles(directory_messages.Roster)
def handle_roster(
    links: Links, directory: str, message: directory_messages.Roster
) -> None:
    """Link to more directories."""
    links.add_directories(message.directories)


@handles(directory_messages.Announced)
def handle_rows(
    links: Links, directory: str, message: directory_messages.Announced
) -> None:
    """Merge rows of upstreams."""
    links.view.merge_plain_rows(message.rows, directory)


@handles(directory_messages.UpstreamVersions)
def handle_versions(
    links: Links, directory: str, message: directory_messages.UpstreamVersions
) -> None:
    """Merge versions of upstreams."""
    links.view.merge_plain_versions(message.pairs, directory)


@handles(directory_messages.DeclarationNotice)
def handle_declaration_notice(
    links: Links, directory: str, message: directory_messages.DeclarationNotice
) -> None:
    """Record that a directory offers a version of the configuration."""
    links.record_offer(directory, message.version)


@handles(directory_messages.DeclarationDocument)
def handle_declaration_document(
    links: Links, directory: str, message: directory_messages.DeclarationDocument
) -> None:
    """Apply a version of the configuration."""
    links.view.apply_declaration(message.version, message.packed, directory)


@handles(directory_messages.Crashed)
def handle_crashed(
    links: Links, directory: str, message: directory_messages.Crashed
) -> None:
    """Merge a report of upstreams that crashed while serving requests."""
    links.crash_detector.handle(message)


@handles(directory_messages.PartsCrashed)
def handle_parts_crashed(
    links: Links, directory: str, message: directory_messages.PartsCrashed
) -> None:
    """Merge a report of parts of prompts that upstreams crash on."""
    links.crash_detector.handle_parts(message)


@handles(directory_messages.PlaceAnswer)
def handle_place_answer(
    links: Links, directory: str, message: directory_messages.PlaceAnswer
) -> None:
    """Pass the scheduler's answer to the request that waits for it."""
    links.placing.scheduler_client.handle_answer(message)


@handles(stream_messages.StreamAnswer)
@handles(stream_messages.HeardAnswer)
def handle_stream_answer(
    links: Links,
    directory: str,
    message: stream_messages.StreamAnswer | stream_messages.HeardAnswer,
) -> None:
    """Pass an answer to the question that it belongs to."""
    links.questions.handle_answer(directory, message)


@handles(tunnel_messages.PeersAnswer)
def handle_peers_answer(
    links: Links, directory: str, message: tunnel_messages.PeersAnswer
) -> None:
    """Keep the peers that a directory named."""
    links.peers.handle_answer(directory, message)
