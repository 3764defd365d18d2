"""The typed settings. Every field with a default may be left out of the file."""

import dataclasses
import hmac
import typing
from collections import abc

from trestlestall.daemon import printing
from trestlestall.forwarding import feature_flags


@dataclasses.dataclass(frozen=True)
class Problem:
    """One problem of a settings file: its place and what to do about it.

    The path names keys from the top of the file, such as ``listen.callers`` or
    ``peers[1].address``; it is empty for the file as a whole.
    """

    path: str
    message: str

    def __str__(self) -> str:
        text = f"{self.path}: {self.message}" if self.path else self.message
        return printing.escape_controls(text)


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP number and a port; written ``127.0.0.1:8000`` or ``[::1]:8000``."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another process of the system that this one maintains a link to."""

    name: str
    role: typing.Literal["router", "control"]
    data_centre: str
    address: Address


@dataclasses.dataclass(frozen=True)
class Secrets:
    """The credentials of a process, each for one type of client.

    ``peers`` is shared by all processes of the system, ``upstreams`` is the bearer key
    of upstreams' announcements, ``operators`` maps an operator's name to a key.
    """

    peers: str = dataclasses.field(repr=False)
    upstreams: str = dataclasses.field(repr=False)
    operators: abc.Mapping[str, str] = dataclasses.field(repr=False)

    def find_operator(self, key: str) -> str | None:
        """Return the name of the operator with the key, if any.

        The key is compared with all keys, and in constant time.
        """
        given = key.encode()
        matches = [
            name
            for name, known in self.operators.items()
            if hmac.compare_digest(known.encode(), given)
        ]
        return matches[0] if matches else None


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of callers' requests: sizes in bytes, time in seconds."""

    body_bytes: int = 1024 * 1024
    header_bytes: int = 16 * 1024
    read_seconds: float = 10.0
    streams: int = 2000
    held_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class RouterListen:
    """The addresses that a router listens on, one for each type of client."""

    callers: Address
    upstreams: Address
    operators: Address
    platform: Address
    peers: Address


@dataclasses.dataclass(frozen=True)
class ControlListen:
    """The addresses that a control process listens on."""

    operators: Address
    platform: Address
    peers: Address


@dataclasses.dataclass(frozen=True)
class RouterSettings:
    """The settings of ``trestlestalld router``."""

    role: typing.Literal["router"]
    name: str
    data_centre: str
    listen: RouterListen
    secrets_file: str
    peers: tuple[Peer, ...] = ()
    data_folder: str | None = None
    limits: Limits = Limits()
    secrets: Secrets | None = dataclasses.field(default=None, metadata={"file": False})


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """The settings of ``trestlestalld control``.

    ``voters`` names the initial voters of the system, the same in each control's file;
    it is used only until the first of them has written its log.
    """

    role: typing.Literal["control"]
    name: str
    data_centre: str
    listen: ControlListen
    secrets_file: str
    data_folder: str
    voters: tuple[str, ...]
    peers: tuple[Peer, ...] = ()
    limits: Limits = Limits()
    secrets: Secrets | None = dataclasses.field(default=None, metadata={"file": False})


@dataclasses.dataclass(frozen=True)
class GatewayListen:
    """The addresses that a gateway listens on.

    ``tunnels`` is for other gateways that can't reach an upstream themselves; without
    it, this gateway connects to none for them.
    """

    callers: Address
    platform: Address
    peers: Address
    tunnels: Address | None = None


@dataclasses.dataclass(frozen=True)
class Retries:
    """The retry budget of all gateways together: a ratio of requests plus a slack."""

    ratio: float = 0.2
    slack: float = 20.0
    window_seconds: float = 10.0


@dataclasses.dataclass(frozen=True)
class Answers:
    """How many bytes a gateway holds of answers that are not whole yet.

    ``body_bytes`` bounds the body of one answer, ``held_bytes`` those of all together.
    Event streams are passed on and not held.
    """

    body_bytes: int = 16 * 1024 * 1024
    held_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Clients:
    """What all clients of a port may take of a process together.

    ``connections`` are those open at once; beyond it, or half of the descriptors that
    the process may open, the one that waits longest for its client is closed for each
    new one. ``held_bytes`` bounds the bodies of requests that are received or in
    progress; beyond it the largest unfinished one is dropped and its request refused.
    """

    connections: int = 2000
    held_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Duties:
    """Calls to the platform that one directory at a time makes for all of them.

    ``platform`` is the address that they are sent to; without it there are none. If
    the lease holder doesn't renew for ``lease_seconds``, another directory acquires the
    lease. The platform accepts ``calls_per_second`` from all processes together. With
    ``reports_usage``, the requests of each window of ``window_seconds`` of the Unix
    time are reported at most ``late_seconds`` after its end; with ``orders_upstreams``,
    upstreams are ordered and released as the target capacity changes.
    """

    platform: Address | None = None
    lease_seconds: float = 3.0
    window_seconds: float = 5.0
    late_seconds: float = 10.0
    calls_per_second: float = 10.0
    reports_usage: bool = True
    orders_upstreams: bool = True

    @property
    def counts_usage(self) -> bool:
        """Whether requests are counted by reporting window."""
        return self.platform is not None and self.reports_usage


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """The settings of ``trestlestalld gateway``.

    ``directories`` are the link addresses of some directories, from which the others
    are discovered. ``grace_seconds`` is the time between the signal to stop and the
    kill. ``duties`` are those of the directories, for which gateways count requests.
    """

    role: typing.Literal["gateway"]
    name: str
    data_centre: str
    listen: GatewayListen
    secrets_file: str
    directories: tuple[Address, ...]
    grace_seconds: float = 8.0
    retries: Retries = Retries()
    answers: Answers = Answers()
    clients: Clients = Clients()
    duties: Duties = Duties()
    secrets: Secrets | None = dataclasses.field(default=None, metadata={"file": False})


@dataclasses.dataclass(frozen=True)
class DirectoryListen:
    """The addresses that a directory listens on.

    ``service`` receives operators' documents and upstreams' announcements.
    ``peers_reached_at`` is the address at which other processes connect to ``peers``,
    if it is a different one (behind a proxy or network address translation); it also
    identifies the directory to the others.
    """

    service: Address
    peers: Address
    peers_reached_at: Address | None = None


@dataclasses.dataclass(frozen=True)
class DirectorySettings:
    """The settings of ``trestlestalld directory``.

    ``directories`` are the link addresses of some directories, from which the others
    are discovered; with ``founding``, those of them that start with empty data folders
    form the initial group of voters. ``document_bytes`` limits the size of an
    operator's document. ``placing`` are the features allowed in the choice of
    upstreams.
    """

    role: typing.Literal["directory"]
    name: str
    data_centre: str
    listen: DirectoryListen
    secrets_file: str
    data_folder: str
    directories: tuple[Address, ...]
    founding: bool = False
    document_bytes: int = 8 * 1024 * 1024
    clients: Clients = Clients()
    retries: Retries = Retries()
    duties: Duties = Duties()
    placing: feature_flags.Features = feature_flags.NONE
    secrets: Secrets | None = dataclasses.field(default=None, metadata={"file": False})
