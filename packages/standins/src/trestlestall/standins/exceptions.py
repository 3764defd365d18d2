"""The exceptions of the package.

Only broken invariants and misuse raise; an upstream's error response is a value.
"""


class StandinError(Exception):
    """Base of every exception of this package."""


class SettingError(StandinError):
    """A command line argument or a plan is invalid; the text says which and why."""


class DeploymentError(StandinError):
    """A started process exited early or did not become ready in time."""


class OperatorError(StandinError):
    """A required operator's command was not accepted."""
