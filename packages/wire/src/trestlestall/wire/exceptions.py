"""Exceptions of this package, for errors of the caller or of the host."""


class WireError(Exception):
    """Base class of all exceptions that this package raises."""


class OversizedMessageError(WireError):
    """A message is larger than ``codec.MAX_FRAME_BYTES`` once encoded."""


class InvalidAddressError(WireError):
    """An address is not of the form ``IP:port``."""


class ListenError(WireError):
    """Listening on the address for peers failed."""
