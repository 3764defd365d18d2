"""What a forwarded request and a forwarded event cost, as ratios within one run.

Caller, gateway and upstream share this process, so its processor time is that of all
three. The same requests go straight to the upstream and then through the gateway, in
turns; the difference is the gateway's part. Run it from the top of the checkout:

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
    """Processor time in milliseconds for one request or event, least of all rounds."""

    direct: float
    forwarded: float

    def show(self, what):
        """Print one row."""
        ratio = self.forwarded / self.direct
        print(
            f"{what:10} direct {self.direct:.3f} ms, through the gateway "
            f"{self.forwarded:.3f} ms, ratio {ratio:.2f}"
        )


def script(connection, received):
    """Answer a stream's path with events, any other with a body."""
    if " /stream/" in received.head:
        events = (bench.event(number) for number in range(EVENTS))
        connection.sendall((bench.STREAM + bench.frame(*events)).encode())
        return
    head = f"{bench.OK}Content-Length: {len(BODY)}\r\n\r\n"
    connection.sendall(head.encode() + BODY)


def time_requests(port):
    """Return the processor time of one request on a kept connection, in ms."""
    caller = bench.Caller(port)
    started = time.process_time()
    for _ in range(REQUESTS):
        caller.ask("/once/x", BODY)
        caller.read_answer()
    spent = time.process_time() - started
    caller.close()
    return 1000 * spent / REQUESTS


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
    """Return the least cost of some rounds, both ways in turns."""
    pairs = [(time_one(direct), time_one(forwarded)) for _ in range(ROUNDS)]
    return Cost(min(pair[0] for pair in pairs), min(pair[1] for pair in pairs))


def main():
    """Print the two rows."""
    with contextlib.ExitStack() as stack:
        made = bench.Bench(stack, bench.DOCUMENT)
        upstream = made.add("u1", script)
        measure(time_requests, upstream.port, made.port).show("request")
        measure(time_events, upstream.port, made.port).show("event")


if __name__ == "__main__":
    main()
