"""The rate-limited weight store: ``python -m trestlestall.standins.weights``.

``GET /weights/NAME`` streams the weights of a model or adapter. All readers share one
rate limit; readers beyond ``concurrent`` are refused with 429 and ``Retry-After``.
``GET /v1/counts`` returns the reads by name, the number of refusals, and the maximum
number of concurrent readers.
"""

import collections
import sys
from collections import abc

import eventlet
import fire
from fire import decorators

from trestlestall.standins import addresses, programs, web

ROUTES = web.Routes()
PREFIX = "/weights/"
CHUNK_BYTES = 16_384
RETRY_AFTER = "1"


class Store:
    """The store's size in bytes, rate in bytes a second, and counts."""

    def __init__(self, size: int, rate: float, concurrent: int):
        self.size = size
        self.rate = rate
        self.concurrent = concurrent
        self.readers = 0
        self.most_readers = 0
        self.refused = 0
        self.reads: collections.Counter = collections.Counter()

    def send(self, name: str) -> abc.Iterator[bytes]:
        """Yield the weights, at this reader's share of the rate."""
        self.reads[name] += 1
        self.readers += 1
        self.most_readers = max(self.most_readers, self.readers)
        try:
            for start in range(0, self.size, CHUNK_BYTES):
                eventlet.sleep(CHUNK_BYTES * self.readers / self.rate)
                yield bytes(min(CHUNK_BYTES, self.size - start))
        finally:
            self.readers -= 1


@ROUTES.add("GET", "/v1/counts")
def read_counts(store: Store, call: web.Call) -> web.Reply:
    """Return the counts."""
    document = {
        "reads": store.reads,
        "refused": store.refused,
        "most_readers": store.most_readers,
    }
    return web.reply_json(200, document)


@ROUTES.add_rest
def read_weights(store: Store, call: web.Call) -> web.Reply:
    """Stream weights, or refuse the call if there are too many readers."""
    if call.method != "GET" or not call.path.startswith(PREFIX):
        return web.refuse_unknown(store, call)
    if store.readers >= store.concurrent:
        store.refused += 1
        message = f"{store.readers} read already"
        return web.reply_error(
            429, "too_many_readers", message, Retry_After=RETRY_AFTER
        )
    body = store.send(call.path[len(PREFIX) :])
    return web.Reply(200, body, "application/octet-stream")


@decorators.SetParseFn(str)
def serve(
    listen: str = "127.0.0.1:0",
    size: str = "1000000",
    rate: str = "4000000",
    concurrent: str = "2",
) -> None:
    """Serve weights of ``size`` bytes at ``rate`` bytes a second until SIGTERM."""
    programs.patch()
    store = Store(int(size), float(rate), int(concurrent))
    server = web.Server(addresses.parse(listen), web.make_application(ROUTES, store))
    programs.print_line(listening=str(server.address))
    eventlet.spawn(server.run)
    programs.await_termination()


def run() -> int:
    """Run the program and return its exit status."""
    fire.Fire(serve)
    return 0


if __name__ == "__main__":
    sys.exit(run())
