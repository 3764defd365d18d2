"""How an engine gets weights: it reads them from the weight store, which takes time."""

import dataclasses

import eventlet
import urllib3

TIMEOUT = urllib3.Timeout(connect=2.0, read=30.0)
PIECE = 65_536


@dataclasses.dataclass(frozen=True)
class Fetched:
    """All weights are here."""

    size: int


@dataclasses.dataclass(frozen=True)
class NotFetched:
    """The store refused or broke off; ``reason`` is a stable word."""

    reason: str


def fetch(
    store: str, target: str, version: str, seconds: float
) -> Fetched | NotFetched:
    """Read the weights of a model or adapter from the store at ``HOST:PORT``.

    Without a store it just takes ``seconds``.
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
            return Fetched(sum(len(piece) for piece in answer.stream(PIECE)))
        except (urllib3.exceptions.HTTPError, OSError):
            return NotFetched("store_failed")
