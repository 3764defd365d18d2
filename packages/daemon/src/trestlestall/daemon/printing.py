"""Text from elsewhere, made safe to show on a terminal."""


def escape_controls(text: str) -> str:
    """Return the text with line ends, control codes and the like written out.

    >>> escape_controls("a\\x1b[31m")
    'a\\\\x1b[31m'
    """
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)
