"""The package's tree of exceptions, for faults of the caller or of the host."""


class WireError(Exception):
    """Base of every exception that this package raises."""


class OversizedMessageError(WireError):
    """A message is larger than ``codec.MAX_FRAME`` once encoded."""


class InvalidAddressError(WireError):
    """An address is not of the form ``IP:port``."""


class ListenError(WireError):
    """The address for peers can't be listened on."""
