"""Compare the policy with two simple ones under a simulated one-minute burst.

Runs the same seeded open-loop load (Basu's and Krvodar's mixes, two kinds of length)
through each policy with the fake engines of the policy's tests, and prints one table
per mix. The columns for each class: attainment (complete answers on time over requests
offered), refused at once, answered late, timed out while waiting, and the share of the
engines' capacity used for its answers on time. For each run: goodput (the sum of these
shares) and wasted work (tokens that nobody received over tokens generated). Capacity
does not count the time to the first token, so 100% can't be reached.

Example: ``python tools/compare_policies.py basu --seeds 1 2 3``
"""

import argparse
import dataclasses
import pathlib
import random
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
sys.path[:0] = [str(ROOT), *SOURCES]

from packages.policy.tests import drivers  # noqa: E402
from trestlestall.configuration import model  # noqa: E402
from trestlestall.policy import (  # noqa: E402
    actions,
    outcomes,
    router_policy,
    settings,
)

ENGINES = 8
SLOTS = 8
TOKEN_INTERVAL_SECONDS = 0.02
FIRST_TOKEN_SECONDS = 0.1
BURST_SECONDS = 60.0
DRAIN_SECONDS = 40.0
CAPACITY = ENGINES * SLOTS / TOKEN_INTERVAL_SECONDS
SHORT_OR_LONG = ((0.6, 50), (0.4, 350))
LETTER = ((1.0, 600),)
NOTE = ((1.0, 30),)


class SendAtOnce:
    """First come, first served: each request is sent to an upstream on arrival."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._in_flight: dict[str, int] = {}
        self._attempts: dict[str, tuple[str, str]] = {}
        self._requests: dict[str, str] = {}
        self._answered: set[str] = set()

    def arrive(self, request, view, now):
        """Send to the chosen upstream."""
        name = self.choose(view.upstreams)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        attempt = f"a-{request.request}"
        self._attempts[attempt] = (request.request, name)
        self._requests[request.request] = attempt
        return [actions.Send(request.request, attempt, name, 0, (name,), "")]

    def choose(self, upstreams):
        """Choose at random."""
        return self._random.choice(upstreams).name

    def progress(self, attempt, tokens, now):
        """Answer with the first token."""
        if attempt in self._answered:
            return []
        self._answered.add(attempt)
        return [actions.Answer(self._attempts[attempt][0], attempt)]

    def finish(self, attempt, outcome, tokens, now):
        """Answer the request, or fail it without a retry."""
        request, name = self._attempts[attempt]
        self._in_flight[name] -= 1
        if isinstance(outcome, outcomes.Completed):
            return self.progress(attempt, tokens, now)
        decided = [actions.Wasted(attempt, tokens)] if tokens else []
        if not isinstance(outcome, outcomes.Cancelled):
            decided.append(actions.Fail(request, actions.OUTCOME_UNKNOWN))
        return decided

    def hang_up(self, request, now):
        """Cancel."""
        return [actions.Cancel(self._requests[request])]

    def tick(self, view, now):
        """Do nothing."""
        return []


class LeastInFlight(SendAtOnce):
    """First come, first served at the upstream with the fewest requests in flight."""

    def choose(self, upstreams):
        """Choose the least loaded upstream, at random among equals."""
        found = [(self._in_flight.get(up.name, 0), up.name) for up in upstreams]
        least = min(count for count, _ in found)
        return self._random.choice([name for count, name in found if count == least])


@dataclasses.dataclass(frozen=True)
class Demand:
    """One class's load, with its rate as a multiple of the engines' capacity."""

    request_class: model.RequestClass
    multiple: float
    lengths: tuple


def list_mixes() -> dict[str, list[Demand]]:
    """Return the mixes by name."""
    breakdown = model.RequestClass("breakdown", 0, 15.0, 2.0, True, 0.05)
    helpline = model.RequestClass("helpline", 1, 20.0, 5.0, True, 0.05)
    alert = model.RequestClass("alert", 2, 30.0, None, False, 0.03)
    confirmation = model.RequestClass("confirmation", 0, 3.0, None, False, 0.05)
    donor = model.RequestClass("donor", 1, 20.0, 5.0, True, 0.05)
    letter = model.RequestClass("letter", 2, 60.0, None, True, 0.03)
    return {
        "basu": [
            Demand(breakdown, 0.4, SHORT_OR_LONG),
            Demand(helpline, 8.0, SHORT_OR_LONG),
            Demand(alert, 2.0, NOTE),
        ],
        "basu-top": [
            Demand(breakdown, 10.0, SHORT_OR_LONG),
            Demand(helpline, 0.5, SHORT_OR_LONG),
            Demand(alert, 0.2, NOTE),
        ],
        "krvodar": [
            Demand(confirmation, 0.1, NOTE),
            Demand(donor, 9.0, SHORT_OR_LONG),
            Demand(letter, 1.0, LETTER),
        ],
    }


def make_load(demands: list[Demand], seed: int, routers: int) -> list:
    """Return the arrivals of the one-minute burst."""
    rng = drivers.make_rng(seed)
    load = []
    for demand in demands:
        mean = sum(share * length for share, length in demand.lengths)
        held = FIRST_TOKEN_SECONDS + mean * TOKEN_INTERVAL_SECONDS
        rate = demand.multiple * ENGINES * SLOTS / held
        load += drivers.make_load(
            rng,
            demand.request_class,
            rate,
            0.0,
            BURST_SECONDS,
            demand.lengths,
            routers=routers,
            workspaces=("large", "large", "large", "small"),
            wait_timeout=1.5,
        )
    return load


def make_policies(kind: str, seed: int, routers: int) -> list:
    """Return one policy for each router."""
    made = {
        "trestlestall": lambda index: router_policy.Policy(
            seed * 100 + index, settings.Settings(router=f"r{index}")
        ),
        "random": lambda index: SendAtOnce(seed * 100 + index),
        "least-in-flight": lambda index: LeastInFlight(seed * 100 + index),
    }
    return [made[kind](index) for index in range(routers)]


def run(kind: str, demands, seed: int, options) -> drivers.Driver:
    """Run one policy through one load."""
    engines = drivers.make_engines(
        ENGINES,
        slots=SLOTS,
        gap=TOKEN_INTERVAL_SECONDS,
        first=FIRST_TOKEN_SECONDS,
        priorities=not options.plain,
    )
    policies = make_policies(kind, seed, options.routers)
    driver = drivers.Driver(policies, engines)
    load = make_load(demands, seed, options.routers)
    if options.straggler:
        engines[0].pace = 0.1
    if options.crash:
        driver.run(load, 30.0)
        driver.crash("u1")
        load = [item for item in load if item[0].now >= 30.0]
    driver.run(load, BURST_SECONDS + DRAIN_SECONDS)
    return driver


def count_good(record: drivers.Record) -> float:
    """Return the tokens generated during the burst for an answer on time."""
    if not record.on_time:
        return 0.0
    made_for = max(1e-9, record.done_at - record.first_at)
    within = max(0.0, min(record.done_at, BURST_SECONDS) - record.first_at)
    return record.length * min(1.0, within / made_for)


def describe(driver: drivers.Driver, demands) -> str:
    """Return the results of one run as one line."""
    parts = []
    for demand in demands:
        records = [
            record
            for record in driver.records.values()
            if record.arrival.request_class == demand.request_class
        ]
        on_time = sum(record.on_time for record in records) / len(records)
        refused = sum(record.ended == "refused" for record in records) / len(records)
        late = sum(
            record.ended == "answered" and not record.on_time for record in records
        )
        served = sum(count_good(record) for record in records)
        served /= CAPACITY * BURST_SECONDS
        given_up = sum(record.ended == "not_run" for record in records)
        parts.append(
            f"{on_time:8.2%} {refused:8.2%} {late:5d} {given_up:5d} {served:6.2%}"
        )
    good = sum(count_good(record) for record in driver.records.values())
    made = sum(engine.made for engine in driver.engines.values())
    share = good / (CAPACITY * BURST_SECONDS)
    wasted = driver.wasted / max(1, made)
    return " |".join(parts) + f" | {share:7.2%} {wasted:7.2%}"


def main() -> int:
    """Print one table for each mix."""
    mixes = list_mixes()
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("mixes", nargs="*", default=list(mixes))
    parser.add_argument("--seeds", nargs="*", type=int, default=[1])
    parser.add_argument("--routers", type=int, default=2)
    parser.add_argument("--only", help="run just this policy")
    parser.add_argument("--plain", action="store_true", help="engines without priority")
    parser.add_argument("--straggler", action="store_true", help="u0 at a tenth")
    parser.add_argument("--crash", action="store_true", help="u1 restarts at 30 s")
    options = parser.parse_args()
    kinds = [options.only] if options.only else ["random", "least-in-flight"]
    kinds += [] if options.only else ["trestlestall"]
    for name in options.mixes:
        demands = mixes[name]
        print(
            f"mix {name}: {options.routers} routers, {ENGINES} engines x {SLOTS} slots"
        )
        heads = [
            f"{demand.request_class.name:>8.8}  refused  late gaveup  share"
            for demand in demands
        ]
        print(" " * 19 + " |".join(heads) + " | goodput  wasted")
        for seed in options.seeds:
            for kind in kinds:
                began = time.perf_counter()
                line = describe(run(kind, demands, seed, options), demands)
                spent = time.perf_counter() - began
                print(f"{kind:15} {seed:2d} {line}  ({spent:.0f} s)", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
