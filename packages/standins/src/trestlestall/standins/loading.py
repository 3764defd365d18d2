"""Loading of weights from the weight store."""

import dataclasses

import eventlet
import urllib3

TIMEOUT = urllib3.Timeout(connect=2.0, read=30.0)
CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Fetched:
    """All weights were read; ``size`` is in bytes."""

    size: int


@dataclasses.dataclass(frozen=True)
class NotFetched:
    """The store refused or broke the transfer; ``reason`` is a stable code."""

    reason: str


def fetch(
    store: str, target: str, version: str, seconds: float
) -> Fetched | NotFetched:
    """Read the weights of a model or adapter from the store at ``HOST:PORT``.

    Without a store, the call takes ``seconds`` and succeeds.
    """
    if not store:
        eventlet.sleep(seconds)
        return Fetched(0)
    url = f"http://{store}/weights/{target}"
    fields = {"version": version}
    with urllib3.PoolManager(retries=False, timeout=TIMEOUT) as pool:
        try:
            answer = pool.request("GET", url, fields=fields, preload_content=False)
            if answer.status != 200:
                return NotFetched("store_refused")
            return Fetched(sum(len(piece) for piece in answer.stream(CHUNK_BYTES)))
        except (urllib3.exceptions.HTTPError, OSError):
            return NotFetched("store_failed")
