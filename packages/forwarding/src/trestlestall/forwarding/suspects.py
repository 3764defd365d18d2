"""The evidence that a part of a prompt crashes upstreams, for and against; pure.

A part that crashes upstreams does so whenever an upstream begins to write an answer on
it. So requests with it end with their upstream, one after the other, and none is ever
answered for long. A harmless part is present at crashes as well, but there are also
requests with it that are answered meanwhile.

    suspect = Suspect({})
    suspect.add("upstream-4", Presence(sent_at=3.0, at=3.2))
    suspect.compute_score(base_rate=0.01, now=3.3)

The score is the logarithm of how much likelier the evidence is if the part crashes
upstreams at ``CRASH_RATE`` than if they crash at a rate of their own.
"""

import dataclasses
import math
from collections import abc

#: Crashes a second of an upstream that writes on a part that crashes upstreams.
CRASH_RATE = 1.0
#: What a part's score loses if it was answered shortly before its first crash: two
#: crashes. Parts that turn harmful are rarer than new ones that are, and repeats of one
#: fatal request crash several upstreams with all its parts.
ANSWERED_DISCOUNT = 15.0


@dataclasses.dataclass(frozen=True)
class Presence:
    """Requests with a part that ran where an upstream crashed at ``at``.

    ``sent_at`` is when the first of them was sent, in seconds of one clock, and
    ``workspaces`` are those of all of them.
    """

    sent_at: float
    at: float
    workspaces: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Answering:
    """A request that is being answered: when it was sent, and its first event."""

    sent_at: float
    began_at: float


class Suspect:
    """A part that was present at crashes.

    ``answering`` are the requests with it that are being answered, by id.
    ``was_answered`` is whether one was answered shortly before the first crash.
    """

    def __init__(
        self, answering: abc.Mapping[str, Answering], was_answered: bool = False
    ) -> None:
        self.presences: dict[str, Presence] = {}
        self.was_answered = was_answered
        self._answering = answering
        self._answered_seconds = 0.0

    @property
    def since(self) -> float:
        """When the first request was sent that ended with its upstream."""
        return min(one.sent_at for one in self.presences.values())

    @property
    def latest(self) -> float:
        """When the last crash was."""
        return max(one.at for one in self.presences.values())

    @property
    def workspaces(self) -> frozenset[str]:
        """The workspaces whose requests were present."""
        return frozenset().union(*(one.workspaces for one in self.presences.values()))

    def add(self, incarnation: str, presence: Presence) -> bool:
        """Add requests at a crash; return whether they change anything."""
        known = self.presences.get(incarnation)
        if known is None:
            self.presences[incarnation] = presence
            return True
        merged = Presence(
            min(known.sent_at, presence.sent_at),
            known.at,
            known.workspaces | presence.workspaces,
        )
        self.presences[incarnation] = merged
        return merged.workspaces != known.workspaces

    def remove_sent_until(self, moment: float) -> bool:
        """Remove the crashes whose requests were sent by then; true if any was."""
        kept = {
            incarnation: one
            for incarnation, one in self.presences.items()
            if one.sent_at > moment
        }
        removed = len(kept) < len(self.presences)
        self.presences = kept
        return removed

    def record_left(self, answering: Answering, now: float) -> None:
        """Record that a request that was being answered has left its upstream."""
        if self.presences and answering.sent_at >= self.since:
            self._answered_seconds += max(0.0, now - answering.began_at)

    def measure_answered(self, now: float) -> float:
        """Return for how long requests were answered, added up, in seconds.

        Only those count that were sent after the first one that ended.
        """
        since = self.since
        return self._answered_seconds + sum(
            now - one.began_at
            for one in self._answering.values()
            if one.sent_at >= since
        )

    def compute_evidence_against(self, now: float) -> float:
        """Return what the answers take off the score."""
        discount = ANSWERED_DISCOUNT if self.was_answered else 0.0
        return CRASH_RATE * self.measure_answered(now) + discount

    def count_independent(self, since: float = -math.inf) -> int:
        """Return the number of crashes without a common cause; see below.

        Those count whose requests were sent at ``since`` or later.
        """
        presences = self.presences.values()
        return count_independent(one for one in presences if one.sent_at >= since)

    def compute_score(self, base_rate: float, now: float) -> float:
        """Return the score; ``base_rate`` is of crashes a second of an upstream."""
        gain = math.log(max(1.0, CRASH_RATE / base_rate))
        return self.count_independent() * gain - self.compute_evidence_against(now)


def count_independent(presences: abc.Iterable[Presence]) -> int:
    """Return the number of crashes that can't have one common cause.

    Each counts only if its requests were sent after the crash that counted before.

    >>> count_independent([Presence(0.0, 1.0), Presence(0.5, 1.1), Presence(1.2, 1.4)])
    2
    """
    counted, latest = 0, -math.inf
    for one in sorted(presences, key=lambda each: each.at):
        if one.sent_at > latest:
            counted, latest = counted + 1, one.at
    return counted
