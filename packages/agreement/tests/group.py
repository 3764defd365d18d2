"""Simulated nodes, disks and network, into which a schedule injects faults."""

import dataclasses
import math
import random

from packages.agreement.tests import checks as checks_module
from trestlestall.agreement import (
    actions,
    entries,
    events,
    log,
    messages,
    node as node_module,
    state,
    timing,
)

TIMING = timing.Timing(election=1.0, heartbeat=0.25, catch_up=5.0)
LIMITS = timing.Limits(
    batch_bytes=64,
    batch_entries=4,
    inflight=3,
    chunk_bytes=48,
    payload_bytes=1000,
    uncommitted_bytes=50_000,
)
PADDING = b"." * 100

#: More messages than this without time passing are a loop between two nodes.
DELIVERY_LIMIT = 5000


class CrashPoint(Exception):  # noqa: N818
    """The process crashes at this point of the schedule."""


@dataclasses.dataclass
class Host:
    """One node with its disk; its clock is ``clock_lag`` seconds behind."""

    name: str
    voters: tuple
    seed: int
    disk: entries.Restored = entries.Restored(entries.Vote(0))
    node: node_module.Node | None = None
    applied: int = 0
    commit: int = 0
    clock_lag: float = 0.0
    frozen: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    crash_at: int | None = None

    @property
    def runs(self):
        return self.node is not None and not self.frozen

    @property
    def leads(self):
        return self.node is not None and self.node.role is state.Role.LEADER

    def get_voters(self):
        """Return the voters in the latest configuration on the host's disk."""
        return self.list_configurations()[-1].voters

    def list_configurations(self):
        """Return the latest two configurations on the host's disk, or the only one."""
        kept = log.Log(self.voters, self.disk.snapshot, self.disk.entries)
        before, latest = kept.previous_configuration, kept.configuration
        return [latest] if before is None else [before, latest]

    def persist_to_disk(self, action):
        """Execute a ``Persist`` or a ``PersistSnapshot``."""
        vote, snapshot, kept = self.disk.vote, self.disk.snapshot, ()
        if isinstance(action, actions.PersistSnapshot):
            snapshot = action.snapshot
        else:
            vote = action.vote or vote
            end = action.truncate_from or math.inf
            kept = tuple(e for e in self.disk.entries if e.index < end)
        self.disk = entries.Restored(vote, snapshot, kept + action.entries)

    def start(self):
        """Start the process with the state on its disk."""
        self.applied = self.commit = 0
        self.frozen = False
        self.node = node_module.Node(
            self.name, self.voters, TIMING, self.seed, self.disk, LIMITS
        )

    def crash(self):
        """End the process; everything that is not on its disk is lost."""
        self.node = None
        self.crash_at = None
        self.frozen = False
        self.inbox = []


class Group:
    """The hosts, the messages in transit and the invariant checks."""

    def __init__(self, voters, spare=(), seed=0):
        self.random = random.Random(seed)
        self.checks = checks_module.Checks()
        self.now = 0.0
        self.queue = []
        self.partition = frozenset()
        self.loss = self.duplication = 0.0
        self.delay = 0.0
        self.answers = {}
        self.sent = []
        self.hosts = {}
        for name in (*voters, *spare):
            self.add_host(name, tuple(voters) if name in voters else (), seed)

    def add_host(self, name, voters=(), seed=0):
        """Start a host with an empty disk."""
        self.hosts[name] = Host(name, voters, seed)
        self.hosts[name].start()

    def step(self, name, *batch):
        """Let the host handle the events as one step and execute its actions."""
        host = self.hosts[name]
        emitted = host.node.handle_batch(batch, self.now - host.clock_lag)
        try:
            for action in emitted:
                self.carry_out(host, action)
        except CrashPoint:
            host.crash()
            self.checks.count("crash")
            return
        self.checks.check_commit(host)

    def carry_out(self, host, action):
        """Execute one action; a crash may occur before or after a persist."""
        if isinstance(action, actions.Persist | actions.PersistSnapshot):
            self.persist(host, action)
        elif isinstance(action, actions.Send):
            self.checks.check_send(host, action.message)
            self.send(host.name, action)
        elif isinstance(action, actions.Apply):
            self.checks.check_apply(host, action.entry)
            host.applied = action.entry.index
        elif isinstance(action, actions.Restore):
            self.checks.check_restore(host, action.snapshot)
            self.checks.count("Restore")
            host.applied = action.snapshot.index
        else:
            self.record_answer(host, action)

    def record_answer(self, host, action):
        """Store an answer by its token, and check it."""
        self.checks.count(type(action).__name__)
        if isinstance(action, actions.BecameLeader):
            self.checks.check_leader(host, action.term)
            if 2 * len(action.granted) <= len(host.node.voters):
                self.checks.count("elected by a half")
        elif isinstance(action, actions.Proposed):
            self.checks.check_outcome(host, action)
            self.answers[action.token] = action.outcome
        elif isinstance(action, actions.ReadReady | actions.ReadRefused):
            if isinstance(action, actions.ReadReady):
                self.checks.check_ready(host, action)
            self.answers[action.token] = action

    def persist(self, host, action):
        """Write to the disk, unless a crash comes first."""
        self.pass_crash_point(host)
        host.persist_to_disk(action)
        self.checks.check_vote(host, host.disk.vote)
        self.pass_crash_point(host)

    def pass_crash_point(self, host):
        """Crash if the schedule set a crash at this point."""
        if host.crash_at is not None:
            host.crash_at -= 1
            if host.crash_at == 0:
                raise CrashPoint

    def send(self, sender, action):
        """Put a message in transit: it may be lost, duplicated or delayed."""
        self.sent.append((action.to, action.message))
        for _ in range(1 + (self.random.random() < self.duplication)):
            if self.random.random() >= self.loss:
                arrival = self.now + self.random.random() * self.delay
                self.queue.append((arrival, sender, action.to, action.message))

    def is_partitioned(self, sender, to):
        """Return whether the partition separates the two hosts."""
        return (sender in self.partition) != (to in self.partition)

    def deliver(self):
        """Deliver the due messages, in random order if messages may be delayed."""
        delivered = 0
        while due := [item for item in self.queue if item[0] <= self.now]:
            delivered += 1
            self.checks.require(
                delivered < DELIVERY_LIMIT, "too many messages without time passing"
            )
            item = self.random.choice(due) if self.delay else due[0]
            self.queue.remove(item)
            _, sender, to, message = item
            host = self.hosts.get(to)
            if self.is_partitioned(sender, to):
                continue
            if host is None or host.node is None:
                self.report_lost_disk(sender, to)
                continue
            if host.frozen:
                host.inbox.append(events.Receive(sender, message))
            else:
                self.step(to, events.Receive(sender, message))

    def report_lost_disk(self, sender, to):
        """Let the host respond to a message for its former disk, if it is back."""
        prefix = to.partition("#")[0] + "#"
        newer = [name for name in self.hosts if name.startswith(prefix) and name > to]
        if newer and self.hosts[newer[-1]].runs:
            self.send(newer[-1], actions.Send(sender, messages.DiskLost(to)))

    def run(self, seconds, only=None, dt=0.1):
        """Advance the time: tick the running hosts and deliver messages."""
        end = self.now + seconds
        while self.now < end:
            self.now += dt
            for name, host in list(self.hosts.items()):
                if host.runs and (only is None or name in only):
                    self.step(name, events.Tick())
            self.deliver()

    def run_until(self, holds, only=None):
        """Advance the time until the condition holds."""
        for _ in range(300):
            if holds():
                return
            self.run(0.1, only)
        raise checks_module.Violation("the condition did not hold in time")

    def elect(self, name):
        """Make the host the leader, by sending ticks to it alone."""
        self.run_until(lambda: self.hosts[name].leads, (name,))

    def find_leader(self, among):
        """Return the running leader of the newest term, or None."""
        leading = [host for host in self.hosts.values() if host.leads and host.runs]
        wanted = [host for host in leading if among is None or host.name in among]
        newest = max(wanted, key=lambda host: host.node.term, default=None)
        return newest.name if newest else None

    def wait_for_leader(self, among=None):
        """Advance the time until there is a leader, and return its name."""
        self.run_until(lambda: self.find_leader(among) is not None)
        return self.find_leader(among)

    def propose(self, name, *tokens, size=0):
        """Propose commands at the host, in one step."""
        padding = b" " * size
        batch = [events.Propose(t, f"{t};".encode() + padding) for t in tokens]
        self.step(name, *batch)

    def read(self, name, token):
        """Request a read at the host."""
        self.checks.record_read_floor(token)
        self.step(name, events.Read(token))

    def compact(self, name):
        """Compact the host's log up to the last applied entry."""
        applied = self.hosts[name].applied
        state_bytes = self.checks.digests[applied] + PADDING
        self.step(name, events.Compact(applied, state_bytes))

    def thaw(self, name, *first):
        """Resume a frozen host: first the given events, then its inbox."""
        host = self.hosts[name]
        host.frozen = False
        batch, host.inbox = host.inbox, []
        for event in (*first, *batch):
            if host.node is not None:
                self.step(name, event)
