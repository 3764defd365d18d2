"""Exceptions of the package: violated invariants and misuse of its interface."""


class AgreementError(Exception):
    """Base of all exceptions of this package."""


class BrokenInvariantError(AgreementError):
    """A safety property of the protocol is violated; the process must stop."""


class MisuseError(AgreementError):
    """The caller violated the contract of the interface."""
