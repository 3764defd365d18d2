"""The exceptions of the configuration package.

Outcomes are values (see ``outcomes``); these exceptions mean that a document is not one
of ours or that a caller broke a rule of the interface.
"""


class ConfigurationError(Exception):
    """The root of this package's exceptions."""


class InvalidDocument(ConfigurationError):  # noqa: N818 (a fixed interface name)
    """A document that does not decode: wrong type, missing or unknown key.

    ``path`` is the place in the document, such as ``$.classes[0].tier``.
    """

    def __init__(self, path: str, message: str):
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message
