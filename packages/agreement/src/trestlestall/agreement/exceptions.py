"""Exceptions of the package; each one means a broken invariant or a wrong call."""


class AgreementError(Exception):
    """Base of all exceptions of this package."""


class BrokenInvariantError(AgreementError):
    """A promise of the protocol does not hold; the process must stop."""


class MisuseError(AgreementError):
    """The caller broke the contract of the interface."""
