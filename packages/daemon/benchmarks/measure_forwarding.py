"""Benchmark of the processor time per forwarded request and per forwarded event.

Caller, gateway and upstream share this process, so the measured processor time is that
of all three. The same requests are sent directly to the upstream and through the
gateway, in turns; the difference is the gateway's share. Results are ratios within one
run. Run it from the root of the checkout:

    PYTHONPATH=. .venv/bin/python packages/daemon/benchmarks/measure_forwarding.py
"""

import contextlib
import dataclasses
import time

from packages.daemon.tests import gateway_bench as bench

REQUESTS = 300
STREAMS = 30
EVENTS = 60
ROUNDS = 5
BODY = b"x" * 800


@dataclasses.dataclass(frozen=True)
class Cost:
    """Minimal processor time over the rounds, in milliseconds per request or event."""

    direct: float
    forwarded: float

    def show(self, unit):
        """Print one row; ``unit`` is what the time is for."""
        ratio = self.forwarded / self.direct
        print(
            f"{unit:10} direct {self.direct:.3f} ms, through the gateway "
            f"{self.forwarded:.3f} ms, ratio {ratio:.2f}"
        )


def script(connection, received):
    """Answer requests for ``/stream/`` with events, others with a body."""
    if " /stream/" in received.head:
        events = (bench.event(number) for number in range(EVENTS))
        connection.sendall((bench.STREAM + bench.frame(*events)).encode())
        return
    head = f"{bench.OK}Content-Length: {len(BODY)}\r\n\r\n"
    connection.sendall(head.encode() + BODY)


def time_requests(port):
    """Return the processor time of one request on a persistent connection, in ms."""
    caller = bench.Caller(port)
    started = time.process_time()
    for _ in range(REQUESTS):
        caller.ask("/once/x", BODY)
        caller.read_answer()
    elapsed = time.process_time() - started
    caller.close()
    return 1000 * elapsed / REQUESTS


def time_events(port):
    """Return the processor time of one event of a stream, in ms."""
    started = time.process_time()
    for _ in range(STREAMS):
        caller = bench.Caller(port)
        caller.ask("/stream/x")
        caller.read_head()
        caller.read_to_end()
        caller.close()
    return 1000 * (time.process_time() - started) / (STREAMS * EVENTS)


def measure(time_one, direct, forwarded):
    """Return the minimal cost over the rounds, which alternate between both ways."""
    pairs = [(time_one(direct), time_one(forwarded)) for _ in range(ROUNDS)]
    return Cost(min(pair[0] for pair in pairs), min(pair[1] for pair in pairs))


def main():
    """Print one row for requests and one for events."""
    with contextlib.ExitStack() as stack:
        made = bench.Bench(stack, bench.DOCUMENT)
        upstream = made.add("u1", script)
        measure(time_requests, upstream.port, made.port).show("request")
        measure(time_events, upstream.port, made.port).show("event")


if __name__ == "__main__":
    main()
