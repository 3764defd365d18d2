"""Addresses of the form ``IP:port``; host names are never resolved."""

import ipaddress

from trestlestall.wire import exceptions

LARGEST_PORT = 65535


def parse(text: str) -> tuple[str, int]:
    """Return the IP address and the port, or raise ``InvalidAddressError``.

    Example: ``parse("127.0.0.1:9000")`` is ``("127.0.0.1", 9000)``. An IPv6 address is
    in brackets, as in ``"[::1]:9000"``. Port 0 makes the kernel choose a free one.
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise exceptions.InvalidAddressError(f"{text!r}: no IP address") from None
    if not port.isascii() or not port.isdigit() or int(port) > LARGEST_PORT:
        raise exceptions.InvalidAddressError(f"{text!r}: no port")
    return str(number), int(port)


def render(host: str, port: int) -> str:
    """Return the address as text, the inverse of ``parse``."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
