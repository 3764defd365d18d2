"""What the parser returns in place of a command that it can not read."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LanguageError:
    """A word at fault: where it stands, why, and what was expected in its place.

    ``line`` and ``column`` count from 1, ``length`` is in characters and 0 at the end
    of the text.
    """

    line: int
    column: int
    length: int
    message: str
    expected: tuple[str, ...] = ()
