"""The exceptions of the configuration package.

Outcomes of commands are values (see ``outcomes``). These exceptions mean that a
document is invalid or that a caller misused the interface.
"""


class ConfigurationError(Exception):
    """The base class of this package's exceptions."""


class InvalidDocument(ConfigurationError):  # noqa: N818 (a fixed interface name)
    """A document that can't be decoded: wrong type, missing or unknown key.

    ``path`` is the invalid part of the document, such as ``$.classes[0].tier``.
    """

    def __init__(self, path: str, message: str):
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message
