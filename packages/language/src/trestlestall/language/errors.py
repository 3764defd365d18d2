"""The error that the parser returns for an invalid text."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LanguageError:
    """An error at a word: its position, the reason, and what was expected instead.

    ``line`` and ``column`` count from 1, ``length`` is in characters and 0 at the end
    of the text.
    """

    line: int
    column: int
    length: int
    message: str
    expected: tuple[str, ...] = ()
