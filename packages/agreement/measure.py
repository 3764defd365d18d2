"""Benchmark a group of nodes in memory and print one line per figure.

Run after ``make install`` with ``.venv/bin/python packages/agreement/measure.py``.
Message sizes are those of the CBOR encoding, without the framing of the links; no disk
and no network are involved.
"""

import collections
import time

import cbor2

from trestlestall.agreement import actions, documents, events, node, timing

PAYLOAD = b"x" * 200
ENTRIES = 2000
IDLE_SECONDS = 100
TICK = 0.05
REPEATS = 5
FAILOVERS = 200


class Group:
    """Nodes whose messages are counted and delivered immediately."""

    def __init__(self, size: int, seed: int = 1) -> None:
        names = tuple(f"control-{number}#9f3a" for number in range(1, size + 1))
        self.nodes = {
            name: node.Node(name, names, timing.Timing(), seed) for name in names
        }
        self.queue = collections.deque()
        self.now = 0.0
        self.reset()
        while not self.find_leader():
            self.pass_time(TICK)
        self.pass_time(1.0)

    def reset(self) -> None:
        """Reset all counters."""
        self.steps = self.messages = self.bytes = self.persists = 0
        self.encodes = False

    def find_leader(self) -> str | None:
        """Return the leader's name, or None."""
        leading = [
            n for n, member in self.nodes.items() if member.role.value == "leader"
        ]
        return leading[0] if leading else None

    def step(self, name: str, *batch: events.Event) -> None:
        """Handle the events as one step and send its messages."""
        self.steps += 1
        for action in self.nodes[name].handle_batch(batch, self.now):
            if isinstance(action, actions.Send):
                self.queue.append((action.to, name, action.message))
                self.count(action.message)
            elif isinstance(action, actions.Persist):
                self.persists += 1

    def count(self, message) -> None:
        """Count the message and, if ``encodes`` is set, its bytes."""
        self.messages += 1
        if self.encodes:
            self.bytes += len(cbor2.dumps(documents.encode_message(message)))

    def deliver(self) -> None:
        """Deliver all messages, including those sent in response."""
        while self.queue:
            to, sender, message = self.queue.popleft()
            if to in self.nodes:
                self.step(to, events.Receive(sender, message))

    def pass_time(self, seconds: float) -> None:
        """Advance the time, with ticks for all nodes."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for name in list(self.nodes):
                self.step(name, events.Tick())
            self.deliver()

    def commit(self, batch: int) -> None:
        """Commit all entries, proposed in steps of ``batch``, without time passing."""
        leader = self.find_leader()
        for first in range(0, ENTRIES, batch):
            numbers = range(first, first + batch)
            self.step(leader, *[events.Propose(n, PAYLOAD) for n in numbers])
            self.deliver()

    def read(self, batch: int) -> None:
        """Confirm as many reads, requested in steps of ``batch``."""
        leader = self.find_leader()
        for first in range(0, ENTRIES, batch):
            numbers = range(first, first + batch)
            self.step(leader, *[events.Read(number) for number in numbers])
            self.deliver()


def measure_rate(size: int, batch: int) -> str:
    """Return entries and steps per second on one core, the median of the repeats."""
    rates = []
    for _ in range(REPEATS):
        group = Group(size)
        group.reset()
        begun = time.perf_counter()
        group.commit(batch)
        spent = time.perf_counter() - begun
        rates.append((ENTRIES / spent, group.steps / spent))
    rates.sort()
    entries, steps = rates[REPEATS // 2]
    low, high = rates[0][0], rates[-1][0]
    return f"{entries:.0f} entries/s ({low:.0f} to {high:.0f}), {steps:.0f} steps/s"


def measure_cost(size: int, batch: int, work: str) -> str:
    """Return messages, bytes and persists per entry or read."""
    group = Group(size)
    group.reset()
    group.encodes = True
    getattr(group, work)(batch)
    messages, size_in_bytes = group.messages / ENTRIES, group.bytes / ENTRIES
    persists = group.persists / ENTRIES
    return f"{messages:.2f} messages, {size_in_bytes:.0f} B, {persists:.2f} persists"


def measure_idle(size: int) -> str:
    """Return messages and bytes per second of an idle group."""
    group = Group(size)
    group.reset()
    group.encodes = True
    group.pass_time(IDLE_SECONDS)
    messages, sent = group.messages / IDLE_SECONDS, group.bytes / IDLE_SECONDS
    return f"{messages:.1f} messages/s, {sent:.0f} B/s in the whole group"


def measure_failover(size: int) -> str:
    """Return the seconds from the loss of the leader to the next leader's commit."""
    spans = []
    for seed in range(FAILOVERS):
        group = Group(size, seed)
        del group.nodes[group.find_leader()]
        lost_at = group.now
        while not group.find_leader():
            group.pass_time(TICK)
        spans.append(group.now - lost_at)
    spans.sort()
    return f"{spans[FAILOVERS // 2]:.2f} s, at most {spans[-1]:.2f} s"


def main() -> None:
    """Print all figures."""
    for size in (3, 5):
        for batch in (1, 20):
            print(f"{size} voters, steps of {batch}: {measure_rate(size, batch)}")
            for work in ("commit", "read"):
                cost = measure_cost(size, batch, work)
                print(f"{size} voters, steps of {batch}, per {work}: {cost}")
        print(f"{size} voters, idle: {measure_idle(size)}")
        print(f"{size} voters, without their leader: {measure_failover(size)}")


if __name__ == "__main__":
    main()
