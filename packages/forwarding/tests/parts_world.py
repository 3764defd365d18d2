"""The world of ``crash_world`` with prompts whose parts requests share.

A request has the first part of its route, mostly one of its workspace, at times a
document, and a last part of its own, which is never named. A fatal request has one part
more, first or between the others, and no two are alike; some of them have a sound part
always beside it. The requests of a play last from tenths of a second to several.
"""

import collections
import dataclasses
import math

from packages.forwarding.tests import crash_world
from trestlestall.forwarding import (
    crashes,
    harmful_parts,
    part_evidence,
    part_reports,
    suspects,
)

#: The aim: crashes by one part, and sends of it later than ``CONTACT_SECONDS`` after
#: the fifth crash.
CRASHES_LIMIT = 5
MORE_SENDS = 1
MOST_CRASHES = 8
CONTEXT = "service/model"
#: Seconds from the failure of a trial to the next one.
TRIAL_SECONDS = 6.0
#: Routes: seconds of an answer, and until its first event.
ROUTES = ((0.3, 0.1), (1.0, 0.2), (4.0, 0.4))
WORKSPACES = 8
DOCUMENTS = 60


@dataclasses.dataclass
class Task(crash_world.Task):
    """One attempt; ``keys`` are its named parts, ``fatal_part`` the one that kills."""

    keys: tuple = ()
    workspace: str = ""
    number: int = 0
    lasts: float = 0.3
    first_after: float = 0.1
    fatal_part: str = ""
    began: bool = False


class World(crash_world.World):
    """``wrong`` counts sound requests that are refused for their parts.

    ``begun`` and ``sound`` count sound requests that came while calm, later than twice
    the contact time after the fifth crash by a part, and those that were sent at once.
    """

    make_record = staticmethod(harmful_parts.Record)

    def __init__(self, seed, **options):
        self.trials = {}
        self.in_doubt = {}
        self.scheduler_of = {}
        self.beside = None
        self.calm_from = float("inf")
        self.sound = self.begun = 0
        super().__init__(seed, **options)
        for process in (*self.gateways, *self.directories):
            process.record = self.make_record()

    # Callers.

    def arrive(self):
        self.schedule(self.random.expovariate(self.rate), self.arrive)
        self.asked += 1
        route = self.random.randrange(len(ROUTES))
        workspace = f"w{int(WORKSPACES * self.random.random() ** 2)}"
        parts = [f"route{route}"]
        if self.random.random() < 0.7:
            parts.append(f"{workspace}-{route}")
        if self.random.random() < 0.4:
            parts.append(f"doc{int(DOCUMENTS * self.random.random() ** 2)}")
        if self.beside and self.random.random() < 0.3:
            parts.insert(1, self.beside)
        lasts, first = ROUTES[route]
        lasts *= self.random.uniform(0.6, 1.5)
        task = self.make_task(parts, workspace, lasts=lasts, first_after=first)
        is_late = self.now > self.calm_from
        before = self.wrong + self.lost
        self.send(task)
        if is_late:
            self.sound += 1
            self.begun += self.wrong + self.lost == before

    def make_task(self, parts, workspace, gateway=None, **options):
        keys = tuple(part_reports.Key(CONTEXT, part) for part in dict.fromkeys(parts))
        sends = self.random.choice((1, 2, 2))
        gateway = gateway or self.pick_gateway()
        return Task(
            f"one{self._order}",
            gateway,
            sends_left=sends,
            keys=keys,
            workspace=workspace,
            **options,
        )

    def send_fatal(self, part, until, gap, beside):
        """Send fatal requests, some at the same time; no two are alike."""
        if self.now > until:
            return
        for _ in range(self.random.randint(1, beside)):
            workspace = f"w{self.random.randrange(2)}"
            parts = ["route0", f"{workspace}-0"]
            if self.beside:
                parts.append(self.beside)
            parts.insert(self.random.randrange(3), part)
            task = self.make_task(parts, workspace, fatal=True, fatal_part=part)
            self.schedule(self.random.uniform(0.0, 0.01), self.send, task)
        again = self.random.uniform(0.3, 1.7) * gap
        self.schedule(again, self.send_fatal, part, until, gap, beside)

    # Gateways and directories.

    def send(self, task):
        """Place a request at its gateway and send it."""
        gateway = task.gateway
        if not self.is_awake(gateway) or not self.upstreams:
            self.retry(task)
            return
        scheduler = self.find_directory(gateway)
        verdict = self.evaluate(task, scheduler)
        if verdict not in (crashes.Verdict.HARMLESS, crashes.Verdict.DOUBTFUL):
            self.wrong += not task.fatal
            return
        self._order += 1
        task.number = self._order
        task.sent_at = self.now
        task.sends_left -= 1
        few = self.random.sample(self.upstreams, min(3, len(self.upstreams)))
        upstream = min(few, key=lambda one: len(one.tasks))
        if verdict is crashes.Verdict.DOUBTFUL:
            upstream = self.choose_in_doubt(scheduler or gateway, task, upstream)
        upstream.tasks[task.number] = task
        self.begin(task, upstream)

    def begin(self, task, upstream):
        """Let a task be answered, or crash its upstream."""
        if task.fatal:
            calm = task.gateway.disturbed_until < self.now
            self.fatal_sends[task.fatal_part].append((self.now, calm))
            after = self.random.uniform(0.03, 0.2)
            self.schedule(after, self.crash_under, upstream, task)
            return
        self.schedule(task.first_after, self.begin_answer, upstream, task.number)
        self.schedule(task.lasts, self.answer, upstream, task.number)

    def evaluate(self, task, scheduler):
        """Return the verdict on a request, by all that is known."""
        own = task.gateway.record
        since = math.inf if scheduler else -math.inf
        told = own.evaluate(task.keys, self.now, task.workspace, since)
        if told.verdict is crashes.Verdict.HARMFUL or scheduler is None:
            return told.verdict
        scheduler.record.evidence.record_serving(len(self.upstreams), self.now)
        record, _ = self.scheduler_of.get(id(task.gateway), (None, 0.0))
        if record is not scheduler.record:
            self.scheduler_of[id(task.gateway)] = scheduler.record, self.now
            self.tell_answering(task.gateway, scheduler.record)
        before = len(scheduler.record.list_held())
        since = self.find_judged_since(scheduler)
        found = scheduler.record.evaluate(task.keys, self.now, judges_since=since)
        if len(scheduler.record.list_held()) != before:
            scheduler.updates.append(scheduler.record.report_held(self.now))
        if found.verdict is crashes.Verdict.ON_TRIAL and self.may_try(found.key):
            return crashes.Verdict.HARMLESS
        return found.verdict

    def find_judged_since(self, scheduler):
        """Return since when most gateways in reach ask this directory."""
        asked = []
        for gateway in self.gateways:
            if gateway.side == scheduler.side and gateway.record is not None:
                record, since = self.scheduler_of.get(id(gateway), (None, 0.0))
                asked.append(since if record is scheduler.record else math.inf)
        return sorted(asked)[len(asked) // 2]

    def tell_answering(self, gateway, record):
        """Tell a new scheduler of a gateway's requests that are being answered."""
        for upstream in self.upstreams:
            for number, task in upstream.tasks.items():
                if task.gateway is gateway and task.began:
                    record.evidence.record_answering(
                        str(number), task.keys, task.sent_at, self.now
                    )

    def may_try(self, key):
        """Return whether a request on trial may be sent: one at a time."""
        failed_at = self.trials.get(key, float("-inf"))
        return self.now > failed_at + TRIAL_SECONDS and not self.is_running(key)

    def choose_in_doubt(self, process, task, free):
        """Return the one upstream at which requests with a part in doubt are kept."""
        key = process.record.evaluate(task.keys, self.now).key
        if self.in_doubt.get(key) not in self.upstreams:
            self.in_doubt[key] = free
        return self.in_doubt[key]

    def is_running(self, key):
        return any(
            key in task.keys for one in self.upstreams for task in one.tasks.values()
        )

    def begin_answer(self, upstream, number):
        task = upstream.tasks.get(number)
        if task is None or not self.is_awake(task.gateway):
            return
        task.began = True
        for one in (task.gateway, self.find_directory(task.gateway)):
            if one is not None:
                one.record.evidence.record_answering(
                    str(number), task.keys, task.sent_at, self.now
                )

    def answer(self, upstream, number):
        """Answer a request, unless its upstream or its gateway has crashed."""
        task = upstream.tasks.pop(number, None)
        if task is None or not self.is_awake(task.gateway):
            return
        for one in (task.gateway, self.find_directory(task.gateway)):
            if one is None:
                continue
            report = one.record.record_outcome(
                str(number), task.keys, task.sent_at, True, self.now
            )
            if one in self.directories:
                one.updates.append(report)
            else:
                self.send_to_directories(one, report)

    def leave(self, task):
        """Record at its gateway and the scheduler that a task has ended."""
        for one in (task.gateway, self.find_directory(task.gateway)):
            if one is not None and one.record is not None:
                one.record.evidence.record_left(str(task.number), task.keys, self.now)

    def crash_under(self, upstream, task):
        if upstream in self.upstreams:
            found = self.fatal_crashes[task.fatal_part]
            found[upstream.name] = self.now
            if len(found) == CRASHES_LIMIT:
                self.calm_from = self.now + 2 * crash_world.CONTACT_SECONDS
            self.crash(upstream)

    def break_tasks(self, upstream, tasks):
        """Let gateways detect that connections are closed and new ones refused."""
        by_gateway = collections.defaultdict(list)
        for task in tasks:
            by_gateway[id(task.gateway)].append(task)
        for some in by_gateway.values():
            after = self.random.uniform(*crash_world.REFUSED_SECONDS)
            self.schedule(
                after, self.handle_broken, some, upstream.name, some[0].gateway.record
            )

    def handle_broken(self, tasks, incarnation, record):
        gateway = tasks[0].gateway
        if gateway.record is not record or not self.is_awake(gateway):
            for task in tasks:
                self.retry(task)
            return
        record.evidence.record_crash(incarnation, self.now)
        ends = []
        for task in tasks:
            self.leave(task)
            presence = suspects.Presence(
                task.sent_at, self.now, frozenset((task.workspace,))
            )
            for key in task.keys:
                record.record_end(key, incarnation, presence)
                self.trials[key] = self.now
                ends.append(
                    part_evidence.encode_end(key, incarnation, presence, self.now)
                )
        self.send_to_directories(
            gateway, part_reports.Report(((incarnation, 0.0),), tuple(ends))
        )
        for task in tasks:
            if task.sends_left:
                self.schedule(0.003, self.send, task)
            else:
                self.retry(task)

    def send_updates(self, directory):
        updates = part_reports.merge_reports(directory.updates)
        directory.updates = []
        self.send_to_directories(directory, updates)
        held = directory.record.report_held(self.now)
        report = part_reports.Report((), held.ends, updates.answers, held.held)
        for gateway in self.gateways:
            self.send_report(directory, gateway, report)

    def report_for(self, process, peer):
        if peer in self.gateways:
            return process.record.report_held(self.now)
        return process.record.report(self.now)

    def start(self, process):
        process.record = self.make_record()
        self.schedule(self.random.uniform(0.05, 0.4), self.synchronize, process)

    # Observation.

    def list_breaches(self):
        """Return the fatal parts that crashed, or were sent, more than is aimed at."""
        found = []
        for part, ends in self.fatal_crashes.items():
            if len(ends) < CRASHES_LIMIT:
                continue
            fifth = sorted(ends.values())[CRASHES_LIMIT - 1]
            known_at = fifth + crash_world.CONTACT_SECONDS
            late = [at for at, calm in self.fatal_sends[part] if calm and at > known_at]
            if len(late) > MORE_SENDS:
                found.append((part, round(known_at, 2), len(late)))
        return found


def play(seed, fatal=True, kind=World):
    """Play one random schedule and return the world."""
    return crash_world.play(seed, fatal, kind)
