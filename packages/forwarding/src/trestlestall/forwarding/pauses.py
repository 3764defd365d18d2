"""How long streams pause beside prompts that their engine reads.

An engine reads a long prompt in pieces between the steps of all running streams. Next
to a prompt that takes R seconds a stream pauses for R at most, and however long the
reading lasts for no more than its steps with a piece in each: the longest pause that
reading causes is learned for each upstream.

Measured on one day of many long prompts (docs/benchmarks.md), target 0.15 s: of the
streams with less than 0.15 s of reading beside them 1 in 200 paused for too long, with
0.15 s to 0.4 s 1 in 4, with more 85 in 100; the longest pause was then 0.146 s, 0.174 s
and 0.235 s at the tenth, the half and nine tenths.
"""

import collections

#: Seconds that a stream pauses beside long reading, until its upstream has shown more.
FIRST_LONGEST = 0.15
#: Reading beside a stream that shows the longest pause, in times that pause.
LESSON_READING = 2.0
#: How far one stream moves the estimate, and what one stream may show at most, in times
#: the estimate: a pause may have other causes.
LEARNING = 0.1
WILDEST_LESSON = 2.0
#: The longest pause over the target from which on streams are late, and at which nearly
#: all are, as long as the upstream has shown none: from the spread that was measured.
LEAST_RATIO = 0.7
SURE_RATIO = 1.2
#: Pauses that are remembered: some seconds of a busy upstream. One engine's differ by a
#: few hundredths only while its load is the same, so these tell more than any formula:
#: beside steady reading they were 0.195 s, 0.205 s or 0.28 s at engines of one service,
#: around a target of 0.2 s.
REMEMBERED = 12
#: How many remembered pauses the formula weighs.
FORMULA_WEIGHT = 2.0
#: The width around the target, as a part of it, within which a remembered pause counts
#: in part: the next one may be as much longer or shorter.
SPREAD = 0.2
#: Reading, in times the target, at which streams that can be late surely are.
SURE_READING = 2.5


class Pauses:
    """What one upstream has shown; all times in seconds."""

    def __init__(self) -> None:
        self.longest = FIRST_LONGEST
        self._shown: collections.deque[float] = collections.deque(maxlen=REMEMBERED)
        #: Shares by target since the last lesson: a choice asks far more often than
        #: streams end, and asking anew took a sixth of a choice among 56 upstreams.
        self._shares: dict[float, float] = {}

    def learn(self, pause: float, reading: float) -> None:
        """Take the longest pause of a stream that had so much reading beside it."""
        if reading < LESSON_READING * self.longest:
            return
        shown = min(pause, WILDEST_LESSON * self.longest)
        self.longest += LEARNING * (shown - self.longest)
        self._shown.append(pause)
        self._shares.clear()

    def find_lateness(self, target: float | None, reading: float) -> float:
        """Return how likely a stream pauses beyond its target, from 0 to 1.

        >>> Pauses().find_lateness(0.6, 10.0)
        0.0
        """
        if not target or reading <= target:
            return 0.0
        share = self._shares.get(target)
        if share is None:
            share = self._shares[target] = self._find_share(target)
        return share * clamp((reading / target - 1) / (SURE_READING - 1))

    def _find_share(self, target: float) -> float:
        """Return how many streams beside steady reading pause beyond the target."""
        ratio = self.longest / target
        expected = clamp((ratio - LEAST_RATIO) / (SURE_RATIO - LEAST_RATIO))
        late = sum(clamp(0.5 + (shown / target - 1) / SPREAD) for shown in self._shown)
        weight = FORMULA_WEIGHT + len(self._shown)
        return (FORMULA_WEIGHT * expected + late) / weight


def clamp(share: float) -> float:
    """Return the nearest value from 0 to 1."""
    return min(1.0, max(0.0, share))
