"""The control process's core: its voter, its calls, and the updates of routers.

Messages are queued and passed to the voter together in the next turn, so that one sync
makes all events of a turn durable. Each turn also answers calls, pushes configurations
to routers, and sends notices to other control processes.
"""

import collections
import typing
from collections import abc

from trestlestall.agreement import actions, events as agreement_events
from trestlestall.daemon import environment, logs, settings as process_settings
from trestlestall.daemon.control import (
    arrivals,
    calls,
    distribution,
    envelopes,
    group,
    journal as journals,
    operations,
    placing,
    reports,
    voter as voters,
)
from trestlestall.wire import messages

NOTICE_INTERVAL_SECONDS = 0.5
# Two heartbeats: the quorum rounds of pulls then coincide with heartbeats, which are
# sent in any case.
PULL_INTERVAL_SECONDS = 0.4
VOTER_ROUNDS_LIMIT = 100
REDIRECTED_ATTEMPTS_LIMIT = 1000

Document = dict[str, typing.Any]
Reply = abc.Callable[[Document], object]
Send = abc.Callable[[str, typing.Any], bool]


class Server:
    """One control process between its links and its folder; the caller calls ``turn``.

    ``wake`` is called when something has arrived that a turn should handle.
    """

    def __init__(
        self,
        settings: process_settings.ControlSettings,
        env: environment.Environment,
        log: logs.Log,
        journal: journals.Journal,
        identity: str,
        links: typing.Any,
        wake: abc.Callable[[], object],
    ):
        self.settings = settings
        self.own = group.format_voter_name(settings.name, identity)
        self.voter: voters.Voter | None = None
        self.distributor = distribution.Distributor()
        self.links = links
        self._env = env
        self.report = reports.Reporter(log)
        self._journal = journal
        self._wake = wake
        self._calls = calls.Calls(self._forward_call)
        self._inbox: collections.deque[agreement_events.Event] = collections.deque()
        self._results: list[tuple[int, voters.Result]] = []
        self._notices: dict[str, group.Notice] = {}
        self._notices_sent_at = float("-inf")
        self._handing_over = False
        self._pulls: list[arrivals.Pull] = []
        self._pulled_at = float("-inf")
        self._redirected: dict[tuple[str, typing.Any], None] = {}
        self._dialled_changes: abc.Mapping[str, Document] = {}
        self.placing = placing.Placing(self, env.clock, log, wake)
        if journal.group is not None:
            self._start_voter(journal.group)

    # For the process, the HTTP endpoints and the handlers of messages.

    @property
    def leader(self) -> str | None:
        """The name of the process that leads, None if unknown."""
        if self.voter is None or self.voter.node.leader is None:
            return None
        return group.get_process_name(self.voter.node.leader)

    @property
    def is_idle(self) -> bool:
        """Whether no call is open and no leadership handover is in progress."""
        if self._handing_over and self.leader in (None, self.settings.name):
            return False
        return not len(self._calls)

    def hand_over(self) -> None:
        """Begin to transfer the leadership before a planned stop, if this one leads."""
        if self.voter is None or not self.voter.leads:
            return
        self._handing_over = len(self.voter.node.voters) > 1
        self.enqueue_event(agreement_events.TransferLeader())
        self._wake()

    def open_call(
        self, kind: str, document: Document, reply: Reply, forwarded: bool = False
    ) -> None:
        """Open a call; ``reply`` gets the reply's document in a later turn."""
        if kind == operations.Operate.name:
            reply = self.report.wrap_reply(document, reply)
        now = self._env.clock.monotonic()
        self._calls.open(kind, document, reply, now, forwarded)
        self._wake()

    def handle_message(self, peer: str, message: typing.Any) -> None:
        """Handle a message from a link."""
        if arrivals.handle(self, peer, message):
            self._wake()

    def handle_link_change(self, peer: str, linked: bool) -> None:
        """Handle a link that opened or closed."""
        self.report.log_link_change(peer, linked)
        self.distributor.remove_router(peer)
        self.placing.remove_router(peer)
        if linked:
            self._send_notice(peer)
        else:
            self._notices.pop(peer, None)
        self._wake()

    def record_notice(self, peer: str, notice: group.Notice) -> None:
        """Record the newest notice of another control process."""
        self._notices[peer] = notice

    def enqueue_event(self, event: agreement_events.Event) -> None:
        """Queue an event for the voter's next turn, if there is a voter."""
        if self.voter is not None:
            self._inbox.append(event)

    def report_lost_disk(self, received: envelopes.VoterMessage) -> None:
        """Respond to a message that was for a former disk of this host."""
        lost = envelopes.find_lost_disk(self.own, received)
        if lost is not None:
            self._send(received.sender, lost)

    def handle_reply(self, token: int, peer: str, document: Document) -> None:
        """Handle the leader's reply to a forwarded call."""
        now = self._env.clock.monotonic()
        self._calls.handle_reply(token, peer, document, now)

    def should_redirect(self, router: str, call: messages.ClaimCall) -> bool:
        """Return whether to redirect the router to the leader, once per attempt."""
        attempt = (router, call.fields.get("attempt"))
        leads = self.voter is not None and self.voter.leads
        if self.leader is None or leads or attempt in self._redirected:
            return False
        self._redirected[attempt] = None
        if len(self._redirected) > REDIRECTED_ATTEMPTS_LIMIT:
            del self._redirected[next(iter(self._redirected))]
        return True

    def queue_pull(self, pull: arrivals.Pull) -> None:
        """Queue a router's pull; a router without a version doesn't wait for others."""
        self._pulls.append(pull)
        if pull.version == 0:
            self._pulled_at = float("-inf")

    def turn(self) -> None:
        """Do everything that is due."""
        now = self._env.clock.monotonic()
        self._establish_group(now)
        if self.voter is None:
            self._calls.expire(now)
            return
        self._open_pulls(now)
        context = self._make_context()
        self._inbox.extend(self._calls.advance(context, self.leader, now))
        for _ in range(VOTER_ROUNDS_LIMIT):
            batch = list(self._inbox)
            self._inbox.clear()
            # Each round may take a sync.
            now = self._env.clock.monotonic()
            self.voter.turn(batch, now)
            self._process_results(context, now)
            if not self._inbox:
                break
        self.placing.turn(self.voter, now)
        self._dial_added_voters()
        self._push(now)
        self.report.log_changes(self, now)

    def describe(self) -> Document:
        """Return the status document as known to this process."""
        now = self._env.clock.monotonic()
        return reports.describe(self, self._notices, now)

    # The voter.

    def _start_voter(self, initial_voters: tuple[str, ...]) -> None:
        effects = voters.Effects(self._send, self._collect_result, self._handle_action)
        member = initial_voters if self.own in initial_voters else ()
        seed = self._env.random.getrandbits(64)
        self.voter = voters.Voter(self.own, member, self._journal, seed, effects)

    def _establish_group(self, now: float) -> None:
        """Send notices to the others; form or join the group once it is known."""
        if self.voter is None:
            notices = self._notices.values()
            initial_voters = group.find_group(self.own, self.settings.voters, notices)
            if initial_voters is not None:
                self._journal.save_group(initial_voters)
                self._start_voter(initial_voters)
                self._notices_sent_at = float("-inf")
        if (
            now - self._notices_sent_at >= NOTICE_INTERVAL_SECONDS
            and self._has_ungrouped_peer()
        ):
            self._notices_sent_at = now
            for peer in self.links.linked():
                self._send_notice(peer)

    def _has_ungrouped_peer(self) -> bool:
        """Return whether a control process may not know the group yet."""
        if self.voter is None:
            return True
        return any(notice.group is None for notice in self._notices.values())

    def _send_notice(self, peer: str) -> None:
        if not self.links.is_control(peer):
            return
        notice = group.Notice(self.own, self._journal.group)
        self.links.send(peer, envelopes.wrap(self.own, peer, notice))

    def _send(self, to: str, message: typing.Any) -> None:
        envelope = envelopes.wrap(self.own, to, message)
        self.links.send(group.get_process_name(to), envelope)

    def _collect_result(self, token: typing.Hashable, result: voters.Result) -> None:
        self._results.append((typing.cast(int, token), result))

    def _process_results(self, context: calls.CallContext, now: float) -> None:
        results, self._results = self._results, []
        for token, result in results:
            self.placing.handle_result(token, result)
            self._inbox.extend(self._calls.handle_result(token, result, context, now))

    def _handle_action(self, action: actions.Action) -> None:
        self.report.log_action(action, self.voter)

    # Calls and routers.

    def _make_context(self) -> calls.CallContext:
        return calls.CallContext(
            self.voter,
            self._env.clock.wall(),
            self.describe,
            self._find_peer,
            self.links.dial,
        )

    def _find_peer(self, name: str) -> str | None:
        notice = self._notices.get(name)
        return notice.voter if notice is not None else None

    def _open_pulls(self, now: float) -> None:
        if now - self._pulled_at < PULL_INTERVAL_SECONDS:
            return
        self._pulled_at = now
        pulls, self._pulls = self._pulls, []
        for pull in pulls:
            document = {"version": pull.version}
            self._calls.open(operations.Pull.name, document, pull.reply, now)

    def _forward_call(self, peer: str, token: int, document: Document) -> bool:
        return self.links.send(peer, messages.Submit(token, document))

    def _dial_added_voters(self) -> None:
        """Open links to the voters that were added by commands."""
        changes = self.voter.machine.voter_changes
        if changes is self._dialled_changes:
            return
        self._dialled_changes = changes
        for change in changes.values():
            if change["address"] is not None:
                name = group.get_process_name(change["voter"])
                self.links.dial(name, change["address"])

    def _push(self, now: float) -> None:
        state = self.voter.machine.configuration
        for push in self.distributor.collect_due_pushes(state, self.voter.leads, now):
            self.links.send(push.router, push.message)
