"""Addresses of the form ``IP:port``; names are never looked up."""

import ipaddress

from trestlestall.wire import exceptions

LARGEST_PORT = 65535


def parse(text: str) -> tuple[str, int]:
    """Return the IP number and the port, or raise ``InvalidAddressError``.

    Example: ``parse("127.0.0.1:9000")`` is ``("127.0.0.1", 9000)``; an IPv6 number
    stands in brackets, as in ``"[::1]:9000"``. Port 0 asks the kernel for a free one.
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise exceptions.InvalidAddressError(f"{text!r}: no IP number") from None
    if not port.isascii() or not port.isdigit() or int(port) > LARGEST_PORT:
        raise exceptions.InvalidAddressError(f"{text!r}: no port")
    return str(number), int(port)


def render(host: str, port: int) -> str:
    """Return the text of an address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
