"""Messages about which software began a stream, between gateways and directories."""

import dataclasses
import typing

from trestlestall.wire import registry


@registry.register("streams_began")
@dataclasses.dataclass(frozen=True)
class StreamsBegan:
    """Records of streams that brought their first event at the sender.

    ``rows`` are those of ``stream_records`` of the forwarding package.
    """

    rows: tuple[typing.Any, ...]


@registry.register("stream_call")
@dataclasses.dataclass(frozen=True)
class StreamCall:
    """A gateway asks which software began a stream, named by its record's ``key``.

    ``service`` is the only one that may have begun it, empty if there are several; its
    versions of the last ``seconds`` are asked for as well.
    """

    token: int
    key: bytes
    service: str
    seconds: float


@registry.register("heard_call")
@dataclasses.dataclass(frozen=True)
class HeardCall:
    """A gateway asks when an upstream last announced itself to the directory."""

    token: int
    upstream: str


@registry.register("heard_answer")
@dataclasses.dataclass(frozen=True)
class HeardAnswer:
    """Seconds since an upstream's last announcement here; None if there was none."""

    token: int
    seconds: float | None


@registry.register("stream_answer")
@dataclasses.dataclass(frozen=True)
class StreamAnswer:
    """The origin of a stream as service and version, empty if no record is kept.

    ``sole`` is the only version that served in the seconds of the call, None for
    several or an unknown one. ``kept_seconds`` is for how long the directory has kept
    records, and ``voters`` how many directories vote.
    """

    token: int
    origin: tuple[str, ...]
    sole: str | None
    kept_seconds: float
    voters: int
