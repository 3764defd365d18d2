"""The decisions of one router: a thin composition of the other modules.

The router feeds events in and carries the returned actions out, in order. Nothing here
reads a clock, sleeps or draws from a global random generator.
"""

import dataclasses
import random

from trestlestall.policy import actions, arrivals, outcomes, settings as defaults


@dataclasses.dataclass
class Flight:
    """A request that the policy holds, and its attempt."""

    arrival: arrivals.Arrival
    attempt: str = ""
    upstream: str = ""
    tokens: int = 0
    claimed: bool = False
    asked_at: float | None = None


class Policy:
    """Decides for one router.

    ``progress`` and ``finish`` take the attempt's count of answer tokens so far, from
    the answer's first token (a resumed attempt starts at the count it resumed from).
    ``claim_answered`` with ``granted=False`` gives ``Fail(not_run)``: no attempt of
    this request ran here; a router that knows more from the claim may answer better.
    """

    def __init__(self, seed: int, settings: defaults.Settings = defaults.DEFAULT):
        self._random = random.Random(seed)
        self._settings = settings
        self._view = arrivals.View()
        self._flights: dict[str, Flight] = {}
        self._attempts: dict[str, str] = {}
        self._waiting: list[str] = []
        self._count = 0

    def arrive(
        self, request: arrivals.Arrival, view: arrivals.View, now: float
    ) -> list[actions.Action]:
        """Admit or refuse a request."""
        self._view = view
        if not self._find_candidates(request):
            reason = f"no upstream for {request.target}"
            return [actions.Refuse(request.request, "no_upstream", 1.0, reason)]
        self._flights[request.request] = Flight(request)
        self._waiting.append(request.request)
        return self._dispatch(now)

    def progress(self, attempt: str, tokens: int, now: float) -> list[actions.Action]:
        """Note that an attempt has brought ``tokens`` tokens of the answer so far."""
        flight = self._flights.get(self._attempts.get(attempt, ""))
        if flight is None:
            return []
        first = not flight.tokens
        flight.tokens = max(flight.tokens, tokens)
        answer = actions.Answer(flight.arrival.request, attempt)
        return [answer] if first and tokens else []

    def finish(
        self, attempt: str, outcome: outcomes.Outcome, tokens: int, now: float
    ) -> list[actions.Action]:
        """Note that an attempt ended."""
        request = self._attempts.pop(attempt, "")
        flight = self._flights.get(request)
        if flight is None:
            return [actions.Wasted(attempt, tokens)] if tokens else []
        if isinstance(outcome, outcomes.NotSent):
            flight.upstream = ""
            self._waiting.insert(0, request)
            return self._dispatch(now)
        del self._flights[request]
        decided: list[actions.Action] = []
        if isinstance(outcome, outcomes.Completed) and not flight.tokens:
            decided.append(actions.Answer(request, attempt))
        if not isinstance(outcome, outcomes.Completed):
            decided.append(actions.Fail(request, actions.OUTCOME_UNKNOWN))
            decided += [actions.Wasted(attempt, tokens)] if tokens else []
        return decided + self._dispatch(now)

    def hang_up(self, request: str, now: float) -> list[actions.Action]:
        """Forget a request whose caller is gone, and cancel its work."""
        flight = self._flights.pop(request, None)
        if flight is None:
            return []
        if request in self._waiting:
            self._waiting.remove(request)
        cancels = [actions.Cancel(flight.attempt)] if flight.upstream else []
        return cancels + self._dispatch(now)

    def tick(self, view: arrivals.View, now: float) -> list[actions.Action]:
        """Take in a new view and do what is due. Call it some ten times a second."""
        self._view = view
        failed: list[actions.Action] = []
        for request, flight in list(self._flights.items()):
            asked = flight.asked_at
            if asked is not None and now >= asked + self._settings.claim_timeout:
                failed += self.claim_answered(request, False, now)
        return failed + self._dispatch(now)

    def claim_answered(
        self, request: str, granted: bool, now: float
    ) -> list[actions.Action]:
        """Note the answer to an ``Ask``."""
        flight = self._flights.get(request)
        if flight is None or flight.asked_at is None:
            return []
        flight.asked_at = None
        if not granted:
            del self._flights[request]
            return [actions.Fail(request, actions.NOT_RUN)]
        flight.claimed = True
        self._waiting.insert(0, request)
        return self._dispatch(now)

    def _find_candidates(self, request: arrivals.Arrival) -> list:
        return [
            upstream
            for upstream in self._view.upstreams
            if upstream.name not in self._view.drained
            and request.target in arrivals.list_targets(upstream)
        ]

    def _dispatch(self, now: float) -> list[actions.Action]:
        sent: list[actions.Action] = []
        self._waiting.sort(key=lambda name: self._flights[name].arrival.tier)
        for name in list(self._waiting):
            sent += self._start(self._flights[name], now)
        return sent

    def _start(self, flight: Flight, now: float) -> list[actions.Action]:
        busy: dict[str, int] = {}
        for other in self._flights.values():
            busy[other.upstream] = busy.get(other.upstream, 0) + 1
        found = [
            upstream
            for upstream in self._find_candidates(flight.arrival)
            if busy.get(upstream.name, 0) < upstream.slots
        ]
        if not found:
            return []
        name = flight.arrival.request
        self._waiting.remove(name)
        if not flight.arrival.request_class.idempotent and not flight.claimed:
            flight.asked_at = now
            return [actions.Ask(name)]
        chosen = min(
            found, key=lambda up: (busy.get(up.name, 0), self._random.random())
        )
        self._count += 1
        flight.upstream = chosen.name
        flight.attempt = f"{self._settings.router}-{self._count}"
        self._attempts[flight.attempt] = name
        names = tuple(upstream.name for upstream in found)
        tier = flight.arrival.tier
        reason = "least in flight"
        return [actions.Send(name, flight.attempt, chosen.name, tier, names, reason)]
