"""The package's tree of exceptions, raised for programmers' errors only."""


class MembershipError(Exception):
    """Base of every exception that this package raises."""


class InvalidArgumentError(MembershipError):
    """A caller passed a value that no input from outside can lead to."""
