"""Network addresses of the form ``HOST:PORT``, and reserved loopback ports."""

import dataclasses
import socket

from trestlestall.standins import exceptions

LOOPBACK = "127.0.0.1"

#: The sockets that reserve ports, open until the process ends.
RESERVATIONS: list[socket.socket] = []


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address or host name and a port; prints as ``127.0.0.1:8000``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse an address, or raise ``SettingError``.

    >>> parse("127.0.0.1:8000").port
    8000
    """
    host, _, port = text.strip().rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise exceptions.SettingError(f"not an address of the form HOST:PORT: {text}")
    return Address(host, int(port))


def parse_list(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses; empty text is an empty list."""
    return tuple(parse(part) for part in text.split(",") if part.strip())


def reserve_port() -> int:
    """Return a loopback port that is reserved until this process ends.

    A socket stays bound to it, which never listens. So the kernel assigns the port
    neither to a ``bind`` to port 0 nor to an outgoing connection, also while a program
    that uses it restarts, but a listener that sets ``SO_REUSEADDR`` can bind it.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    RESERVATIONS.append(reservation)
    return reservation.getsockname()[1]


def reserve_address() -> Address:
    """Return a loopback address on a reserved port."""
    return Address(LOOPBACK, reserve_port())
