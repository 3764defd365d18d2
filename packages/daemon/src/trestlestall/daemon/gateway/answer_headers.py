"""What the headers of an upstream's answer say of the upstream and its connection."""

from collections import abc

import h11

from trestlestall.daemon import dialects
from trestlestall.forwarding import upstream_signals

KEEP_ALIVE = "keep-alive"


def read_signal(
    response: h11.Response, names: dialects.Headers
) -> upstream_signals.Signal:
    """Return the upstream's signals; every value of a repeated header is considered."""
    wanted = names.signal_headers
    values: dict[str, list[str]] = {}
    for raw, value in response.headers:
        name = raw.decode("latin-1")
        if name in (wanted.limit, wanted.leaves, wanted.rest, wanted.brittle):
            values.setdefault(name, []).append(value.decode("latin-1"))
    return upstream_signals.read(values, response.status_code, wanted)


def read_keep_alive_seconds(found: abc.Mapping[str, str]) -> float | None:
    """Return after how many seconds the upstream closes an idle connection.

    ``found`` are headers by their lower-case names.

    >>> read_keep_alive_seconds({"keep-alive": "timeout=5, max=100"})
    5.0
    """
    for part in found.get(KEEP_ALIVE, "").split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout":
            return upstream_signals.read_decimal((seconds,))
    return None
