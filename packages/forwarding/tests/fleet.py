"""A fleet of processes in virtual time that share one budget of repeated sends.

Callers' requests arrive at whichever processes live; some are answered by a failure and
ask for repeats. Processes are killed and come back, stand still, are cut off, are added
and leave. ``list_breaches`` judges the whole, as an observer of all upstreams would.
"""

import bisect
import dataclasses
import heapq
import random

from trestlestall.forwarding import budgets

SERVICE = "engines"
#: Seconds between two rosters that tell how many processes there are.
ROSTER_SECONDS = 2.0
#: Seconds of a play, and the first ones without a fault: a window to fill the counts.
PLAY_SECONDS = 45.0
CALM_SECONDS = 12.0


@dataclasses.dataclass
class Process:
    """One address of the fleet; ``ledger`` is None while it is down.

    ``told_by`` is the side that tells it how many there are.
    """

    ledger: budgets.Ledger | None
    weight: float
    paused_until: float = 0.0
    side: int = 0


class Fleet:
    """``size`` processes with ``rate`` requests a second in all, by a seed."""

    def __init__(self, size, rate, bound, seed, demand=1.0):
        self.random = random.Random(seed)
        self.bound = bound
        self.rate = rate
        self.demand = demand
        self.failing = 0.0
        self.requests = []
        self.repeats = []
        self.kills = 0
        self.now = 0.0
        self._events = []
        self._order = 0
        self.processes = [self.make_process() for _ in range(size)]
        self.schedule(0.0, self.tell_counts)

    def make_process(self):
        return Process(budgets.Ledger(), self.random.uniform(0.3, 1.7))

    def schedule(self, after, act, *arguments):
        """Let something happen ``after`` seconds from now."""
        self._order += 1
        event = (self.now + after, self._order, act, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Let the time pass: requests arrive, and what was scheduled happens."""
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
                self.take_request()
                arrival = self.now + self.random.expovariate(self.rate)
        self.now = end

    # What the callers do.

    def take_request(self):
        self.requests.append(self.now)
        awake = [one for one in self.processes if self.is_awake(one)]
        if not awake:
            return
        process = self.random.choices(awake, [one.weight for one in awake])[0]
        process.ledger.note_request(SERVICE, self.now)
        self.ask_repeats(process, 3)

    def ask_repeats(self, process, left):
        """Ask for one more send, and for another one if that fails too."""
        if not left or not self.is_awake(process):
            return
        if self.random.random() >= self.failing:
            return
        if process.ledger.spend(SERVICE, self.bound, self.now):
            self.repeats.append(self.now)
            self.schedule(
                self.random.uniform(0.002, 0.1), self.ask_repeats, process, left - 1
            )

    def is_awake(self, process):
        return process.ledger is not None and process.paused_until <= self.now

    # What the directories do.

    def tell_counts(self):
        """Tell each process how many there are on its side."""
        present = [one for one in self.processes if one.ledger is not None]
        for process in present:
            count = sum(other.side == process.side for other in present)
            if self.is_awake(process):
                process.ledger.note_processes(count, self.now)
        self.schedule(ROSTER_SECONDS, self.tell_counts)

    # What goes wrong.

    def kill(self, share, seconds):
        """Kill a share of the processes, and start them again later."""
        for process in self.pick(share):
            process.ledger = None
            self.kills += 1
            self.schedule(seconds, self.start, process)

    def start(self, process):
        if process.ledger is None:
            process.ledger = budgets.Ledger()

    def pause(self, share, seconds):
        for process in self.pick(share):
            process.paused_until = self.now + seconds

    def roll(self, gap, seconds):
        """Restart one process after the other."""
        for number, process in enumerate(list(self.processes)):
            self.schedule(number * gap, self.restart, process, seconds)

    def restart(self, process, seconds):
        if process in self.processes and process.ledger is not None:
            process.ledger = None
            self.kills += 1
            self.schedule(seconds, self.start, process)

    def cut(self, share, seconds):
        """Let a share of the processes hear of their own side alone."""
        side = 1 + max(one.side for one in self.processes)
        for process in self.pick(share):
            process.side = side
            self.schedule(seconds, self.heal, process)

    def heal(self, process):
        process.side = 0

    def add(self, count):
        self.processes += [self.make_process() for _ in range(count)]

    def remove(self, share):
        """Let a share leave for good, but for the last one."""
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

    # What an observer of all upstreams sees.

    def list_breaches(self):
        """Return the windows, by their end, with more repeats than the bound allows.

        Requests are counted in the window, in the one before, or half a window before,
        wherever they were most.
        """
        window = self.bound.window
        found = []
        for number, end in enumerate(self.repeats):
            start = end - window
            spent = number + 1 - bisect.bisect_left(self.repeats, start)
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


def play(seed):
    """Play one drawn schedule of faults and return the fleet."""
    draw = random.Random(seed)
    size = draw.choice((2, 3, 9, 9, 40, 200))
    rate = draw.choice((30.0, 80.0, 250.0))
    ratio = draw.choice((0.1, 0.2, 0.2))
    slack = round(ratio * rate * 10 * draw.uniform(0.3, 0.9))
    fleet = Fleet(size, rate, budgets.Bound(ratio, slack, 10.0), seed)
    choices = (
        lambda: fleet.kill(draw.choice((0.1, 0.5, 0.9, 1.0)), draw.uniform(0.2, 3.0)),
        lambda: fleet.kill(draw.choice((0.3, 0.9)), draw.uniform(0.2, 1.0)),
        lambda: fleet.pause(draw.uniform(0.05, 0.4), draw.uniform(0.5, 5.0)),
        lambda: fleet.roll(draw.uniform(0.1, 2.0), draw.uniform(0.3, 2.0)),
        lambda: fleet.cut(draw.uniform(0.1, 0.5), draw.uniform(2.0, 20.0)),
        lambda: fleet.add(max(1, size // 10)),
        lambda: fleet.remove(draw.uniform(0.05, 0.2)),
    )
    fleet.run(CALM_SECONDS)
    while fleet.now < PLAY_SECONDS:
        if not fleet.failing:
            fleet.fail(draw.choice((0.3, 0.5, 1.0)), draw.uniform(2.0, 12.0))
        draw.choice(choices)()
        fleet.run(draw.choice((0.5, 1.0, 3.0, 6.0)))
    return fleet
