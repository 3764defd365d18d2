"""Measure how long one choice of an upstream takes, for fleets of several sizes.

``python packages/forwarding/benchmarks/measure_choice.py`` plays a mix of long and
short prompts, drawn with a fixed seed, in virtual time; only choices are timed. It
prints a line for each number of upstreams: the mean time of a choice in milliseconds,
without optional features, and with separate pools where the size calls for them.
"""

import random
import time

from trestlestall.forwarding import (
    descriptors,
    feature_flags,
    model,
    placement,
    upstreams,
)

SIZES = (10, 60, 200, 600)
WARMING, MEASURED = 800, 1200
#: Requests a second of each upstream.
RATE = 4.0
PLACES = ("a", "b", "c", "d")
#: Seconds that a request lasts after its first event.
LASTING = 1.2
#: Share, sizes and variants of the shared blocks, own tokens, target, rank, pause.
KINDS = (
    (0.27, ((512, 1), (4870, 743)), 6610, 2.0, 2, 0.8),
    (0.40, ((119, 80), (79, 1494)), 628, 0.27, 0, 0.2),
    (0.33, ((341, 16), (227, 964)), 1800, 0.42, 1, 0.3),
)
APART = feature_flags.Features(
    keeps_apart=True, refuses_by_forecast=True, learns_speeds=True, least_slots=1
)


def make_placer(size: int, features: feature_flags.Features) -> placement.Placer:
    """Return a placer of so many equal engines in four data centres."""
    engine = model.Engine(12, 400_000, 5e-6)
    service = model.Service("engines", "/", 500, engine)
    configuration = model.Configuration(1, (), {service.name: service}, ())
    rows = [
        upstreams.Row(
            f"u{number}",
            1,
            upstreams.State.SERVING,
            service.name,
            f"10.0.0.1:{number + 1}",
            PLACES[number % len(PLACES)],
            engine.slots,
        )
        for number in range(size)
    ]
    placer = placement.Placer(features)
    placer.set_upstreams(rows, configuration, 0.0)
    return placer


def draw_request(source: random.Random, number: int) -> descriptors.Descriptor:
    """Return the next request of the mix."""
    shares = [kind[0] for kind in KINDS]
    _, shared, own, target, rank, pause = source.choices(KINDS, shares)[0]
    parts = [
        descriptors.PrefixBlock(f"{rank}-{place}-{source.randrange(count)}", tokens)
        for place, (tokens, count) in enumerate(shared)
    ]
    parts.append(descriptors.PrefixBlock(f"own-{number}", own))
    return descriptors.Descriptor(
        request_id=f"r{number}",
        service="engines",
        rank=rank,
        first_seconds=target,
        whole_seconds=10.0,
        pause_seconds=pause,
        model="m",
        tokens_in=sum(part.tokens for part in parts),
        tokens_out=300,
        parts=tuple(parts),
        data_centre=source.choice(PLACES),
    )


def measure(size: int, features: feature_flags.Features) -> float:
    """Return the mean time of a choice, in milliseconds."""
    placer, source = make_placer(size, features), random.Random(1)
    now, spent, due = 0.0, 0.0, []
    for number in range(WARMING + MEASURED):
        now += 1.0 / (RATE * size)
        while due and due[0][0] <= now:
            at, note, request = due.pop(0)
            note(request, at)
        request = draw_request(source, number)
        started = time.perf_counter()
        found = placer.place(request, now)
        if number >= WARMING:
            spent += time.perf_counter() - started
        if isinstance(found, placement.Placed):
            first = now + found.predicted
            due.append((first, placer.record_first_event, request.request_id))
            due.append((first + LASTING, placer.end, request.request_id))
            due.sort(key=lambda one: one[0])
    return spent / MEASURED * 1000


def main() -> None:
    """Print a line for each size."""
    for size in SIZES:
        plain, apart = measure(size, feature_flags.NONE), measure(size, APART)
        print(f"{size:4} upstreams: {plain:.2f} ms a choice, {apart:.2f} kept apart")


if __name__ == "__main__":
    main()
