"""The tokens by which a process matches answers to its calls."""

import random

#: Tokens count up from below this number: far more than a process makes calls.
FIRST_LIMIT = 2**48


def draw_first() -> int:
    """Return where the tokens of a process begin.

    It is random, so that an answer to the former process of the same name, which may
    come through a link of this one, matches no call.
    """
    return random.SystemRandom().randrange(FIRST_LIMIT)
