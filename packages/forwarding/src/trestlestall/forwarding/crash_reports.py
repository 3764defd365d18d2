"""What processes tell each other of upstreams that ended under requests.

See ``crashes`` for what a record makes of it.
"""

import dataclasses
import math
from collections import abc

#: The longest digest, and the longest name of an upstream's start, in characters.
DIGEST_LENGTH = 64
START_LENGTH = 300


@dataclasses.dataclass(frozen=True)
class Report:
    """Ends, answers and starts; ages are in seconds.

    ``ends`` are digest, start and age of the upstreams that ended while a request ran
    there; ``answers`` are digest and age of whole answers; ``alive`` are starts that
    were taken to have ended, and the age of the moment at which they had not.
    """

    ends: tuple[tuple[str, str, float], ...] = ()
    answers: tuple[tuple[str, float], ...] = ()
    alive: tuple[tuple[str, float], ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything is told."""
        return bool(self.ends or self.answers or self.alive)


def decode_report(
    ends: abc.Iterable, answers: abc.Iterable, alive: abc.Iterable
) -> Report:
    """Return what a message tells; raises ``ValueError`` when it can't be so."""
    try:
        found = Report(
            tuple((digest, start, age) for digest, start, age in ends),
            tuple((digest, age) for digest, age in answers),
            tuple((start, age) for start, age in alive),
        )
    except (TypeError, ValueError) as error:
        raise ValueError("no report of ends") from error
    for digest, start, age in found.ends:
        check_name(digest, DIGEST_LENGTH)
        check_name(start, START_LENGTH)
        check_age(age)
    for digest, age in found.answers:
        check_name(digest, DIGEST_LENGTH)
        check_age(age)
    for start, age in found.alive:
        check_name(start, START_LENGTH)
        check_age(age)
    return found


def check_name(name: object, length: int) -> None:
    """Raise ``ValueError`` unless this is a name of at most so many characters."""
    if not isinstance(name, str) or not 0 < len(name) <= length:
        raise ValueError(f"no name: {name!r}")


def check_age(age: object) -> None:
    """Raise ``ValueError`` unless this is a time that has passed, in seconds."""
    if isinstance(age, bool) or not isinstance(age, (int, float)):
        raise ValueError(f"no age: {age!r}")
    if not math.isfinite(age) or age < 0:
        raise ValueError(f"no age: {age!r}")
