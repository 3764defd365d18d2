"""The directory's core: its voter, the calls, and what it tells the others.

Everything that arrives is queued, and ``turn`` handles it, so that all events of a turn
are made durable by one sync.
"""

import collections
import typing
from collections import abc

from trestlestall.agreement import actions, events as agreement_events, timing
from trestlestall.daemon import (
    dialects,
    environment,
    events,
    logs,
    settings as process_settings,
)
from trestlestall.daemon.control import (
    calls,
    envelopes,
    group,
    journal as journals,
    machine as machines,
    voter as voters,
)
from trestlestall.daemon.directory import (
    arbitration,
    links as directory_links,
    registrations,
    succession,
)
from trestlestall.wire import messages

#: Seconds between two notices while some directory may not know its group.
NOTICE_SECONDS = 0.2
#: Seconds between two rosters to everyone.
ROSTER_SECONDS = 2.0
#: Turns of the voter in one turn of the server: answers often cause new events.
ROUNDS = 8
#: A document of 4 MiB, the most that operators send, hardly ever grows when packed.
LIMITS = timing.Limits(payload_bytes=5 * 1024 * 1024)
#: Half of the usual times: directories are within one region, and gateways that start
#: again wait for a leader before they can serve. Still a hundred round trips and syncs.
TIMING = timing.Timing(election=0.5, heartbeat=0.1, first_election=0.2)
CHANGE = "change of voters"
#: The messages after which the voter has something to do.
VOTER_MESSAGES = (
    messages.Agreement,
    messages.Submit,
    messages.SubmitAnswer,
    messages.Roster,
)

Document = dict[str, typing.Any]
Handler = abc.Callable[["Server", str, typing.Any], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Return a decorator that makes the function handle one kind of message."""

    def enter(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return enter


class Server:
    """One directory; ``wake`` asks for a turn."""

    def __init__(
        self,
        settings: process_settings.DirectorySettings,
        env: environment.Environment,
        log: logs.Log,
        links: directory_links.Links,
        dialect: dialects.Dialect,
        wake: abc.Callable[[], object],
    ) -> None:
        self.own = links.own
        self.links = links
        self.voter: voters.Voter | None = None
        self.registrations = registrations.Registrations(
            links, log, self.count_voters, self._note_rows, env.clock.monotonic
        )
        self._settings = settings
        self._env = env
        self._log = log
        self._journal: journals.Journal | None = None
        self._wake = wake
        self._calls = calls.Calls(self._pass_on)
        self._inbox: collections.deque = collections.deque()
        self._results: list = []
        self._notices: dict[str, group.Notice] = {}
        self._sights: dict[str, succession.Sight] = {}
        self._first = tuple(map(str, settings.directories))
        self._known = set(self._first)
        self._noticed_at = float("-inf")
        self._roster_at = float("-inf")
        self._told_version = 0
        self.arbiter = arbitration.Arbiter(links, dialect, env.clock.monotonic)
        self._change: succession.Change | None = None

    # The disk.

    def start(self, journal: journals.Journal, identity: str) -> None:
        """Go on from what the disk holds."""
        self.own = group.join_voter(self.links.own, identity)
        self._journal = journal
        self._noticed_at = float("-inf")
        if journal.group is not None:
            self._start_voter(journal.group)

    def suspend(self) -> None:
        """Go on without a disk: nothing is voted, acknowledged or read as newest."""
        self._journal = None
        self.voter = None
        self._change = None
        self._inbox.clear()
        self._results.clear()

    def now(self) -> float:
        """Return the time on the monotonic clock, in seconds."""
        return self._env.clock.monotonic()

    # What the process asks and tells.

    @property
    def leader(self) -> str | None:
        """The directory that leads, as far as is known."""
        if self.voter is None or self.voter.node.leader is None:
            return None
        return group.find_name(self.voter.node.leader)

    @property
    def is_settled(self) -> bool:
        """Whether no call waits and no leadership is being handed over."""
        if self.voter is not None and self.voter.node.hands_over:
            return False
        return not len(self._calls)

    def _note_rows(self) -> None:
        self.arbiter.set_rows(self.registrations.table.rows.values())

    def count_voters(self) -> int:
        """Return how many directories vote, as far as is known here."""
        return len(self.voter.node.voters) if self.voter is not None else 0

    def hand_over(self) -> None:
        """Begin to hand the leadership to another directory, before a planned stop."""
        if self.voter is not None and self.voter.leads and self.count_voters() > 1:
            self._take_event(agreement_events.TransferLeader())

    def open_call(
        self, kind: str, document: Document, reply: abc.Callable[[Document], object]
    ) -> None:
        """Take a call; ``reply`` gets its document in some later turn."""
        self._calls.open(kind, document, reply, self._env.clock.monotonic())
        self._wake()

    def take_message(self, peer: str, message: typing.Any) -> None:
        """Take a message from a link."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, peer, message)
        if type(message) in VOTER_MESSAGES:
            self._wake()

    def take_settings(self, settings: process_settings.DirectorySettings) -> None:
        """Use what may change while the process runs."""
        self.add_directories(map(str, settings.directories))

    def add_directories(self, names: abc.Iterable[str]) -> None:
        """Keep links to these directories too, and tell everyone of them."""
        new = set(names) - self._known - {self.links.own}
        if new:
            self._known |= new
            self.links.add(sorted(new))
            self._roster_at = float("-inf")

    def note_link(self, peer: str, linked: bool) -> None:
        """Note that a link opened or ended."""
        event = events.links.UP if linked else events.links.DOWN
        self._log.write(event, peer=peer)
        if linked:
            self._greet(peer)
        else:
            self.arbiter.forget(peer)
            if peer in self._sights:
                self._see(peer, None, False)
        self._wake()

    def _greet(self, peer: str) -> None:
        self.registrations.send_all(peer)
        self._send_roster(peer)
        if self.links.is_directory(peer):
            self.add_directories((peer,))
            self._see(peer, None, True)
            self._send_notice(peer)
        elif self._told_version:
            self.links.send(peer, messages.DeclarationNotice(self._told_version))

    # A turn.

    def turn(self) -> None:
        """Do everything that is due."""
        now = self._env.clock.monotonic()
        self._settle_group(now)
        self._tell_roster(now)
        if self.voter is None:
            self._calls.expire(now)
            return
        here = self._make_here()
        self._inbox.extend(self._calls.advance(here, self.leader, now))
        for _ in range(ROUNDS):
            batch = list(self._inbox)
            self._inbox.clear()
            self.voter.turn(batch, now)
            self._note_results(here, now)
            if not self._inbox:
                break
        self._change_voters(now)
        self._tell_declaration()

    def _make_here(self) -> calls.Here:
        return calls.Here(
            self.voter,
            self._env.clock.wall(),
            dict,
            lambda name: None,
            lambda name, address: None,
        )

    def _note_results(self, here: calls.Here, now: float) -> None:
        results, self._results = self._results, []
        for token, result in results:
            if token == CHANGE:
                self._note_changed(result)
            else:
                self._inbox.extend(self._calls.note_result(token, result, here, now))

    # The voters.

    def _start_voter(self, first: tuple[str, ...]) -> None:
        effects = voters.Effects(self._send, self._take_result, self._note_action)
        member = first if self.own in first else ()
        seed = self._env.random.getrandbits(64)
        self.voter = voters.Voter(
            self.own, member, self._journal, seed, effects, TIMING, LIMITS
        )
        self._log.write(events.directory.GROUP_FORMED, voters=list(first), own=self.own)

    def _settle_group(self, now: float) -> None:
        """Tell the others who this is; form or join the group once it is known."""
        if self._journal is None:
            return
        if now - self._noticed_at >= NOTICE_SECONDS and self._has_unsettled_peer():
            self._noticed_at = now
            for peer in self.links.list_directories():
                self._send_notice(peer)
        if self.voter is not None:
            return
        first = self._find_group()
        if first is not None:
            self._journal.save_group(first)
            self._start_voter(first)
            self._noticed_at = float("-inf")

    def _find_group(self) -> tuple[str, ...] | None:
        notices = list(self._notices.values())
        if self._settings.founding and self._first:
            return group.find_group(self.own, self._first, notices)
        return next((notice.group for notice in notices if notice.group), None)

    def _has_unsettled_peer(self) -> bool:
        if self.voter is None:
            return True
        return any(notice.group is None for notice in self._notices.values())

    def _send_notice(self, peer: str) -> None:
        if self._journal is None:
            return
        notice = group.Notice(self.own, self._journal.group)
        self.links.send(peer, envelopes.seal(self.own, peer, notice))

    def take_notice(self, peer: str, notice: group.Notice) -> None:
        """Take what another directory says of itself."""
        self._notices[peer] = notice
        self._see(peer, notice.voter, True)

    def _see(self, peer: str, voter: str | None, linked: bool) -> None:
        known = self._sights.get(peer)
        changed = known is None or known.linked is not linked
        since = self._env.clock.monotonic() if changed else known.since
        if voter is None and known is not None:
            voter = known.voter
        self._sights[peer] = succession.Sight(voter, linked, since)

    def _change_voters(self, now: float) -> None:
        if not self.voter.leads or self._change is not None:
            return
        sights = self._list_sights(now)
        change = succession.find_change(self.own, self.voter.node.voters, sights, now)
        if change is None:
            return
        self._change = change
        self._log.write(
            events.directory.VOTER_CHANGE,
            add=change.add,
            remove=change.remove,
            reason=change.reason,
            voters=list(self.voter.node.voters),
        )
        event = agreement_events.ChangeVoters(CHANGE, change.add, change.remove)
        self._take_event(event)

    def _list_sights(self, now: float) -> dict[str, succession.Sight]:
        """Return the sights; a voter that was never seen is silent from now on."""
        for voter in self.voter.node.voters:
            name = group.find_name(voter)
            if voter != self.own and name not in self._sights:
                self._sights[name] = succession.Sight(voter, False, now)
                self.add_directories((name,))
        return self._sights

    def _note_changed(self, result: voters.Result) -> None:
        change, self._change = self._change, None
        if change is None:
            return
        self._log.write(
            events.directory.VOTER_CHANGE_ENDED,
            add=change.add,
            remove=change.remove,
            outcome=type(result).__name__,
            voters=list(self.voter.node.voters),
        )

    def _note_action(self, action: actions.Action) -> None:
        if isinstance(action, actions.BecameLeader):
            self._change = None
            now = self._env.clock.monotonic()
            # A link that ended before this one led tells nothing about how long.
            for name, sight in self._sights.items():
                if not sight.linked:
                    self._sights[name] = succession.Sight(sight.voter, False, now)
            names = list(self.voter.node.voters)
            self._log.write(events.agreement.ELECTED, term=action.term, voters=names)
        elif isinstance(action, actions.Deposed):
            self._change = None
            self._log.write(events.agreement.DEPOSED, term=action.term)

    def _take_event(self, event: agreement_events.Event) -> None:
        if self.voter is not None:
            self._inbox.append(event)
            self._wake()

    def _send(self, to: str, message: typing.Any) -> None:
        envelope = envelopes.seal(self.own, to, message)
        self.links.send(group.find_name(to), envelope)

    def _take_result(self, token: typing.Hashable, result: voters.Result) -> None:
        self._results.append((token, result))

    def _pass_on(self, peer: str, token: int, document: Document) -> bool:
        return self.links.send(peer, messages.Submit(token, document))

    # Telling others.

    def _tell_roster(self, now: float) -> None:
        if now - self._roster_at < ROSTER_SECONDS:
            return
        self._roster_at = now
        for peer in self.links.list_directories() + self.links.list_gateways():
            self._send_roster(peer)

    def _send_roster(self, peer: str) -> None:
        linked = (*self.links.list_directories(), self.links.own)
        count = len(self.links.list_gateways())
        self.links.send(peer, messages.Roster(linked, count))

    def _tell_declaration(self) -> None:
        """Tell the gateways of a new version, each directory for itself.

        A voter that starts again knows nothing until a leader tells it what is
        committed; that is not news.
        """
        newest = self.voter.machine.declaration
        if newest.version <= self._told_version:
            return
        self._log.write(
            events.directory.IN_FORCE,
            declaration=newest.version,
            previous=self._told_version,
            index=self.voter.node.commit_index,
            leader=self.leader,
        )
        self._told_version = newest.version
        self.arbiter.set_declaration(newest.packed)
        for gateway in self.links.list_gateways():
            self.links.send(gateway, messages.DeclarationNotice(newest.version))


@handles(messages.Agreement)
def take_agreement(server: Server, peer: str, message: messages.Agreement) -> None:
    """Take a notice, or a message for this disk's voter."""
    opened = envelopes.unseal(peer, message)
    if opened is None:
        return
    if isinstance(opened.message, group.Notice):
        if opened.message.voter == opened.sender:
            server.take_notice(peer, opened.message)
    elif opened.to == server.own:
        server._take_event(agreement_events.Receive(opened.sender, opened.message))


@handles(messages.Submit)
def take_call(server: Server, peer: str, message: messages.Submit) -> None:
    """Take a call that another directory passed on."""
    document = dict(message.document)
    kind = document.pop("call", None)
    if kind not in calls.KINDS:
        return

    def reply(answer: Document) -> None:
        server.links.send(peer, messages.SubmitAnswer(message.token, answer))

    now = server._env.clock.monotonic()
    server._calls.open(kind, document, reply, now, relayed=True)


@handles(messages.SubmitAnswer)
def take_reply(server: Server, peer: str, message: messages.SubmitAnswer) -> None:
    """Take the leader's reply to a call."""
    now = server._env.clock.monotonic()
    server._calls.note_reply(message.token, peer, dict(message.document), now)


@handles(messages.Roster)
def take_roster(server: Server, peer: str, message: messages.Roster) -> None:
    """Learn of more directories."""
    server.add_directories(message.directories)


@handles(messages.Announced)
def take_announced(server: Server, peer: str, message: messages.Announced) -> None:
    """Take rows of upstreams from another directory."""
    server.registrations.take(peer, message)


@handles(messages.AnnouncedAnswer)
def take_announced_answer(
    server: Server, peer: str, message: messages.AnnouncedAnswer
) -> None:
    """Take the confirmation of rows."""
    server.registrations.take_answer(peer, message)


@handles(messages.DeclarationPull)
def send_declaration(
    server: Server, peer: str, message: messages.DeclarationPull
) -> None:
    """Send the newest configuration to a gateway that asks."""
    newest = machines.NO_DECLARATION
    if server.voter is not None:
        newest = server.voter.machine.declaration
    if newest.version:
        answer = messages.DeclarationDocument(newest.version, newest.packed)
        server.links.send(peer, answer)


@handles(messages.PlaceCall)
def take_place_call(server: Server, peer: str, message: messages.PlaceCall) -> None:
    """Choose an upstream for a gateway's request."""
    server.arbiter.place(peer, message)


@handles(messages.PlaceNote)
def take_place_note(server: Server, peer: str, message: messages.PlaceNote) -> None:
    """Learn what became of a placed request."""
    server.arbiter.take_note(peer, message)


@handles(messages.PlaceState)
def take_place_state(server: Server, peer: str, message: messages.PlaceState) -> None:
    """Learn what a gateway has at upstreams."""
    server.arbiter.take_state(peer, message)


@handles(messages.Replaced)
def take_replaced(server: Server, peer: str, message: messages.Replaced) -> None:
    """Take a gateway's word that an upstream is gone."""
    server.registrations.take_report(message)
