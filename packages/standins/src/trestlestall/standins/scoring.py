"""Scores of a load run: attainment, goodput, wasted work, refusals, broken promises.

Pure. Attainment is the share of all arrivals of a class that were answered completely
and within their targets; a refused request counts against it. Goodput counts only
answers within their targets. Wasted work is the share of the engines' tokens that are
not part of a complete answer received by a caller.
"""

import dataclasses
import math
from collections import abc

from trestlestall.standins import mixes


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of one arrival; times are in seconds from when it was due.

    ``wrong`` marks an answer with wrong text, or one that only seems complete.
    """

    arrival: mixes.Arrival
    status: int
    code: str = ""
    run: str = ""
    first: float | None = None
    total: float = 0.0
    whole: bool = False
    wrong: bool = False
    gave_up: bool = False
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class ClassScore:
    """A class's score of a run; shares are from 0 to 1, times in seconds."""

    name: str
    tier: int
    arrivals: int
    on_time: int
    whole: int
    refused: int
    failed: int
    gave_up: int
    attainment: float
    on_time_of_admitted: float
    token_share: float
    floor: float
    first_p50: float
    first_p95: float


@dataclasses.dataclass(frozen=True)
class Broken:
    """Counts of broken promises, all of which must be 0."""

    wrong_answers: int
    ran_twice: int
    ran_though_not_run: int


@dataclasses.dataclass(frozen=True)
class Score:
    """One way's score; goodput in tokens a second and as a share of the capacity."""

    way: str
    classes: tuple[ClassScore, ...]
    goodput: float
    goodput_share: float
    answers_on_time: int
    made_tokens: int
    wasted_share: float
    broken: Broken


def is_on_time(result: Result, class_mix: mixes.ClassMix) -> bool:
    """Return whether the caller got a complete answer within its targets."""
    if not result.whole or result.total > class_mix.target:
        return False
    limit = class_mix.first_token_target
    return limit is None or (result.first is not None and result.first <= limit)


def compute_quantile(values: abc.Iterable[float], share: float) -> float:
    """Return the quantile by nearest rank, or NaN without values.

    >>> compute_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def score_class(
    class_mix: mixes.ClassMix, results: list[Result], all_tokens: int
) -> ClassScore:
    """Return the score of one class from its results."""
    on_time = sum(is_on_time(result, class_mix) for result in results)
    refused = sum(is_refused(result) for result in results)
    firsts = [result.first for result in results if result.first is not None]
    tokens = sum(result.arrival.tokens for result in results if result.whole)
    ended = [r for r in results if not r.whole and not is_refused(r)]
    return ClassScore(
        name=class_mix.name,
        tier=class_mix.tier,
        arrivals=len(results),
        on_time=on_time,
        whole=sum(result.whole for result in results),
        refused=refused,
        failed=sum(not result.gave_up for result in ended),
        gave_up=sum(result.gave_up for result in ended),
        attainment=on_time / max(1, len(results)),
        on_time_of_admitted=on_time / max(1, len(results) - refused),
        token_share=tokens / max(1, all_tokens),
        floor=class_mix.floor,
        first_p50=compute_quantile(firsts, 0.5),
        first_p95=compute_quantile(firsts, 0.95),
    )


def is_refused(result: Result) -> bool:
    """Return whether the request was answered with ``not_run``."""
    return result.run == "not_run"


def count_broken(
    mix: mixes.Mix, results: abc.Iterable[Result], runs: abc.Mapping[str, int]
) -> Broken:
    """Count broken promises; ``runs`` is how often engines ran each prompt."""
    ran_twice = 0
    ran_though_not_run = 0
    wrong = 0
    for result in results:
        times = runs.get(result.arrival.prompt.identity, 0)
        idempotent = mix.find_class(result.arrival.class_name).idempotent
        ran_twice += times > 1 and not idempotent
        ran_though_not_run += times > 0 and is_refused(result)
        wrong += result.wrong
    return Broken(wrong, ran_twice, ran_though_not_run)


def score_run(
    way: str,
    mix: mixes.Mix,
    results: list[Result],
    made_tokens: int,
    runs: abc.Mapping[str, int],
    capacity: float,
    seconds: float,
) -> Score:
    """Return the score of one way.

    ``capacity`` is the engines' maximum throughput in tokens a second. Goodput is
    measured from the start of the run to the last complete answer, at least over the
    ``seconds`` in which requests arrived.
    """
    ends = [result.arrival.at + result.total for result in results if result.whole]
    span = max([seconds, *ends])
    whole = sum(result.arrival.tokens for result in results if result.whole)
    punctual = [
        r for r in results if is_on_time(r, mix.find_class(r.arrival.class_name))
    ]
    good = sum(result.arrival.tokens for result in punctual)
    classes = []
    for class_mix in mix.classes:
        own = [r for r in results if r.arrival.class_name == class_mix.name]
        classes.append(score_class(class_mix, own, whole))
    return Score(
        way=way,
        classes=tuple(classes),
        goodput=good / span,
        goodput_share=good / span / capacity,
        answers_on_time=len(punctual),
        made_tokens=made_tokens,
        wasted_share=max(0.0, 1 - whole / made_tokens) if made_tokens else 0.0,
        broken=count_broken(mix, results, runs),
    )
