"""Measure what routers of one data centre send each other about upstreams.

Real tables, exchanges and codec run on a simulated clock without sockets, so that 82
routers fit in one process. Each upstream renews once a second with a random router, as
behind a load balancer. Prints, for each size, bytes a second at a router (sent and
received together: websocket frames, and with 40 bytes of TCP and IP headers for each
frame), the age of the load reports that routers hold, how many live upstreams routers
consider expired, and the time until the last router is notified that an upstream left.

Run from the root, with the packages' src folders on PYTHONPATH::

    python -m packages.membership.benchmarks.measure_dissemination
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics
import time
import typing

from trestlestall.membership import (
    documents,
    exchange,
    rows,
    table,
    topology,
    upstreams,
)
from trestlestall.wire import codec, messages

SEED = 20261202
WARM_UP = 15.0
SECONDS = 30.0
HOP_SECONDS = 0.001
PACKET_BYTES = 40
FRAME_BYTES = 6
SIZES = ((3, 25), (3, 65), (5, 65), (21, 150), (82, 150))


class Router:
    """One router: its table and exchange, its links, and the traffic on them."""

    def __init__(self, name: str, names: list[str], upstreams_count: int) -> None:
        self.name = name
        self.table = table.Table("a")
        self.exchange = exchange.Exchange(name, self.table)
        self.exchange.set_routers(names, upstreams_count)
        self.linked = set(self.exchange.plan.neighbours)
        self.bytes = 0
        self.frames = 0


class Bench:
    """Routers and upstreams on one simulated clock."""

    def __init__(self, routers: int, upstreams_count: int) -> None:
        self.random = random.Random(SEED)
        names = [f"router-a{number}" for number in range(routers)]
        self.routers = {name: Router(name, names, upstreams_count) for name in names}
        self.count = upstreams_count
        self.events: list[tuple[float, int, typing.Any, tuple[typing.Any, ...]]] = []
        self.order = itertools.count()
        self.now = 0.0

    def at(self, when: float, function: typing.Any, *args: typing.Any) -> None:
        """Schedule the function at a time of the simulated clock."""
        heapq.heappush(self.events, (when, next(self.order), function, args))

    def run(self, until: float) -> None:
        """Run the scheduled events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until

    def start(self) -> None:
        """Announce all upstreams within a second and start the routers' polls."""
        for number in range(self.count):
            self.at(self.random.random(), self.announce, number)
        for router in self.routers.values():
            self.at(self.random.random() * topology.POLL_SECONDS, self.poll, router)

    def pick(self) -> Router:
        """Return a random router, as a load balancer would choose it."""
        return self.random.choice(list(self.routers.values()))

    def announce(self, number: int) -> None:
        """Announce one upstream at a router, and renew it every second after that."""
        upstream = upstreams.Upstream(
            name=f"engine-a{number}",
            incarnation=1_764_000_000_000 + number,
            data_centre="a",
            address=f"10.1.{number // 250}.{number % 250}:8000",
            models=("bangla-7b", "summary-13b"),
            adapters=("mechanic",),
            slots=16,
            report=self.make_report(),
        )
        self.pick().table.announce(upstream, self.now)
        self.at(self.now + 1.0, self.renew, upstream.name, upstream.incarnation)

    def renew(self, name: str, incarnation: int) -> None:
        """Renew one upstream at a router, and schedule the next renewal."""
        report = self.make_report()
        self.pick().table.renew(name, incarnation, report, self.now)
        self.at(self.now + 1.0, self.renew, name, incarnation)

    def make_report(self) -> upstreams.Report:
        """Return the report of a busy engine with a realistic clock."""
        return upstreams.Report(
            at=1_764_000_000.0 + self.now,
            running=self.random.randrange(17),
            waiting=self.random.randrange(40),
            tokens_per_second=self.random.uniform(100, 3000),
            kv_used=self.random.random(),
        )

    def poll(self, router: Router, again: bool = True) -> None:
        """Send the rows that the router's neighbours have not received."""
        for update in router.exchange.poll(router.linked, self.now):
            self.send(router, update.neighbour, update.rows)
        if again:
            self.at(self.now + topology.POLL_SECONDS, self.poll, router)

    def send(self, sender: Router, name: str, updates: typing.Any) -> None:
        """Encode the rows, count the frame at both ends, and deliver it."""
        message = messages.UpstreamRows(sender.name, documents.encode_rows(updates))
        frame = codec.encode(message)
        for end in (sender, self.routers[name]):
            end.bytes += len(frame) + FRAME_BYTES
            end.frames += 1
        self.at(self.now + HOP_SECONDS, self.deliver, sender, name, frame)

    def deliver(self, sender: Router, name: str, frame: bytes) -> None:
        """Decode and merge a frame, request missing rows, relay urgent changes."""
        receiver = self.routers[name]
        updates = documents.decode_rows(codec.decode(frame).rows)
        received = receiver.exchange.receive(sender.name, updates, self.now)
        if received.missing:
            answer = sender.exchange.answer(received.missing, self.now)
            self.send(sender, name, answer)
        if received.changes:
            self.poll(receiver, again=False)


@dataclasses.dataclass(frozen=True)
class Result:
    """The figures measured for one size."""

    mean_bytes: float
    most_bytes: float
    frames: float
    mean_age: float
    oldest: float
    lost: int
    leaving: float
    seconds: float


def measure(routers: int, count: int) -> Result:
    """Run and measure one size."""
    bench = Bench(routers, count)
    bench.start()
    bench.run(WARM_UP)
    for router in bench.routers.values():
        router.bytes = router.frames = 0
    started = time.process_time()
    ages: list[float] = []
    lost = 0
    for step in range(int(SECONDS)):
        bench.run(WARM_UP + step + 1.0)
        for router in bench.routers.values():
            live = router.table.list_live(bench.now)
            lost += count - len(live)
            ages += [bench.now - upstream.report.received_at for upstream in live]
    cpu_seconds = time.process_time() - started
    bytes_each = [router.bytes / SECONDS for router in bench.routers.values()]
    frames = sum(router.frames for router in bench.routers.values())
    ages.sort()
    return Result(
        mean_bytes=statistics.mean(bytes_each),
        most_bytes=max(bytes_each),
        frames=frames / SECONDS / routers,
        mean_age=statistics.mean(ages),
        oldest=ages[int(len(ages) * 0.99)],
        lost=lost,
        leaving=measure_leaving(bench),
        seconds=cpu_seconds / SECONDS / routers,
    )


def measure_leaving(bench: Bench) -> float:
    """Let an upstream leave; return the time until no router lists it as live."""
    first = bench.pick()
    upstream = first.table.list_live(bench.now)[0]
    started = bench.now
    first.table.leave(upstream.name, upstream.incarnation, bench.now)
    bench.poll(first, again=False)
    while any(
        upstream.name == live.name
        for router in bench.routers.values()
        for live in router.table.list_live(bench.now)
    ):
        bench.run(bench.now + HOP_SECONDS / 2)
    return bench.now - started


def measure_frame(content: typing.Any) -> int:
    """Return the size in bytes of a frame of rows, as sent by a websocket."""
    return len(codec.encode(messages.UpstreamRows("router-a17", content))) + FRAME_BYTES


def print_alternatives(routers: int = 82, count: int = 150) -> None:
    """Print the cost of alternative protocols, from frames of the real codec.

    Figures are bytes a second at one router, sent and received together, for renewals
    alone, when each upstream renews once a second.
    """
    bench = Bench(1, count)
    bench.start()
    bench.run(1.0)
    known = bench.routers["router-a0"].table
    mark = known.mark
    whole = documents.encode_rows(known.list_rows_since(0, bench.now).rows)
    bench.run(2.0)
    short = documents.encode_rows(known.list_rows_since(mark, bench.now).rows)
    ids = [(row[0], row[1]) for row in short]
    base = measure_frame(())
    row = (measure_frame(short) - base) / count
    id_bytes = (measure_frame(ids) - base) / count
    print(f"an empty frame {base}, one renewal {measure_frame(short[:1])} bytes")
    print(
        f"all whole rows {measure_frame(whole)}, "
        f"all renewals {measure_frame(short)} bytes"
    )
    print(f"a renewal in a full frame {row:.1f}, an id {id_bytes:.1f} bytes")
    peers = routers - 1
    flood = 2 * count * peers / routers * measure_frame(short[:1])
    print(f"each renewal at once to every router: {flood:.0f} B/s")
    batch = math.ceil(count / routers)
    print(
        "one frame a second to every router: "
        f"{2 * peers * measure_frame(short[:batch]):.0f} B/s"
    )
    collect = measure_frame(short[:batch])
    print(
        "an aggregator, once a second: "
        f"{peers * (collect + measure_frame(short)):.0f} B/s at it, "
        f"{collect + measure_frame(short):.0f} at the others"
    )
    copies = 3.7
    pulled = copies * id_bytes + 2 * (rows.KEY_BYTES + 1) + 2 * row
    print(
        f"four neighbours, a renewal: bodies at once {copies * row:.0f}, ids before "
        f"bodies {pulled:.0f} bytes sent and received"
    )


def main() -> None:
    """Measure all sizes and print a table."""
    print_alternatives()
    print("routers upstreams interval |  bytes/s mean  most | frames/s  with headers |")
    print("  report age mean p99 s | lost | leaving ms | CPU share")
    for routers, count in SIZES:
        plan = topology.make_plan(
            "router-a0", [f"router-a{n}" for n in range(routers)], count
        )
        result = measure(routers, count)
        with_headers = result.mean_bytes + result.frames * PACKET_BYTES
        print(
            f"{routers:4} {count:4} {plan.interval:5.2f} |"
            f" {result.mean_bytes:7.0f} {result.most_bytes:7.0f} |"
            f" {result.frames:6.1f} {with_headers:7.0f} |"
            f" {result.mean_age:5.2f} {result.oldest:5.2f} | {result.lost} |"
            f" {result.leaving * 1000:5.1f} | {result.seconds:.2%}",
            flush=True,
        )


if __name__ == "__main__":
    main()
