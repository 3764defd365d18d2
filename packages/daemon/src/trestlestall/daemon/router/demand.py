"""Demand for each model at this router, and its engines' answers, for placement.

Demand counts requests as they arrive, including those that are then refused, each with
the mean length of the model's answers. It decays exponentially over ``DECAY_SECONDS``.
A caller that is refused and retries is counted again, so demand is overestimated in a
burst.
"""

import dataclasses
import math

from trestlestall.configuration import model as configuration_model
from trestlestall.daemon import environment
from trestlestall.daemon.placement import sightings
from trestlestall.daemon.router import exchanges
from trestlestall.placement import model

DECAY_SECONDS = 30.0
# Assumed length of a model's answers before the first one.
INITIAL_LENGTH_TOKENS = 200.0
# Lower rates count as no demand.
MIN_TOKENS_PER_SECOND = 1.0
LEARNING_RATE = 0.1


@dataclasses.dataclass
class ModelDemand:
    """Demand for one model.

    ``rate`` is in tokens a second at the time ``at``, ``length`` is the mean length of
    an answer in tokens, and ``tier`` the lowest tier number that asked for the model.
    """

    rate: float = 0.0
    at: float = 0.0
    length: float = INITIAL_LENGTH_TOKENS
    tier: int = model.LOWEST_TIER

    def decay(self, now: float) -> None:
        """Decay the rate to this moment."""
        self.rate *= math.exp((self.at - now) / DECAY_SECONDS)
        self.at = now
        if self.rate < MIN_TOKENS_PER_SECOND:
            self.tier = model.LOWEST_TIER


class DemandTracker:
    """Tracks demand by model, and answers by engine and model."""

    def __init__(self, clock: environment.Clock):
        self._clock = clock
        self._demand: dict[str, ModelDemand] = {}
        self._answers: dict[tuple[str, str], sightings.Answers] = {}

    def record_arrival(self, exchange: exchanges.Exchange) -> None:
        """Count a request for a model."""
        target = exchange.call.target
        if target.startswith(configuration_model.SERVICE_PREFIX):
            return
        demand = self._demand.setdefault(target, ModelDemand())
        demand.decay(self._clock.monotonic())
        demand.rate += min(demand.length, exchange.call.max_tokens) / DECAY_SECONDS
        demand.tier = min(demand.tier, exchange.request_class.tier)

    def record_answer(self, exchange: exchanges.Exchange, on_time: bool) -> None:
        """Count a complete answer, and update the mean length."""
        target, engine = exchange.call.target, exchange.upstream
        demand = self._demand.get(target)
        if demand is None or not engine:
            return
        demand.length += LEARNING_RATE * (exchange.tokens - demand.length)
        known = self._answers.get((engine, target))
        answers, former = (known.answers, known.on_time) if known else (0, 0)
        self._answers[engine, target] = sightings.Answers(
            engine, target, answers + 1, former + int(on_time)
        )

    def list_demand(self) -> list[sightings.Asked]:
        """Return the present demand for each model that was ever requested."""
        now = self._clock.monotonic()
        for demand in self._demand.values():
            demand.decay(now)
        return [
            sightings.Asked(name, round_rate(demand.rate), demand.tier)
            for name, demand in sorted(self._demand.items())
        ]

    def list_answers(self) -> list[sightings.Answers]:
        """Return the counts of answers since the start of the process."""
        return list(self._answers.values())


def round_rate(rate: float) -> float:
    """Return the rounded rate; rates below ``MIN_TOKENS_PER_SECOND`` as 0."""
    return round(rate, 1) if rate >= MIN_TOKENS_PER_SECOND else 0.0
