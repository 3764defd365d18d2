"""The exception tree of the package.

Only broken invariants and wrong use raise; what an upstream answers is a value.
"""


class StandinError(Exception):
    """Base of every exception of this package."""


class SettingError(StandinError):
    """A command line argument or a plan can't be used; the text says which and why."""


class DeploymentError(StandinError):
    """A started process ended early or did not become ready in time."""


class OperatorError(StandinError):
    """An operator's command that a deployment depends on was not accepted."""
