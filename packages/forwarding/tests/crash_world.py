"""Upstreams in virtual time that crash by themselves and under certain requests.

Callers send requests through gateways, which ask the first directory on their side of a
network partition for a place, or choose alone. Some requests are byte-identical; some
are fatal: each upstream that begins to run one crashes, and is back as another
incarnation some seconds later. Gateways and directories are killed, stalled and
partitioned. ``list_breaches`` and ``World.wrong`` evaluate the whole, as an observer of
all sockets would.
"""

import collections
import dataclasses
import heapq
import random

from trestlestall.forwarding import crash_reports, crashes

#: Seconds of a play, until a message is received, between two turns of a directory, and
#: until a gateway detects that an upstream has crashed.
PLAY_SECONDS = 40.0
TRANSIT_SECONDS = 0.002
TURN_SECONDS = 0.05
REFUSED_SECONDS = (0.001, 0.005)
#: Seconds until all reachable processes must know of a third crash, and the sends that
#: are accepted afterwards: the users' terms.
CONTACT_SECONDS = 3.0
MORE_SENDS = 3
CRASHES_LIMIT = 3


@dataclasses.dataclass
class Process:
    """A gateway or a directory; ``record`` is None while it is down."""

    record: crashes.Record | None
    side: int = 0
    paused_until: float = 0.0
    disturbed_until: float = 0.0
    updates: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Upstream:
    """One incarnation of an upstream, with the tasks that run there."""

    name: str
    tasks: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Task:
    """One attempt of a caller, and how many sends and retries may follow."""

    digest: str
    gateway: Process
    fatal: bool = False
    sends_left: int = 1
    retries_left: int = 1
    sent_at: float = 0.0


class World:
    """Upstreams, gateways and directories, driven by a seed."""

    def __init__(self, seed, upstreams=18, gateways=9, directories=4, rate=80.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.hot_share = 0.3
        self.hot_count = 12
        self.incarnations = 0
        self.asked = self.wrong = self.lost = 0
        self.fatal_sends = collections.defaultdict(list)
        self.fatal_crashes = collections.defaultdict(dict)
        self._events = []
        self._order = 0
        self.gateways = [Process(crashes.Record()) for _ in range(gateways)]
        self.directories = [Process(crashes.Record()) for _ in range(directories)]
        self.upstreams = [self.make_upstream() for _ in range(upstreams)]
        self.schedule(0.0, self.turn)
        self.schedule(0.0, self.arrive)

    def make_upstream(self):
        self.incarnations += 1
        return Upstream(f"s{self.incarnations}")

    def schedule(self, after, act, *arguments):
        self._order += 1
        event = (self.now + after, self._order, act, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        self.now = end

    # Callers.

    def arrive(self):
        self.schedule(self.random.expovariate(self.rate), self.arrive)
        self.asked += 1
        if self.random.random() < self.hot_share:
            digest = f"hot{int(self.hot_count * self.random.random() ** 2)}"
        else:
            digest = f"one{self.asked}"
        sends = self.random.choice((1, 1, 2))
        self.send(Task(digest, self.pick_gateway(), False, sends))

    def send_fatal(self, digest, until, gap, beside):
        """Send a fatal request again and again, some attempts at the same time."""
        if self.now > until:
            return
        for _ in range(self.random.randint(1, beside)):
            task = Task(digest, self.pick_gateway(), True, 2, 0)
            self.schedule(self.random.uniform(0.0, 0.01), self.send, task)
        again = self.random.uniform(0.3, 1.7) * gap
        self.schedule(again, self.send_fatal, digest, until, gap, beside)

    def pick_gateway(self):
        return self.random.choice(self.gateways)

    # Gateways and directories.

    def send(self, task):
        """Place a request at its gateway and send it."""
        gateway = task.gateway
        if not self.is_awake(gateway) or not self.upstreams:
            self.retry(task)
            return
        records = [gateway.record]
        scheduler = self.find_directory(gateway)
        if scheduler is not None:
            records.append(scheduler.record)
        verdicts = {one.evaluate(task.digest, self.now) for one in records}
        tried = crashes.Verdict.ON_TRIAL in verdicts and (
            scheduler is None or self.is_running(task.digest)
        )
        if crashes.Verdict.HARMFUL in verdicts or tried:
            self.wrong += not task.fatal
            return
        task.sent_at = self.now
        task.sends_left -= 1
        few = self.random.sample(self.upstreams, min(3, len(self.upstreams)))
        upstream = min(few, key=lambda one: len(one.tasks))
        number = self._order
        upstream.tasks[number] = task
        if task.fatal:
            calm = gateway.disturbed_until < self.now
            self.fatal_sends[task.digest].append((self.now, calm))
            after = self.random.uniform(0.03, 0.3)
            self.schedule(after, self.crash_under, upstream, task)
        else:
            after = self.random.choice((0.05, 0.1, 0.6, 2.0, 4.0))
            self.schedule(after, self.answer, upstream, number)

    def is_running(self, digest):
        return any(
            task.digest == digest
            for one in self.upstreams
            for task in one.tasks.values()
        )

    def answer(self, upstream, number):
        """Answer a request, unless its upstream or its gateway has crashed."""
        task = upstream.tasks.pop(number, None)
        if task is None or not self.is_awake(task.gateway):
            return
        if task.gateway.record.record_answer(task.digest, self.now):
            report = crash_reports.Report(answers=((task.digest, 0.0),))
            self.send_to_directories(task.gateway, report)
        scheduler = self.find_directory(task.gateway)
        if scheduler is None:
            return
        if scheduler.record.record_answer(task.digest, self.now):
            scheduler.updates.append(
                crash_reports.Report(answers=((task.digest, 0.0),))
            )
        if scheduler.record.record_success(upstream.name, task.sent_at):
            alive = (upstream.name, self.now - task.sent_at)
            scheduler.updates.append(crash_reports.Report(alive=(alive,)))

    def crash_under(self, upstream, task):
        if upstream in self.upstreams:
            self.fatal_crashes[task.digest][upstream.name] = self.now
            self.crash(upstream)

    def crash(self, upstream):
        """Crash an upstream with all of its tasks; it is back later."""
        place = self.upstreams.index(upstream)
        tasks, upstream.tasks = list(upstream.tasks.values()), {}
        del self.upstreams[place]
        self.schedule(self.random.uniform(2.0, 4.0), self.restart_upstream)
        self.break_tasks(upstream, tasks)

    def restart_upstream(self):
        self.upstreams.append(self.make_upstream())

    def break_tasks(self, upstream, tasks):
        """Let gateways detect that connections are closed and new ones refused."""
        for task in tasks:
            after = self.random.uniform(*REFUSED_SECONDS)
            self.schedule(
                after, self.handle_broken, task, upstream.name, task.gateway.record
            )

    def handle_broken(self, task, incarnation, record):
        gateway = task.gateway
        if gateway.record is not record or not self.is_awake(gateway):
            self.retry(task)
            return
        if record.record_crash(task.digest, incarnation, self.now):
            answers = record.report(self.now, (task.digest,)).answers
            ends = ((task.digest, incarnation, 0.0),)
            self.send_to_directories(gateway, crash_reports.Report(ends, answers))
        if task.sends_left:
            self.schedule(0.003, self.send, task)
        else:
            self.retry(task)

    def retry(self, task):
        """Let a caller retry once, at any gateway."""
        self.lost += not task.fatal
        if task.retries_left:
            again = dataclasses.replace(
                task,
                gateway=self.pick_gateway(),
                sends_left=2,
                retries_left=task.retries_left - 1,
            )
            self.schedule(self.random.uniform(0.02, 0.5), self.send, again)

    def find_directory(self, process):
        """Return the directory that places for the process, if it can reach one."""
        for one in self.directories:
            if self.is_awake(one) and one.side == process.side:
                return one
        return None

    def is_awake(self, process):
        return process.record is not None and process.paused_until <= self.now

    def send_to_directories(self, process, report):
        for directory in self.directories:
            self.send_report(process, directory, report)

    def send_report(self, process, other, report):
        """Send a report to another process; a partition or a kill loses it."""
        if other is process or other.side != process.side or other.record is None:
            return
        if report:
            self.schedule(TRANSIT_SECONDS, self.receive, other, other.record, report)

    def receive(self, process, record, report):
        if process.record is not record:
            return
        if process.paused_until > self.now:
            after = process.paused_until - self.now + TRANSIT_SECONDS
            self.schedule(after, self.receive, process, record, report)
            return
        updates = record.merge(report, self.now)
        if process in self.directories and updates:
            process.updates.append(updates)

    def turn(self):
        """Let each directory send its new evidence to the others."""
        self.schedule(TURN_SECONDS, self.turn)
        for directory in self.directories:
            if not self.is_awake(directory):
                continue
            if directory.updates:
                self.send_updates(directory)

    def send_updates(self, directory):
        reports, directory.updates = directory.updates, []
        updates = crash_reports.Report(
            tuple(end for report in reports for end in report.ends),
            tuple(answer for report in reports for answer in report.answers),
            tuple(one for report in reports for one in report.alive),
        )
        self.send_to_directories(directory, updates)
        quarantined = [
            digest
            for digest in {digest for digest, _, _ in updates.ends}
            if directory.record.evaluate(digest, self.now) is crashes.Verdict.HARMFUL
        ]
        complete = directory.record.report(self.now, quarantined)
        answers = (*complete.answers, *updates.answers)
        report = crash_reports.Report(complete.ends, answers, updates.alive)
        for gateway in self.gateways:
            self.send_report(directory, gateway, report)

    def synchronize(self, process):
        """Let a process and its new peers send each other all that they know."""
        if process.record is None:
            return
        peers = [*self.directories]
        if process in self.directories:
            peers += self.gateways
        for peer in peers:
            if peer is not process and peer.record is not None:
                self.send_report(process, peer, self.report_for(process, peer))
                self.send_report(peer, process, self.report_for(peer, process))

    def report_for(self, process, peer):
        digests = None
        if peer in self.gateways:
            digests = process.record.list_quarantined(self.now)
        return process.record.report(self.now, digests)

    # Faults.

    def disturb(self, process, seconds):
        """Record how long a process is out of touch; for a directory, all gateways."""
        until = self.now + seconds + CONTACT_SECONDS
        touched = [process]
        if process in self.directories:
            touched = self.gateways
        for one in touched:
            one.disturbed_until = max(one.disturbed_until, until)

    def kill(self, process, seconds):
        if process.record is not None:
            process.record = None
            process.updates = []
            self.disturb(process, seconds)
            self.schedule(seconds, self.start, process)

    def start(self, process):
        process.record = crashes.Record()
        self.schedule(self.random.uniform(0.05, 0.4), self.synchronize, process)

    def pause(self, process, seconds):
        process.paused_until = self.now + seconds
        self.disturb(process, seconds)

    def partition(self, share, seconds):
        """Partition a share of all processes from the others."""
        everyone = [*self.gateways, *self.directories]
        side = 1 + max(one.side for one in everyone)
        for process in everyone:
            if self.random.random() < share:
                process.side = side
                self.disturb(process, seconds)
                self.schedule(seconds, self.heal, process)

    def heal(self, process):
        process.side = 0
        self.schedule(self.random.uniform(0.05, 0.4), self.synchronize, process)

    def crash_some(self, share):
        """Crash some upstreams at the same moment, by themselves."""
        count = min(round(share * len(self.upstreams)) or 1, len(self.upstreams) - 2)
        for upstream in self.random.sample(self.upstreams, max(0, count)):
            self.crash(upstream)

    def refuse_some(self, share):
        """Let some upstreams refuse a gateway, without crashing."""
        gateway = self.pick_gateway()
        self.disturb(gateway, 0.0)
        for upstream in self.upstreams:
            if self.random.random() < share:
                lost = [n for n, t in upstream.tasks.items() if t.gateway is gateway]
                self.break_tasks(upstream, [upstream.tasks.pop(n) for n in lost])

    # Observation.

    def list_breaches(self):
        """Return the fatal requests that were sent too often once they were known."""
        found = []
        for digest, ends in self.fatal_crashes.items():
            if len(ends) < CRASHES_LIMIT:
                continue
            known_at = sorted(ends.values())[CRASHES_LIMIT - 1] + CONTACT_SECONDS
            sends = self.fatal_sends[digest]
            late = [at for at, calm in sends if calm and at > known_at]
            if len(late) > MORE_SENDS:
                found.append((digest, round(known_at, 2), len(late)))
        return found

    def count_fatal_crashes(self):
        return sum(map(len, self.fatal_crashes.values()))


def play(seed, fatal=True, kind=World):
    """Play one random schedule in a kind of world and return it."""
    draw = random.Random(seed)
    world = kind(
        seed,
        upstreams=draw.choice((6, 18, 18, 56)),
        gateways=draw.choice((2, 9, 9, 40)),
        directories=draw.choice((3, 4, 6)),
        rate=draw.choice((30.0, 80.0, 250.0)),
    )
    if fatal:
        for number in range(draw.choice((1, 1, 2))):
            begin, lasts = draw.uniform(2.0, 12.0), draw.uniform(5.0, 25.0)
            gap, beside = draw.choice((0.1, 0.25, 1.0, 4.0)), draw.choice((1, 1, 4))
            arguments = f"fatal{number}", begin + lasts, gap, beside
            world.schedule(begin, world.send_fatal, *arguments)

    def pick(processes):
        return draw.choice(processes)

    choices = (
        lambda: world.crash_some(draw.choice((0.05, 0.15, 0.3))),
        lambda: world.crash_some(draw.choice((0.05, 0.15, 0.3))),
        lambda: world.kill(pick(world.gateways), draw.uniform(0.3, 3.0)),
        lambda: [world.kill(one, 0.6) for one in world.gateways if draw.random() < 0.6],
        lambda: world.kill(pick(world.directories), draw.uniform(0.3, 6.0)),
        lambda: [world.kill(one, 0.6) for one in draw.sample(world.directories, 2)],
        lambda: world.pause(pick(world.gateways), draw.uniform(0.3, 4.0)),
        lambda: world.pause(world.directories[0], draw.uniform(0.3, 4.0)),
        lambda: world.partition(draw.uniform(0.1, 0.5), draw.uniform(1.0, 8.0)),
        lambda: world.refuse_some(draw.choice((0.25, 1.0))),
    )
    world.run(2.0)
    while world.now < PLAY_SECONDS:
        draw.choice(choices)()
        world.run(draw.choice((0.2, 1.0, 3.0, 5.0)))
    return world
