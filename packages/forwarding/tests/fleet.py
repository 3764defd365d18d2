"""A fleet of processes in virtual time that share one retry budget.

Callers' requests arrive at any process that is up; some fail and ask for retries.
Processes ask the first directory on their side of a network partition, or decide alone.
Both are killed and restarted, stalled, partitioned, added and removed.
``list_breaches`` evaluates the whole, as an observer of all upstreams would.
"""

import bisect
import dataclasses
import heapq
import random

from packages.forwarding.tests import fleet_links
from trestlestall.forwarding import budgets

SERVICE = "engines"
#: Seconds between two turns of a directory, until another one receives its message, and
#: after which a lost quorum is detected, as in the product (twice the election's time).
TURN_SECONDS = 0.05
TRANSIT_SECONDS = 0.002
QUORUM_SECONDS = 1.0
#: Shares of the requests for a retry that a directory answers too late, or that go to
#: another directory, and seconds between two requests for snapshots.
LATE_SHARE = 0.02
ASK_SECONDS = 1.0
STRAY_SHARE = 0.05
#: Seconds of a play, and of its start without a fault: a window that fills the counts.
PLAY_SECONDS = 45.0
CALM_SECONDS = 12.0


@dataclasses.dataclass
class Process:
    """One address of the fleet; ``ledger`` is None while it is down.

    Only processes with the same ``side`` reach each other, as ``fleet_links`` has it.
    """

    ledger: budgets.Ledger | None
    weight: float
    paused_until: float = 0.0
    side: int = 0


@dataclasses.dataclass
class Directory(Process):
    """A directory that grants retries; it assumes a quorum until ``quorum_until``."""

    name: str = ""
    quorum_until: float = 0.0
    asked_at: float = -1.0


class Fleet:
    """``size`` processes with ``rate`` requests a second in total, driven by a seed."""

    def __init__(self, size, rate, bound, seed, directories=4):
        self.random = random.Random(seed)
        self.bound = bound
        self.rate = rate
        self.failing = 0.0
        self.requests = []
        self.retries = []
        self.kills = 0
        self.alone = 0
        self.starts = 0
        self.now = 0.0
        self._events = []
        self._order = 0
        self.links = fleet_links.Links(self.random)
        self.processes = [self.make_process() for _ in range(size)]
        self.directories = [
            Directory(None, 1.0, name=f"d{number}") for number in range(directories)
        ]
        for directory in self.directories:
            self.start(directory)
            directory.ledger.record_first_start()
        self.schedule(0.0, self.turn)

    def make_process(self):
        return Process(budgets.Ledger("own", self.now), self.random.uniform(0.3, 1.7))

    def schedule(self, after, act, *arguments):
        """Schedule a call ``after`` seconds from now."""
        self._order += 1
        event = (self.now + after, self._order, act, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advance the time: requests arrive, and scheduled calls are made."""
        end = self.now + seconds
        arrival = self.now + self.random.expovariate(self.rate)
        while True:
            due = self._events[0][0] if self._events else end
            if min(due, arrival) >= end:
                break
            if due <= arrival:
                self.now, _, act, arguments = heapq.heappop(self._events)
                act(*arguments)
            else:
                self.now = arrival
                self.handle_request()
                arrival = self.now + self.random.expovariate(self.rate)
        self.now = end

    # Callers.

    def handle_request(self):
        self.requests.append(self.now)
        awake = [one for one in self.processes if self.is_awake(one)]
        if not awake:
            return
        process = self.random.choices(awake, [one.weight for one in awake])[0]
        process.ledger.record_request(SERVICE, self.now)
        directory = self.find_directory(process)
        if directory is not None and self.delivers(process, directory):
            directory.ledger.record_request(SERVICE, self.now)
        self.request_retries(process, 3)

    def request_retries(self, process, left):
        """Request one retry, and another one if that fails too."""
        if not left or not self.is_awake(process):
            return
        if self.random.random() >= self.failing:
            return
        if self.consume_retry(process):
            self.retries.append(self.now)
            after = self.random.uniform(0.002, 0.1)
            self.schedule(after, self.request_retries, process, left - 1)

    def consume_retry(self, process):
        """Ask a directory for a retry; without an answer the process decides."""
        directory = self.find_directory(process)
        verdict = budgets.Verdict.LATER
        if directory is not None and self.delivers(process, directory):
            coverage = self.get_coverage(directory)
            voters = self.list_voters(directory)
            verdict = directory.ledger.consume(
                SERVICE, self.bound, coverage, self.now, voters
            )
            if verdict is budgets.Verdict.GRANTED:
                self.send_due(directory)
            if not self.delivers(directory, process):
                verdict = budgets.Verdict.LATER
        if verdict is budgets.Verdict.LATER or self.random.random() < LATE_SHARE:
            self.alone += 1
            alone = budgets.Coverage.ALONE
            verdict = process.ledger.consume(SERVICE, self.bound, alone, self.now)
        return verdict is budgets.Verdict.GRANTED

    def find_directory(self, process):
        """Return the first directory that the process reaches, sometimes another."""
        found = [
            one
            for one in self.directories
            if self.is_awake(one) and self.links.is_up(process, one, self.now)
        ]
        if not found:
            return None
        stray = self.random.random() < STRAY_SHARE
        return self.random.choice(found) if stray else found[0]

    def is_awake(self, process):
        return process.ledger is not None and process.paused_until <= self.now

    # Directories.

    def turn(self):
        """Let each directory look for a quorum and send its counts to the others."""
        for directory in self.directories:
            if not self.is_awake(directory):
                continue
            if 2 * len(self.list_heard(directory)) > len(self.directories):
                directory.quorum_until = self.now + QUORUM_SECONDS
            standing = self.get_coverage(directory)
            is_asking = (
                standing is not budgets.Coverage.COMPLETE
                and self.now - directory.asked_at >= ASK_SECONDS
            )
            if is_asking:
                directory.asked_at = self.now
            self.send_due(directory, is_asking)
        self.schedule(TURN_SECONDS, self.turn)

    def send_due(self, directory, is_asking=False):
        """Send counts to the other directories that need any."""
        for other in self.directories:
            self.exchange(directory, other, is_asking)

    def exchange(self, directory, other, is_asking):
        """Send counts to another directory that is linked, if it needs any."""
        if other is directory:
            return
        if other.ledger is None or not self.links.is_up(directory, other, self.now):
            directory.ledger.remove_peer(other.name)
        elif is_asking or directory.ledger.is_due(other.name, self.now):
            self.send_counts(directory, other)

    def list_reached(self, directory):
        """Return the linked directories, this one included."""
        return [
            one
            for one in self.directories
            if one.ledger is not None and self.links.is_up(directory, one, self.now)
        ]

    def list_heard(self, directory):
        """Return the directories whose messages arrive, this one included."""
        return [
            one
            for one in self.list_reached(directory)
            if self.links.can_hear(directory, one, self.now)
        ]

    def delivers(self, one, other):
        """Return whether a message that is sent now arrives."""
        return self.links.delivers(one, other, self.now)

    def send(self, sender, receiver, act, *arguments):
        """Schedule a call at the receiver, unless the message is lost."""
        if self.delivers(sender, receiver):
            self.schedule(TRANSIT_SECONDS, act, *arguments)

    def send_counts(self, directory, other):
        counts = directory.ledger.collect_counts(other.name, self.now)
        arguments = other, other.ledger, directory, directory.ledger, counts
        self.send(directory, other, self.answer_counts, *arguments)

    def answer_counts(self, directory, ledger, sender, asking, counts):
        """Answer counts, unless this directory was killed meanwhile."""
        if directory.ledger is not ledger:
            return
        if directory.paused_until > self.now:
            after = directory.paused_until - self.now + TRANSIT_SECONDS
            arguments = directory, ledger, sender, asking, counts
            self.schedule(after, self.answer_counts, *arguments)
            return
        voters = self.list_voters(directory)
        answer = ledger.handle_counts(counts, self.bound.window, self.now, voters)
        arguments = sender, asking, directory, answer
        self.send(directory, sender, self.receive_answer, *arguments)

    def receive_answer(self, directory, ledger, sender, answer):
        """Merge an answer, unless the receiver was killed meanwhile."""
        if directory.ledger is not ledger:
            return
        if directory.paused_until > self.now:
            after = directory.paused_until - self.now + TRANSIT_SECONDS
            self.schedule(after, self.receive_answer, directory, ledger, sender, answer)
            return
        ledger.handle_acknowledgement(sender.name, answer, self.now)

    def list_voters(self, directory):
        """Return the directories that vote: all of them."""
        names = (one.name for one in self.directories if one is not directory)
        return budgets.Voters(frozenset(names))

    def get_coverage(self, directory):
        if directory.quorum_until <= self.now:
            return budgets.Coverage.PARTIAL
        voters = self.list_voters(directory)
        return directory.ledger.find_coverage(self.bound, self.now, voters)

    def synchronize(self, directory):
        """Let a directory and its new peers send each other their counts."""
        for one in self.list_reached(directory):
            if one is not directory:
                after = self.random.uniform(0.05, 0.4)
                self.schedule(after, self.send_if_running, one, one.ledger, directory)
                self.schedule(
                    after, self.send_if_running, directory, directory.ledger, one
                )

    def send_if_running(self, directory, ledger, other):
        if directory.ledger is ledger and other.ledger is not None:
            self.send_counts(directory, other)

    # Faults.

    def kill(self, share, seconds):
        """Kill a share of the processes, and start them again later."""
        for process in self.pick(share):
            process.ledger = None
            self.kills += 1
            self.schedule(seconds, self.start, process)

    def kill_directories(self, count, seconds):
        for directory in self.random.sample(self.directories, count):
            self.kill_directory(directory, seconds)

    def kill_directory(self, directory, seconds):
        directory.ledger = None
        directory.quorum_until = 0.0
        self.schedule(seconds, self.start, directory)

    def pause_directory(self, number, seconds):
        self.directories[number].paused_until = self.now + seconds

    def start(self, process):
        if process.ledger is not None:
            return
        self.starts += 1
        source = f"{getattr(process, 'name', 'own')}#{self.starts}"
        process.ledger = budgets.Ledger(source, self.now)
        if process in self.directories:
            self.synchronize(process)

    def pause(self, share, seconds):
        for process in self.pick(share):
            process.paused_until = self.now + seconds

    def roll(self, gap, seconds):
        """Restart one process after another."""
        for number, process in enumerate(list(self.processes)):
            self.schedule(number * gap, self.restart, process, seconds)

    def restart(self, process, seconds):
        if process in self.processes and process.ledger is not None:
            process.ledger = None
            self.kills += 1
            self.schedule(seconds, self.start, process)

    def partition(self, share, seconds):
        """Partition a share of processes and directories from the others."""
        side = 1 + max(one.side for one in (*self.processes, *self.directories))
        count = round(share * len(self.directories))
        for process in (*self.pick(share), *self.directories[:count]):
            process.side = side
            self.schedule(seconds, self.heal, process)

    def cut_pair(self, one, other, way, seconds):
        """Cut a pair of processes from each other in one of ``fleet_links.WAYS``."""
        self.links.cut(one, other, way, self.now)
        self.schedule(seconds, self.heal_pair, one, other)

    def heal_pair(self, one, other):
        self.links.heal(one, other)
        for directory in (one, other):
            if directory in self.directories and directory.ledger is not None:
                self.synchronize(directory)

    def cut_gateways(self, share, directory, way, seconds):
        """Cut a share of the gateways from one directory."""
        for process in self.pick(share):
            self.cut_pair(process, directory, way, seconds)

    def heal(self, process):
        process.side = 0
        if process in self.directories and process.ledger is not None:
            self.synchronize(process)

    def add(self, count):
        self.processes += [self.make_process() for _ in range(count)]

    def remove(self, share):
        """Remove a share of the processes, except for the last one."""
        for process in self.pick(share)[: len(self.processes) - 1]:
            self.processes.remove(process)

    def fail(self, share, seconds):
        """Let a share of all sends fail for some time."""
        self.failing = share
        self.schedule(seconds, self.recover)

    def recover(self):
        self.failing = 0.0

    def pick(self, share):
        count = max(1, round(share * len(self.processes)))
        return self.random.sample(self.processes, count)

    # Observation.

    def list_breaches(self):
        """Return the windows, by their end, with more retries than the bound allows.

        Requests are counted in the window, in the one before, or half a window before,
        whichever has most.
        """
        window = self.bound.window
        found = []
        for number, end in enumerate(self.retries):
            start = end - window
            spent = number + 1 - bisect.bisect_left(self.retries, start)
            taken = max(
                self.count_requests(start - shift, end - shift)
                for shift in (0.0, window / 2, window)
            )
            allowed = self.bound.ratio * taken + self.bound.slack
            if spent > allowed:
                found.append((round(end, 2), spent, round(allowed, 1)))
        return found

    def count_requests(self, start, end):
        first = bisect.bisect_left(self.requests, start)
        return bisect.bisect_right(self.requests, end) - first


def draw_fleet(draw, seed):
    """Return a fleet of random size, load and bound."""
    size = draw.choice((2, 3, 9, 9, 40, 200))
    rate = draw.choice((30.0, 80.0, 250.0))
    ratio = draw.choice((0.1, 0.2, 0.2))
    slack = round(ratio * rate * 10 * draw.uniform(0.3, 0.9))
    bound = budgets.Bound(ratio, slack, 10.0)
    return Fleet(size, rate, bound, seed, 3 + seed % 4)


def play(seed):
    """Play one random schedule of faults and return the fleet."""
    draw = random.Random(seed)
    fleet = draw_fleet(draw, seed)
    size, count = len(fleet.processes), len(fleet.directories)
    choices = (
        lambda: fleet.kill(draw.choice((0.1, 0.5, 0.9, 1.0)), draw.uniform(0.2, 3.0)),
        lambda: fleet.kill(draw.choice((0.3, 0.9)), draw.uniform(0.2, 1.0)),
        lambda: fleet.pause(draw.uniform(0.05, 0.4), draw.uniform(0.5, 5.0)),
        lambda: fleet.roll(draw.uniform(0.1, 2.0), draw.uniform(0.3, 2.0)),
        lambda: fleet.partition(draw.uniform(0.1, 0.5), draw.uniform(2.0, 20.0)),
        lambda: fleet.add(max(1, size // 10)),
        lambda: fleet.remove(draw.uniform(0.05, 0.2)),
        lambda: fleet.kill_directories(draw.choice((1, 1, count)), 0.6),
        lambda: fleet.kill_directories(draw.choice((1, 2)), draw.uniform(1.0, 8.0)),
        lambda: fleet.pause_directory(0, draw.uniform(0.3, 6.0)),
    )
    run_choices(fleet, draw, choices)
    return fleet


def run_choices(fleet, draw, choices):
    """Inject faults drawn from the choices, after a time without any."""
    fleet.run(CALM_SECONDS)
    while fleet.now < PLAY_SECONDS:
        if not fleet.failing:
            fleet.fail(draw.choice((0.3, 0.5, 1.0)), draw.uniform(2.0, 12.0))
        draw.choice(choices)()
        fleet.run(draw.choice((0.5, 1.0, 3.0, 6.0)))


def play_cuts(seed):
    """Play one random schedule of cuts of pairs and return the fleet.

    Directories that do not reach each other reach a third one; gateways ask different
    ones. Directories are killed, restarted and stalled meanwhile.
    """
    draw = random.Random(seed)
    fleet = draw_fleet(draw, seed)
    directories = fleet.directories
    count = len(directories)

    def cut_directories():
        one, other = draw.sample(directories, 2)
        way = draw.choice(fleet_links.WAYS)
        fleet.cut_pair(one, other, way, draw.uniform(1.0, 20.0))

    def cut_first_two():
        way = draw.choice(fleet_links.WAYS)
        fleet.cut_pair(*directories[:2], way, draw.uniform(3.0, 20.0))

    def cut_gateways():
        one = draw.choice(directories[:2])
        way = draw.choice(fleet_links.WAYS)
        fleet.cut_gateways(draw.uniform(0.2, 0.8), one, way, draw.uniform(3.0, 20.0))

    def kill_one():
        fleet.kill_directory(draw.choice(directories), draw.uniform(0.3, 10.0))

    choices = (
        cut_directories,
        cut_directories,
        cut_first_two,
        cut_gateways,
        cut_gateways,
        kill_one,
        lambda: fleet.kill_directory(directories[0], draw.uniform(0.3, 10.0)),
        lambda: fleet.kill_directories(draw.choice((1, 2, count)), 0.6),
        lambda: fleet.kill(draw.choice((0.1, 0.5, 0.9)), draw.uniform(0.2, 3.0)),
        lambda: fleet.pause_directory(draw.randrange(2), draw.uniform(0.3, 6.0)),
        lambda: fleet.partition(draw.uniform(0.1, 0.5), draw.uniform(2.0, 20.0)),
    )
    run_choices(fleet, draw, choices)
    return fleet
