"""The directory's core: its voter, its calls, and the state that it shares.

Events for the voter are queued and handled by ``turn``, so that one sync makes all
events of a turn durable.
"""

import collections
import contextlib
import typing
from collections import abc

from trestlestall.agreement import actions, events as agreement_events, timing
from trestlestall.daemon import (
    dialects,
    environment,
    events,
    logs,
    settings as process_settings,
    suspensions,
)
from trestlestall.daemon.control import (
    calls,
    envelopes,
    group,
    journal as journals,
    reports as control_reports,
    voter as voters,
)
from trestlestall.daemon.directory import (
    advertised_limits,
    arrivals,
    brittle_upstreams,
    broadcasts,
    duties,
    links as directory_links,
    members,
    metrics as directory_metrics,
    notices,
    part_quarantine,
    peer_registry,
    quarantine,
    quarantine_file,
    registrations,
    retry_budget,
    scheduling,
    speed_exchange,
    stream_registry,
)
from trestlestall.forwarding import budgets
from trestlestall.wire import messages

#: Most turns of the voter in one turn of the server: results often cause new events.
VOTER_ROUNDS_LIMIT = 8
#: The largest document that operators send has 4 MiB, and hardly ever grows when
#: compressed.
LIMITS = timing.Limits(payload_bytes=5 * 1024 * 1024)
#: Half of the default times: directories are within one region, and restarted gateways
#: can't serve before there is a leader. This still allows a hundred round trips and
#: syncs, and thirty for the first election; a vote takes two of each.
TIMING = timing.Timing(election=0.5, heartbeat=0.1, first_election=0.1)
CHANGE_TOKEN = "change of voters"
#: A turn whose syncs take longer is logged: peers take a silent leader for lost sooner.
SLOW_SYNC_SECONDS = 1.0

Document = dict[str, typing.Any]


class Server:
    """One directory; ``wake`` requests a turn."""

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
        self.output = env.stdout
        self.voter: voters.Voter | None = None
        self.registrations = registrations.Registrations(
            links,
            log,
            self.count_voters,
            self._update_scheduler_rows,
            env.clock.monotonic,
        )
        self.stream_registry = stream_registry.StreamRegistry(
            links,
            self.registrations.table.rows.values,
            self.registrations.history,
            self.count_voters,
            env.clock.monotonic,
        )
        self._settings = settings
        self._env = env
        self._log = log
        self._journal: journals.Journal | None = None
        self._wake = wake
        self._calls = calls.Calls(self._forward_call)
        self._inbox: collections.deque = collections.deque()
        self._results: list = []
        self.members = members.Members(log, env.clock.monotonic)
        self._notices = notices.Notices(links, self.members, self._describe_notice)
        self._undecided = control_reports.UndecidedElections(log)
        self._founders = tuple(map(str, settings.directories))
        self._known_directories = set(self._founders)
        self._broadcasts = broadcasts.Broadcasts(links, log)
        self.metrics = directory_metrics.Metrics()
        self.suspensions = suspensions.Monitor(log)
        self.retry_budget = retry_budget.RetryBudget(
            links,
            settings.retries,
            log,
            lambda: self.leader is not None,
            self.list_voters,
            f"{env.random.getrandbits(64):x}",
            env.clock.monotonic,
        )
        file = quarantine_file.QuarantineFile(settings.data_folder, log, env.clock.wall)
        self.quarantine = quarantine.Quarantine(
            links, log, file, wake, env.clock.monotonic
        )
        self.advertised_limits = advertised_limits.AdvertisedLimits(
            log, env.clock.monotonic, env.clock.stalled
        )
        self.peer_registry = peer_registry.PeerRegistry(links)
        self.brittle_upstreams = brittle_upstreams.BrittleUpstreams(
            log, env.clock.monotonic
        )
        self.part_quarantine = part_quarantine.PartQuarantine(
            links,
            log,
            quarantine_file.QuarantineFile(
                settings.data_folder, log, env.clock.wall, quarantine_file.PARTS
            ),
            self.brittle_upstreams.known,
            wake,
            env.clock.monotonic,
        )
        self.scheduler = scheduling.Scheduler(
            links,
            dialect,
            self.metrics,
            self.retry_budget,
            self.quarantine,
            self.part_quarantine,
            self.advertised_limits.limits,
            self.brittle_upstreams.known,
            self._record_prefill,
            settings.placing,
            env.clock.monotonic,
        )
        self.quarantine.is_brittle = self.brittle_upstreams.known.is_brittle
        self.quarantine.on_alive = self.part_quarantine.record.record_alive
        self.brittle_upstreams.count_requests = self.scheduler.placer.count_requests
        self.speed_exchange = speed_exchange.SpeedExchange(
            links, log, self.metrics, self.scheduler.placer
        )
        fleet = duties.Fleet(
            self.registrations.table.rows.values,
            self.scheduler.list_scalable,
            self.scheduler.count_load,
        )
        self.duties = duties.Duties(
            settings, env, log, links, dialect.duties, self.open_call, fleet
        )

    # The disk.

    def start(self, journal: journals.Journal, identity: str) -> None:
        """Start or continue from the state on the disk."""
        self.own = group.format_voter_name(self.links.own, identity)
        self._journal = journal
        self._notices.renew()
        if journal.group is not None:
            self._start_voter(journal.group)
        elif self._settings.founding:
            self.retry_budget.ledger.record_first_start()
            self.stream_registry.record_first_start()

    def suspend(self) -> None:
        """Continue without a disk: no votes, acknowledgements or confirmed reads."""
        self._journal = None
        self.voter = None
        self.members.clear_change()
        self._inbox.clear()
        self._results.clear()

    def now(self) -> float:
        """Return the time on the monotonic clock, in seconds."""
        return self._env.clock.monotonic()

    # Queries, calls and events of the process.

    @property
    def leader(self) -> str | None:
        """The name of the directory that leads, if known."""
        if self.voter is None or self.voter.node.leader is None:
            return None
        return group.get_process_name(self.voter.node.leader)

    @property
    def is_idle(self) -> bool:
        """Whether no call is open, no handover in progress and no event queued."""
        if self.voter is not None and self.voter.node.is_handing_over:
            return False
        return not self._inbox and not len(self._calls)

    def _record_prefill(self, service: str, seconds: float) -> None:
        self.duties.demands.record_prefill(service, seconds)

    def _update_scheduler_rows(self) -> None:
        self.scheduler.set_rows(self.registrations.table.rows.values())

    @property
    def version(self) -> int:
        """The newest configuration version known here; 0 without one."""
        return self.voter.machine.declaration.version if self.voter is not None else 0

    def count_voters(self) -> int:
        """Return how many directories vote, as known here; 0 without a voter."""
        return len(self.voter.node.voters) if self.voter is not None else 0

    def list_voters(self) -> budgets.Voters:
        """Return the directories that vote, as known here."""
        if self.voter is None:
            return budgets.Voters(includes_own=False)
        names = frozenset(map(group.get_process_name, self.voter.node.voters))
        return budgets.Voters(names - {self.links.own}, self.links.own in names)

    def hand_over(self) -> None:
        """Begin to transfer the leadership before a planned stop, if this one leads."""
        if self.voter is not None and self.voter.leads and self.count_voters() > 1:
            self.enqueue_event(agreement_events.TransferLeader())

    def open_call(
        self,
        kind: str,
        document: Document,
        reply: abc.Callable[[Document], object],
        forwarded: bool = False,
    ) -> None:
        """Open a call; ``reply`` gets the reply's document in a later turn.

        ``forwarded`` says that another directory forwarded the call.
        """
        self._calls.open(kind, document, reply, self.now(), forwarded)
        self._wake()

    def handle_reply(self, token: int, peer: str, document: Document) -> None:
        """Handle the leader's reply to a forwarded call."""
        self._calls.handle_reply(token, peer, document, self.now())

    def enqueue_event(self, event: agreement_events.Event) -> None:
        """Queue an event for the voter's next turn, if there is a voter."""
        if self.voter is not None:
            self._inbox.append(event)
            self._wake()

    def report_lost_disk(self, received: envelopes.VoterMessage) -> None:
        """Respond to a message that was for a former disk of this host."""
        if self._journal is None:
            return
        lost = envelopes.find_lost_disk(self.own, received)
        if lost is not None:
            self._send(received.sender, lost)

    def handle_message(self, peer: str, message: typing.Any) -> None:
        """Handle a message from a link."""
        if arrivals.handle(self, peer, message):
            self._wake()

    def apply_settings(self, settings: process_settings.DirectorySettings) -> None:
        """Apply those settings that may change while the process runs."""
        self.add_directories(map(str, settings.directories))
        self.retry_budget.retries = settings.retries

    def add_directories(self, names: abc.Iterable[str]) -> None:
        """Link to these directories too, and send everyone the new roster."""
        new = set(names) - self._known_directories - {self.links.own}
        if new:
            self._known_directories |= new
            self.links.add(sorted(new))
            self._broadcasts.schedule_roster()

    def handle_link_change(self, peer: str, linked: bool) -> None:
        """Handle a link that opened or closed."""
        event = events.links.UP if linked else events.links.DOWN
        self._log.write(event, peer=peer)
        if linked:
            self._sync_peer(peer)
        else:
            self.scheduler.remove_gateway(peer)
            self.peer_registry.remove(peer)
            self.members.record_unlinked(peer)
            self.retry_budget.ledger.remove_peer(peer)
        self._wake()

    def _sync_peer(self, peer: str) -> None:
        self.registrations.send_all(peer)
        self._broadcasts.sync_peer(peer)
        self.quarantine.sync_peer(peer)
        self.part_quarantine.sync_peer(peer)
        if self.links.is_directory(peer):
            self.add_directories((peer,))
            self.members.record_linked(peer)
            self._notices.send(peer)
            self.retry_budget.send_counts(peer)

    # A turn.

    def turn(self) -> None:
        """Do everything that is due."""
        now = self.now()
        self._establish_group(now)
        self._broadcasts.broadcast_roster(now)
        self.retry_budget.turn()
        self.quarantine.turn()
        self.part_quarantine.turn()
        self.speed_exchange.turn(now)
        if self.voter is None:
            self._calls.expire(now)
            return
        context = self._make_context()
        self._inbox.extend(self._calls.advance(context, self.leader, now))
        for _ in range(VOTER_ROUNDS_LIMIT):
            batch = list(self._inbox)
            self._inbox.clear()
            # Each round may take a sync.
            now = self.now()
            with self._report_slow_sync():
                self.voter.turn(batch, now)
            self._process_results(context, now)
            if not self._inbox:
                break
        self._change_voters()
        self._broadcast_declaration()
        self.duties.turn(self.voter.machine.duties, self._list_other_voters)

    @contextlib.contextmanager
    def _report_slow_sync(self) -> abc.Iterator[None]:
        """Log that the block, which waits for the disk, took long."""
        started = self.now()
        yield
        seconds = self.now() - started
        if seconds >= SLOW_SYNC_SECONDS:
            self._log.write(events.directory.SYNC_SLOW, seconds=round(seconds, 3))

    def _list_other_voters(self) -> list[str]:
        """Return the other directories that vote."""
        names = map(group.get_process_name, self.voter.node.voters)
        return [name for name in names if name != self.links.own]

    def _make_context(self) -> calls.CallContext:
        return calls.CallContext(
            self.voter,
            self._env.clock.wall(),
            dict,
            lambda name: None,
            lambda name, address: None,
        )

    def _process_results(self, context: calls.CallContext, now: float) -> None:
        results, self._results = self._results, []
        for token, result in results:
            if token == CHANGE_TOKEN:
                self.members.record_result(result, self.voter.node.voters)
            else:
                self._inbox.extend(
                    self._calls.handle_result(token, result, context, now)
                )

    # The voters.

    def _start_voter(self, initial_voters: tuple[str, ...]) -> None:
        effects = voters.Effects(self._send, self._collect_result, self._handle_action)
        member = initial_voters if self.own in initial_voters else ()
        seed = self._env.random.getrandbits(64)
        self.voter = voters.Voter(
            self.own, member, self._journal, seed, effects, TIMING, LIMITS
        )
        self._log.write(
            events.directory.GROUP_FORMED, voters=list(initial_voters), own=self.own
        )

    def _establish_group(self, now: float) -> None:
        """Send notices to the others; form or join the group once it is known."""
        self._notices.send_due(now)
        if self._journal is None or self.voter is not None:
            return
        initial_voters = self._find_group()
        if initial_voters is not None:
            self._log.write(
                events.directory.GROUP_CHOSEN, voters=list(initial_voters), own=self.own
            )
            with self._report_slow_sync():
                self._journal.save_group(initial_voters)
            self._start_voter(initial_voters)
            self._notices.renew()

    def _find_group(self) -> tuple[str, ...] | None:
        founders = self._founders if self._settings.founding else ()
        return self.members.find_group(self.own, founders)

    def _describe_notice(self) -> group.Notice | None:
        if self._journal is None:
            return None
        return group.Notice(self.own, self._journal.group)

    def _change_voters(self) -> None:
        if not self.voter.leads:
            return
        present = self.voter.node.voters
        self.add_directories(map(group.get_process_name, present))
        change = self.members.decide(self.own, present)
        if change is not None:
            event = agreement_events.ChangeVoters(
                CHANGE_TOKEN, change.add, change.remove
            )
            self.enqueue_event(event)

    def _handle_action(self, action: actions.Action) -> None:
        if isinstance(action, actions.BecameLeader):
            self.members.begin_leading()
            names = list(self.voter.node.voters)
            self._log.write(
                events.agreement.ELECTED,
                term=action.term,
                voters=names,
                granted=list(action.granted),
                excluded=list(action.excluded),
            )
        elif isinstance(action, actions.VoterLost):
            self._log.write(events.agreement.DISK_LOST, voter=action.voter)
        elif isinstance(action, actions.ElectionUndecided):
            self._undecided.record(action)
        elif isinstance(action, actions.Deposed):
            self.members.clear_change()
            self._log.write(events.agreement.DEPOSED, term=action.term)
        elif isinstance(action, actions.TimingAdapted):
            control_reports.write_timing(self._log, action)

    def _send(self, to: str, message: typing.Any) -> None:
        envelope = envelopes.wrap(self.own, to, message)
        self.links.send(group.get_process_name(to), envelope)

    def _collect_result(self, token: typing.Hashable, result: voters.Result) -> None:
        self._results.append((token, result))

    def _forward_call(self, peer: str, token: int, document: Document) -> bool:
        return self.links.send(peer, messages.Submit(token, document))

    def _broadcast_declaration(self) -> None:
        newest = self.voter.machine.declaration
        index = self.voter.node.commit_index
        if self._broadcasts.broadcast_declaration(newest, index, self.leader):
            self.scheduler.set_declaration(newest.packed)
