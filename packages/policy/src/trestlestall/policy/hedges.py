"""Hedges: a second attempt for a request that sits at a straggler.

Only for idempotent classes, before the first token, within the budget, and once for a
request. The attempt that brings a token first answers; the other one is cancelled.
"""

import heapq
import itertools

from trestlestall.policy import actions, choice, core, dispatch, flights


class Hedges:
    """Attempts without a token, by the time at which to look at them."""

    def __init__(self, shared: core.Core, sender: dispatch.Dispatcher):
        self._core = shared
        self._sender = sender
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def watch(self, sent: list[actions.Action], now: float) -> None:
        """Watch the attempts among some actions."""
        for action in sent:
            if isinstance(action, actions.Send):
                self._push(action.attempt, now)

    def run(self, now: float) -> list[actions.Action]:
        """Hedge what is due."""
        decided: list[actions.Action] = []
        while self._heap and self._heap[0][0] <= now:
            _, _, name = heapq.heappop(self._heap)
            attempt = self._core.attempts.get(name)
            if attempt is None or attempt.started:
                continue
            if len(attempt.flight.attempts) > 1 or not attempt.flight.idempotent:
                continue
            hedge = self._hedge(attempt, now)
            if hedge is None:
                self._push(name, now)
            else:
                decided.append(hedge)
        return decided

    def _push(self, name: str, now: float) -> None:
        at = now + self._core.settings.hedge_wait
        heapq.heappush(self._heap, (at, next(self._numbers), name))

    def _hedge(self, attempt: flights.Attempt, now: float) -> actions.Send | None:
        flight = attempt.flight
        if not self._core.watch.is_straggling(attempt.upstream):
            return None
        if flight.sends >= self._core.settings.attempts_most:
            return None
        flight.avoided.add(attempt.upstream)
        place = self._core.chooser.choose(flight, now, choice.Turn())
        if place is None or not self._core.budget.take():
            return None
        return self._sender.send(flight, place, flight.tier, now)
