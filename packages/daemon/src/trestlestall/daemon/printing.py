"""Escaping of untrusted text that is shown on a terminal."""


def escape_controls(text: str) -> str:
    """Return the text with line ends, control codes and other unprintables escaped.

    >>> escape_controls("a\\x1b[31m")
    'a\\\\x1b[31m'
    """
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)
