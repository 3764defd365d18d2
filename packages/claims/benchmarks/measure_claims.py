"""Measure the time and memory that events and documents of claims take.

Run from the root: ``python packages/claims/benchmarks/measure_claims.py [N]`` with N
live claims (100,000 by default). Prints one line per figure: the median of
``timing.ROUNDS`` rounds, with the minimum and maximum.
"""

import dataclasses
import gc
import pathlib
import sys
import tracemalloc
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parents[3]
for package in ("claims", "configuration"):
    sys.path.insert(0, str(ROOT / "packages" / package / "src"))
sys.path.insert(0, str(ROOT / "tools"))

import cbor2  # noqa: E402 (the path comes first)
import timing  # noqa: E402

from trestlestall.claims import claims, documents, events  # noqa: E402

EVENTS = 10_000
BODY = bytes(500)
START = 1_000_000.0


def make_claim(number: int) -> events.Claim:
    """Return a claim with names of the length that routers use."""
    return events.Claim(
        f"workspace-{number % 10}",
        f"{number:08d}-1b4e-28ba-2fa1-11d2883f0016",
        f"{number:064x}",
        f"req-{number:026d}",
        f"router-a{number % 9}",
    )


def make_finish(number: int) -> events.Finish:
    """Return the finish of the claim with the same number."""
    return events.Finish(f"req-{number:026d}", 200, "application/json", BODY)


def apply_all(
    held: claims.Claims, made: abc.Iterable[events.Event], at: float
) -> claims.Claims:
    """Return the claims after the events, all applied at one time."""
    for event in made:
        held, _ = claims.apply(held, event, at)
    return held


def main() -> None:
    """Build the claims and print the measurements."""
    live = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
    tracemalloc.start()
    held = apply_all(claims.EMPTY, map(make_claim, range(live)), START)
    print(f"memory: {tracemalloc.get_traced_memory()[0] / live:,.0f} bytes a claim")
    tracemalloc.stop()
    timing.measure("full garbage collection", gc.collect)
    new = [make_claim(live + number) for number in range(EVENTS)]
    again = [make_claim(number) for number in range(EVENTS)]
    rivals = [dataclasses.replace(c, attempt=f"rival-{c.attempt}") for c in again]
    ends = [make_finish(number) for number in range(EVENTS)]
    releases = [events.Release(made.attempt) for made in again]
    late = START + claims.KEY_RETENTION_SECONDS
    for label, made, at in (
        ("claim", new, START),
        ("claim resent", again, START),
        ("claim held", rivals, START),
        ("finish", ends, START),
        ("release", releases, START),
        ("claim with 8 expired", new, late),
    ):
        timing.measure(label, lambda m=made, t=at: apply_all(held, m, t), EVENTS)
    finished = apply_all(held, ends, START)
    document = documents.encode(finished)
    data = cbor2.dumps(document)
    timing.measure("encode", lambda: documents.encode(finished))
    timing.measure("to CBOR", lambda: cbor2.dumps(document))
    timing.measure("from CBOR", lambda: cbor2.loads(data))
    timing.measure("decode", lambda: documents.decode(document))
    for event in (new[0], ends[0], releases[0]):
        size = len(cbor2.dumps(documents.encode_event(event)))
        print(f"{type(event).__name__} in CBOR: {size:,} bytes")
    print(f"claims in CBOR: {len(data):,} bytes, {EVENTS:,} of them with an answer")


if __name__ == "__main__":
    main()
