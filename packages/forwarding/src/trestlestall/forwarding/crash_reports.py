"""Reports that processes exchange of upstreams that crashed under requests.

``crashes`` merges these reports into a record.
"""

import dataclasses
import math
from collections import abc

#: The longest digest, and the longest identity of an incarnation, in characters.
DIGEST_LENGTH = 64
INCARNATION_LENGTH = 300


@dataclasses.dataclass(frozen=True)
class Report:
    """Crashes, answers and live incarnations; ages are in seconds.

    ``ends`` holds digest, incarnation and age for each upstream that crashed while a
    request ran there. ``answers`` holds digest and age of complete answers. ``alive``
    holds incarnations that were assumed to have crashed, and the age of the moment at
    which they had not.
    """

    ends: tuple[tuple[str, str, float], ...] = ()
    answers: tuple[tuple[str, float], ...] = ()
    alive: tuple[tuple[str, float], ...] = ()

    def __bool__(self) -> bool:
        """Return whether the report holds anything."""
        return bool(self.ends or self.answers or self.alive)


def decode_report(
    ends: abc.Iterable, answers: abc.Iterable, alive: abc.Iterable
) -> Report:
    """Return the report of a message; raise ``ValueError`` if a field is invalid."""
    try:
        found = Report(
            tuple((digest, incarnation, age) for digest, incarnation, age in ends),
            tuple((digest, age) for digest, age in answers),
            tuple((incarnation, age) for incarnation, age in alive),
        )
    except (TypeError, ValueError) as error:
        raise ValueError("no report of ends") from error
    for digest, incarnation, age in found.ends:
        check_name(digest, DIGEST_LENGTH)
        check_name(incarnation, INCARNATION_LENGTH)
        check_age(age)
    for digest, age in found.answers:
        check_name(digest, DIGEST_LENGTH)
        check_age(age)
    for incarnation, age in found.alive:
        check_name(incarnation, INCARNATION_LENGTH)
        check_age(age)
    return found


def check_name(name: object, length: int) -> None:
    """Raise ``ValueError`` unless this is a text of 1 to ``length`` characters."""
    if not isinstance(name, str) or not 0 < len(name) <= length:
        raise ValueError(f"invalid digest or identity: {name!r}")


def check_age(age: object) -> None:
    """Raise ``ValueError`` unless this is a finite number of seconds from 0 up."""
    if isinstance(age, bool) or not isinstance(age, (int, float)):
        raise ValueError(f"invalid age: {age!r}")
    if not math.isfinite(age) or age < 0:
        raise ValueError(f"invalid age: {age!r}")
