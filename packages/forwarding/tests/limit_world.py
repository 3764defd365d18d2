"""A fleet in virtual time whose upstream advertises a limit, for random schedules.

Gateways ask the lowest directory that they are linked to, as the real ones do, and go
on without an unresponsive one. Links are partitioned and slow, gateways and directories
are killed and restarted, directories are held up. Counting uses the product's own
``RateLimits``; the messages between processes are modelled here after
``daemon/gateway`` and ``daemon/directory``.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from trestlestall.forwarding import rate_limits

LIMITED, FREE = "limited", "free"
#: Seconds: timeout of a directory, until it is asked again, minimum age of a link, and
#: until a partitioned link is detected.
TIMEOUT_SECONDS, UNRESPONSIVE_SECONDS, SETTLED_SECONDS, NOTICED_SECONDS = (
    0.1,
    0.5,
    1.0,
    1.5,
)
TIMEOUTS_LIMIT, AVOIDED_SECONDS = 2, 4.0
ISOLATED_SECONDS = 6.0
#: The longest time until a killed or partitioned process is back, in seconds.
LONGEST_FAULT_SECONDS = 2.5
#: The longest time for which a directory is held up, shorter than until its links are
#: lost, in seconds.
LONGEST_STALL_SECONDS = 1.9
SECONDS = 24.0
#: When the upstream begins to advertise its limit.
BEGIN_SECONDS = 4.0


@dataclasses.dataclass
class Gateway:
    """A gateway: its cached limits, and the state of its directories."""

    limits: rate_limits.RateLimits
    notified_at: float | None = None
    disturbed_at: float = -100.0
    unresponsive_until: float = 0.0
    timeouts: int = 0
    answered_at: float = 0.0
    start: int = 0
    avoided: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at the limited upstream, and when its gateway was notified."""

    at: float
    gateway: int
    notified_at: float | None
    disturbed_at: float


class World:
    """One random schedule; ``play`` returns the arrivals at the limited upstream."""

    def __init__(self, seed, shares_counts=True, disturbs=True, stalls=False):
        self.drawn = random.Random(seed)
        self.shares_counts = shares_counts
        self.disturbs = disturbs
        self.stalls = stalls
        self.stalled = collections.defaultdict(float)
        self.held_until = collections.defaultdict(float)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.limit = self.drawn.choice((0.0, 0.4, 1.2, 2.0, 5.0, 12.0))
        self.demand = self.drawn.uniform(20.0, 120.0)
        self.gateways = [
            Gateway(rate_limits.RateLimits(share=0.0))
            for _ in range(self.drawn.randint(2, 20))
        ]
        count = self.drawn.randint(2, 5)
        self.directories = [self.make_directory(one) for one in range(count)]
        self.dead = set()
        self.linked_at = {pair: -10.0 for pair in self.list_pairs()}
        self.partitioned = set()
        self.slow = collections.defaultdict(float)
        self.arrivals = []

    def make_directory(self, number):
        """Return the limits of a directory that has just started."""
        return rate_limits.RateLimits(read_stalled=lambda: self.stalled[number])

    def list_pairs(self):
        """Return all pairs of a gateway and a directory."""
        return list(
            itertools.product(range(len(self.gateways)), range(len(self.directories)))
        )

    def after(self, seconds, work, *given):
        """Schedule a call."""
        entry = (self.now + seconds, next(self.order), work, given)
        heapq.heappush(self.events, entry)

    def play(self):
        """Play the schedule to its end."""
        self.after(0.0, self.ask_next)
        if self.disturbs:
            self.after(self.drawn.uniform(0.0, 6.0), self.disturb)
        if self.stalls:
            self.after(BEGIN_SECONDS, self.hold_up_directory)
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, work, given = heapq.heappop(self.events)
            work(*given)
        return self.arrivals

    # Faults.

    def disturb(self):
        """Cause a fault, and schedule the next one."""
        faults = (
            self.kill_directory,
            self.kill_gateway,
            self.partition_links,
            self.slow_links,
        )
        self.drawn.choice(faults)()
        self.after(self.drawn.uniform(0.2, 4.0), self.disturb)

    def kill_directory(self):
        """Kill a directory; it restarts without state."""
        number = self.drawn.randrange(len(self.directories))
        if number in self.dead or len(self.dead) + 1 == len(self.directories):
            return
        self.dead.add(number)
        for gateway in range(len(self.gateways)):
            self.linked_at.pop((gateway, number), None)
        self.after(
            self.drawn.uniform(0.3, LONGEST_FAULT_SECONDS), self.start_directory, number
        )

    def start_directory(self, number):
        """Start a directory, to which gateways link again."""
        self.dead.discard(number)
        self.directories[number] = self.make_directory(number)
        for gateway in range(len(self.gateways)):
            self.after(self.drawn.uniform(0.0, 0.5), self.link, gateway, number)

    def link(self, gateway, number):
        """Open a link, over which a gateway sends all advertised limits."""
        pair = gateway, number
        if number in self.dead or pair in self.partitioned or pair in self.linked_at:
            return
        self.linked_at[pair] = self.now
        statements = self.gateways[gateway].limits.list_advertised(self.now)
        for identity, limit, age in statements:
            self.send_message(
                gateway, number, "stated", identity, limit, self.now - age
            )

    def kill_gateway(self):
        """Kill a gateway; it restarts without state."""
        gateway = self.drawn.randrange(len(self.gateways))
        former = self.gateways[gateway]
        self.gateways[gateway] = Gateway(
            rate_limits.RateLimits(share=0.0),
            disturbed_at=self.now,
            answered_at=self.now,
            start=former.start + 1,
        )
        for number in range(len(self.directories)):
            self.linked_at.pop((gateway, number), None)
            self.after(
                self.drawn.uniform(0.3, LONGEST_FAULT_SECONDS),
                self.link,
                gateway,
                number,
            )

    def partition_links(self):
        """Partition some gateways from some directories."""
        for gateway, number in self.list_pairs():
            if self.drawn.random() < 0.15:
                self.partitioned.add((gateway, number))
                seconds = self.drawn.uniform(0.3, LONGEST_FAULT_SECONDS)
                self.gateways[gateway].disturbed_at = self.now + seconds
                self.after(NOTICED_SECONDS, self.linked_at.pop, (gateway, number), None)
                self.after(seconds, self.heal, gateway, number)

    def heal(self, gateway, number):
        """End a partition; links that were detected as lost are opened again."""
        self.partitioned.discard((gateway, number))
        self.after(NOTICED_SECONDS, self.link, gateway, number)

    def slow_links(self):
        """Delay messages on some links, some beyond the timeout of a gateway."""
        for pair in self.list_pairs():
            self.slow[pair] = 0.0
            if self.drawn.random() < 0.2:
                self.slow[pair] = self.drawn.uniform(0.02, 0.3)

    def hold_up_directory(self):
        """Hold up the directory that is asked most; it reads nothing meanwhile."""
        seconds = self.drawn.uniform(0.3, LONGEST_STALL_SECONDS)
        self.held_until[0] = self.now + seconds
        self.after(seconds, self.resume_directory, seconds)
        self.after(seconds + self.drawn.uniform(0.2, 3.0), self.hold_up_directory)

    def resume_directory(self, seconds):
        """Count the stall, before the directory reads what has arrived meanwhile."""
        self.stalled[0] += seconds

    # Messages.

    def send_message(self, gateway, number, kind, *given):
        """Send a message to a directory, if there is a link; it may be lost."""
        pair = gateway, number
        if pair in self.linked_at and pair not in self.partitioned:
            delay = 0.002 + self.slow[pair]
            self.after(delay, self.handle, pair, kind, given)

    def broadcast(self, gateway, kind, *given, besides=None):
        """Send a message to all linked directories but one."""
        for number in range(len(self.directories)):
            if number != besides:
                self.send_message(gateway, number, kind, *given)

    def handle(self, pair, kind, given):
        """Handle a message at a directory."""
        gateway, number = pair
        if number in self.dead or pair not in self.linked_at:
            return
        if self.now < self.held_until[number]:
            self.after(
                self.held_until[number] - self.now, self.handle, pair, kind, given
            )
            return
        limits = self.directories[number]
        if kind == "stated":
            identity, limit, at = given
            limits.record_limit(identity, limit, at, self.now)
        elif kind == "unstated":
            limits.record_no_limit(*given)
        elif kind == "sent" and self.shares_counts:
            limits.consume_remote(*given, self.now)
        elif kind == "ask":
            self.place(pair, *given)

    def place(self, pair, request, start):
        """Choose an upstream, the limited one first, and answer."""
        gateway, number = pair
        limits = self.directories[number]
        chosen = FREE if LIMITED in limits.list_exhausted(self.now) else LIMITED
        limits.consume(chosen, self.now)
        limit = limits.find_limit(chosen)
        if pair not in self.partitioned:
            delay = 0.002 + self.slow[pair]
            self.after(delay, self.handle_answer, pair, request, start, chosen, limit)

    # Requests.

    def ask_next(self):
        """Receive a caller's request at a gateway, and schedule the next one."""
        gateway = self.drawn.randrange(len(self.gateways))
        self.ask(gateway)
        self.after(self.drawn.expovariate(self.demand), self.ask_next)

    def ask(self, gateway):
        """Ask a directory for a place, or choose without one."""
        own = self.gateways[gateway]
        number = self.find_directory(gateway)
        if number is None or self.now < own.unresponsive_until:
            self.choose(gateway)
            return
        request = {"open": True}
        self.send_message(gateway, number, "ask", request, own.start)
        self.after(TIMEOUT_SECONDS, self.time_out, gateway, number, request, own.start)

    def find_directory(self, gateway):
        """Return the directory that a gateway asks."""
        own = self.gateways[gateway]
        linked = [
            (number, since)
            for number in range(len(self.directories))
            if (since := self.linked_at.get((gateway, number))) is not None
        ]
        settled = [
            number
            for number, since in linked
            if since <= self.now - SETTLED_SECONDS
            and own.avoided.get(number, 0.0) <= self.now
        ]
        return min(settled or [number for number, _ in linked], default=None)

    def time_out(self, gateway, number, request, start):
        """Go on without a directory that did not answer in time."""
        own = self.gateways[gateway]
        if not request["open"] or start != own.start:
            return
        request["open"] = False
        own.unresponsive_until = self.now + UNRESPONSIVE_SECONDS
        own.timeouts += 1
        if own.timeouts >= TIMEOUTS_LIMIT:
            own.timeouts = 0
            own.avoided[number] = self.now + AVOIDED_SECONDS
        self.choose(gateway)

    def handle_answer(self, pair, request, start, chosen, limit):
        """Send a request to where it was placed."""
        gateway, number = pair
        own = self.gateways[gateway]
        if not request["open"] or start != own.start or pair not in self.linked_at:
            return
        request["open"] = False
        own.timeouts, own.answered_at = 0, self.now
        if limit is not None:
            if own.limits.find_limit(chosen) is None:
                own.limits.record_limit(chosen, limit, self.now, self.now)
            self.broadcast(gateway, "sent", chosen, besides=number)
        self.send(gateway, chosen)

    def choose(self, gateway):
        """Choose by the gateway's own cached limits."""
        limits = self.gateways[gateway].limits
        is_isolated = self.now - self.gateways[gateway].answered_at > ISOLATED_SECONDS
        limited = (
            limits.list_exhausted(self.now) if is_isolated else limits.list_limited()
        )
        chosen = FREE if LIMITED in limited else LIMITED
        limits.consume(chosen, self.now)
        self.send(gateway, chosen)

    def send(self, gateway, upstream):
        """Send a request, which is answered after some time."""
        if upstream != LIMITED:
            return
        own = self.gateways[gateway]
        arrived = self.now + 0.001
        arrival = Arrival(arrived, gateway, own.notified_at, own.disturbed_at)
        self.arrivals.append(arrival)
        work = self.drawn.uniform(0.01, 1.0)
        self.after(
            work, self.handle_reply, gateway, own.start, self.now, self.now + work
        )

    def handle_reply(self, gateway, start, sent_at, answered_at):
        """Handle the headers of an answer."""
        own = self.gateways[gateway]
        if start != own.start:
            return
        if answered_at >= BEGIN_SECONDS:
            if own.notified_at is None:
                own.notified_at = self.now
            own.limits.record_limit(LIMITED, self.limit, self.now, self.now)
            self.broadcast(gateway, "stated", LIMITED, self.limit, self.now)
        elif own.limits.find_limit(LIMITED) is not None:
            own.limits.record_no_limit(LIMITED, sent_at)
            self.broadcast(gateway, "unstated", LIMITED, sent_at)
