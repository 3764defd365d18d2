"""Compare demand-driven placement with a static one in a simulation.

One data centre of engines that hold one model each serves three models. Both placements
get the same seeded arrivals and start with the same copies, which fit the initial
demand. In ``steady`` the demand is constant, in ``shift`` it moves from m1 to m2 within
a minute, and in ``swing`` it moves there and back every few minutes.

The simulated router is simple: each request goes to the least loaded engine that holds
its model and is not drained, and times out when its target has passed while it waits.
Printed for each run: attainment by model (answers on time over requests offered),
goodput (tokens of answers on time over tokens offered, and over the engines' capacity),
orders sent, and streams cut off by an unload.

Example: ``python tools/compare_placement.py shift --seeds 1 2 3``
"""

import argparse
import dataclasses
import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
sys.path[:0] = [str(ROOT), *SOURCES]

from packages.placement.tests import world as worlds  # noqa: E402
from trestlestall.placement import model, settings  # noqa: E402

STEP_SECONDS = 0.1
SLOTS = 16
STREAM_RATE = 50.0
ENGINE_RATE = SLOTS * STREAM_RATE
TARGET_SECONDS = 20.0
LENGTHS = ((0.6, 50), (0.4, 350))
MEAN = sum(share * length for share, length in LENGTHS)
SECONDS = 1500.0
SHIFT_START_SECONDS = 400.0
SHIFT_SECONDS = 60.0
SWING_SECONDS = 200.0
DEMAND_WINDOW_SECONDS = 30.0
REPORT_LAG_SECONDS = 5.0
LOAD_SECONDS = 20.0
DECLARED = 2
FIRST_COPIES = {"m1": 6, "m2": 3, "m3": 3}
# Demand in tokens a second, as a multiple of one engine's capacity.
BEFORE = {"m1": 4.2, "m2": 2.1, "m3": 2.1}
AFTER = {"m1": 1.2, "m2": 5.1, "m3": 2.1}


@dataclasses.dataclass
class Request:
    """A request; ``left`` is the number of tokens still to be generated."""

    model: str
    at: float
    length: int
    left: float


class Server:
    """The running streams and the waiting requests of one engine."""

    def __init__(self, engine):
        self.engine = engine
        self.running, self.waiting = [], []

    def advance(self, now, tally):
        """Generate the tokens of one simulation step."""
        for request in list(self.running):
            request.left -= STREAM_RATE * STEP_SECONDS
            if request.left <= 0:
                self.running.remove(request)
                tally.finish(request, now)
        self.waiting = [one for one in self.waiting if now - one.at <= TARGET_SECONDS]
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.pop(0))
        self.engine.running = len(self.running) + len(self.waiting)


class Tally:
    """Counts of requests by model, and of tokens."""

    def __init__(self):
        self.offered, self.on_time = {}, {}
        self.tokens_offered = self.tokens_on_time = 0

    def offer(self, request):
        """Count an offered request."""
        self.offered[request.model] = self.offered.get(request.model, 0) + 1
        self.tokens_offered += request.length

    def finish(self, request, now):
        """Count an answer if it is on time."""
        if now - request.at <= TARGET_SECONDS:
            self.on_time[request.model] = self.on_time.get(request.model, 0) + 1
            self.tokens_on_time += request.length


def find_share(scenario, now):
    """Return how far (0 to 1) demand has moved from ``BEFORE`` to ``AFTER``."""
    if scenario == "steady" or now < SHIFT_START_SECONDS:
        return 0.0
    if scenario == "swing":
        return float(int((now - SHIFT_START_SECONDS) / SWING_SECONDS) % 2 == 0)
    return min(1.0, (now - SHIFT_START_SECONDS) / SHIFT_SECONDS)


def make_arrivals(scenario, seed):
    """Return the requests of a run in order of arrival."""
    rng = random.Random(seed)
    arrivals = []
    for name in FIRST_COPIES:
        now = 0.0
        while now < SECONDS:
            share = find_share(scenario, now)
            engines = BEFORE[name] * (1 - share) + AFTER[name] * share
            now += rng.expovariate(engines * ENGINE_RATE / MEAN)
            length = rng.choices(
                [length for _, length in LENGTHS], [each for each, _ in LENGTHS]
            )[0]
            arrivals.append(Request(name, now, length, float(length)))
    return sorted(arrivals, key=lambda request: request.at)


class Run:
    """One run: a world with engines and, unless static, a leader that controls them."""

    def __init__(self, scenario, seed, follows, rules):
        self.arrivals = make_arrivals(scenario, seed)
        self.tally = Tally()
        made = settings.Settings(planning=rules)
        self.world = worlds.World(seed=seed, settings=made, leaders=1)
        names = [n for n, copies in FIRST_COPIES.items() for _ in range(copies)]
        self.servers = []
        for number, name in enumerate(names):
            engine = self.world.add(f"e{number:02d}", models=[name])
            engine.load_seconds = LOAD_SECONDS
            self.servers.append(Server(engine))
        for name in FIRST_COPIES:
            self.world.want(name, DECLARED)
        if follows:
            self.world.elect(0)
        self.recent = []

    def run(self):
        """Run the simulation to its end."""
        place, now = 0, 0.0
        while now < SECONDS + TARGET_SECONDS:
            now += STEP_SECONDS
            self.world.run(now)
            while place < len(self.arrivals) and self.arrivals[place].at <= now:
                self.place(self.arrivals[place])
                place += 1
            for server in self.servers:
                server.advance(now, self.tally)
            self.report_demand(now)
        return self

    def place(self, request):
        """Send a request to the least loaded engine that may serve it."""
        self.tally.offer(request)
        self.recent.append(request)
        open_to = [
            server
            for server in self.servers
            if request.model in server.engine.versions
            and server.engine.name not in self.world.drained
        ]
        if open_to:
            least = min(open_to, key=lambda one: len(one.running) + len(one.waiting))
            least.waiting.append(request)

    def report_demand(self, now):
        """Report the demand to the leader, ``REPORT_LAG_SECONDS`` seconds late."""
        until = now - REPORT_LAG_SECONDS
        since = until - DEMAND_WINDOW_SECONDS
        self.recent = [one for one in self.recent if one.at >= since]
        asked = dict.fromkeys(FIRST_COPIES, 0.0)
        for request in self.recent:
            if request.at <= until:
                asked[request.model] += request.length / DEMAND_WINDOW_SECONDS
        self.world.demand = {
            ("a", name): model.ModelDemand(rate) for name, rate in asked.items()
        }

    def describe(self):
        """Return the results as one line."""
        tally = self.tally
        parts = [
            f"{tally.on_time.get(name, 0) / tally.offered[name]:8.2%}"
            for name in FIRST_COPIES
        ]
        total = sum(tally.on_time.values()) / sum(tally.offered.values())
        good = tally.tokens_on_time / tally.tokens_offered
        could = ENGINE_RATE * len(self.servers) * SECONDS
        given = sum(len(server.engine.effects) for server in self.servers)
        cut = sum(len(server.engine.cut_off) for server in self.servers)
        share = tally.tokens_on_time / could
        figures = f"{total:8.2%} {good:8.2%} {share:8.2%} {given:7d} {cut:4d}"
        return " ".join(parts) + " | " + figures


def main() -> int:
    """Print a table for each scenario."""
    scenarios = ["steady", "shift", "swing"]
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("scenarios", nargs="*", default=scenarios)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2, 3])
    options = parser.parse_args()
    follow = settings.Planning(models_per_engine=1, copy_rate=ENGINE_RATE)
    eager = dataclasses.replace(follow, low=follow.high, hold=0.0)
    kinds = [
        ("static", False, follow),
        ("follows", True, follow),
        ("no-hysteresis", True, eager),
    ]
    heads = " ".join(f"{name:>8}" for name in FIRST_COPIES)
    for scenario in options.scenarios:
        print(f"{scenario}: {sum(FIRST_COPIES.values())} engines x {SLOTS} slots")
        print(f"{'':17} {heads} | {'all':>8} {'goodput':>8} {'of max':>8}  orders  cut")
        for seed in options.seeds:
            for name, follows, rules in kinds:
                line = Run(scenario, seed, follows, rules).run().describe()
                print(f"{name:14} {seed:2d} {line}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
